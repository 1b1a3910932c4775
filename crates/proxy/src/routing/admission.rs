//! How many set-ups there is room for while room is short.

use super::Router;
use asterramp_placement::event::Standing;
use asterramp_zone_failover::room::{self, Load};

impl Router {
    /// While the clients of a lost place come to those that are left, they are let in by the room that survivors have; each
    /// proxy letting in all that come, by counts a second old, pushes over whom they choose, and those come again.
    pub(super) fn weigh_room(&mut self) {
        if let Some(pace) = self.start_pace() {
            return self.gate.pace(self.now, Some(pace));
        }
        let short = self.gated
            && self
                .exchange
                .places
                .as_ref()
                .is_some_and(|p| p.sites.is_short(self.now));
        if !short {
            return self.gate.pace(self.now, None);
        }
        let cold = self.setup.deployment.cold.warm_after;
        let warm = |started| self.now.saturating_sub(started) >= cold;
        let shut = |zone: &str| {
            let place = self.setup.zones.iter().position(|name| name == zone);
            let places = self
                .exchange
                .places
                .iter()
                .flat_map(|places| places.sites.places());
            places
                .enumerate()
                .any(|(nth, p)| Some(nth) == place && p.state.is_shut())
        };
        let ready = self
            .roster
            .placed()
            .filter(|(host, zone)| host.standing == Standing::Ready && !shut(zone));
        let (mut count, mut words) = (0, Vec::new());
        for (host, _) in ready {
            count += 1;
            if let (Some(asked), Some(connections)) = (host.load.asked, host.load.connections)
                && host.started.is_none_or(warm)
            {
                words.push(Load {
                    asked,
                    connections,
                    age: self.now.saturating_sub(host.told),
                });
            }
        }
        let pace = room::pace(words.into_iter(), count, self.setup.deployment.proxies);
        self.gate.pace(self.now, pace);
    }
}
