//! How many set-ups there is room for while room is short.

use super::Router;
use asterramp_placement::event::EndpointState;
use asterramp_zone_failover::room::{self, ServerCapacity};

impl Router {
    /// While the clients of a lost place come to those that are left, they are let in by the room that survivors have; each
    /// proxy letting in all that come, by counts a second old, pushes over whom they choose, and those come again.
    pub(super) fn update_admission_rate(&mut self) {
        if let Some(pace) = self.warm_start_pace() {
            return self.admission.pace(self.now, Some(pace));
        }
        let short = self.admission_enabled
            && self
                .session_table
                .zones
                .as_ref()
                .is_some_and(|p| p.sites.is_short(self.now));
        if !short {
            return self.admission.pace(self.now, None);
        }
        let cold = self.settings.deployment.slow_start.warm_after;
        let warm = |started| self.now.saturating_sub(started) >= cold;
        let shut = |zone: &str| {
            let place = self.settings.zones.iter().position(|name| name == zone);
            let places = self
                .session_table
                .zones
                .iter()
                .flat_map(|places| places.sites.places());
            places
                .enumerate()
                .any(|(nth, p)| Some(nth) == place && p.state.is_shut())
        };
        let ready = self
            .endpoints
            .placed()
            .filter(|(host, zone)| host.standing == EndpointState::Ready && !shut(zone));
        let (mut count, mut words) = (0, Vec::new());
        for (host, _) in ready {
            count += 1;
            if let (Some(asked), Some(connections)) = (host.load.utilization, host.load.connections)
                && host.started.is_none_or(warm)
            {
                words.push(ServerCapacity {
                    asked,
                    connections,
                    age: self.now.saturating_sub(host.told),
                });
            }
        }
        let pace = room::pace(
            words.into_iter(),
            count,
            self.settings.deployment.proxy_count,
        );
        self.admission.pace(self.now, pace);
    }
}
