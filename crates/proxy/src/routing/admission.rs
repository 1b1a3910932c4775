//! The rate of session setups that this proxy admits while capacity is short, per second.

use super::Router;
use super::endpoints::KnownEndpoint;
use asterramp_placement::event::EndpointState;
use asterramp_zone_failover::capacity::{self, ServerLoadReport};

impl Router {
    /// Sets the admission rate: that of a warm start in progress, or else that of a zone failover while the remaining
    /// zones are short of capacity, or else no limit.
    ///
    /// Without a limit, proxies that place all clients by load reports that are one second old overload the servers
    /// that they choose, and those clients retry.
    pub(super) fn update_admission_rate(&mut self) {
        let rate = self
            .warm_start_admission_rate()
            .or_else(|| self.failover_rate());
        self.admission.set_rate(self.now, rate);
    }

    /// Session setups per second during a zone failover; `None` while admission control is off, capacity is not short,
    /// or too few servers have reported their load.
    fn failover_rate(&self) -> Option<f64> {
        let zones = self.session_table.zones.as_ref()?;
        if !self.admission_enabled || !zones.failover.is_capacity_short(self.now) {
            return None;
        }
        let mut ready_servers = 0;
        let mut reports = Vec::new();
        for (endpoint, zone_name) in self.endpoints.known_endpoints_with_zone() {
            if endpoint.state != EndpointState::Ready || self.is_zone_closed(zone_name) {
                continue;
            }
            ready_servers += 1;
            reports.extend(self.load_report(endpoint));
        }
        let proxies = self.settings.deployment.proxy_count;
        capacity::setup_rate(reports.into_iter(), ready_servers, proxies)
    }

    /// Whether zone failover keeps clients away from a zone; false for an unknown name.
    fn is_zone_closed(&self, name: &str) -> bool {
        let Some(zones) = &self.session_table.zones else {
            return false;
        };
        let index = self.settings.zones.iter().position(|zone| zone == name);
        index
            .and_then(|index| zones.failover.zones().get(index))
            .is_some_and(|zone| zone.state.is_closed())
    }

    /// A server's last load report; `None` before the first, and while the server is warming up, when its load says
    /// nothing about its capacity.
    fn load_report(&self, endpoint: &KnownEndpoint) -> Option<ServerLoadReport> {
        if !self.is_warm(endpoint) {
            return None;
        }
        Some(ServerLoadReport {
            utilization: endpoint.load.utilization?,
            connections: endpoint.load.connections?,
            age: self.now.saturating_sub(endpoint.reported_at),
        })
    }
}
