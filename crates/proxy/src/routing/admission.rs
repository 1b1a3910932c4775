//! Session setups per second that this proxy admits while capacity is short.

use super::Router;
use super::endpoints::KnownEndpoint;
use asterramp_placement::event::EndpointState;
use asterramp_zone_failover::capacity::{self, ServerLoadReport};

impl Router {
    /// Sets the admission rate: that of the warm start while it lasts, or that of the remaining zones while a zone's clients
    /// move to them, or none.
    ///
    /// Without a limit, proxies that admit all clients by load reports a second old overload the servers they choose, and
    /// those clients come again.
    pub(super) fn update_admission_rate(&mut self) {
        let rate = self
            .warm_start_admission_rate()
            .or_else(|| self.failover_rate());
        self.admission.set_rate(self.now, rate);
    }

    /// `None` while capacity is not short, or too little is known of it.
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

    fn is_zone_closed(&self, name: &str) -> bool {
        let Some(zones) = &self.session_table.zones else {
            return false;
        };
        let index = self.settings.zones.iter().position(|zone| zone == name);
        index
            .and_then(|index| zones.failover.zones().get(index))
            .is_some_and(|zone| zone.state.is_closed())
    }

    /// What a server last reported; `None` before the first report and while the server is warming up, when its load says
    /// nothing of its capacity.
    fn load_report(&self, endpoint: &KnownEndpoint) -> Option<ServerLoadReport> {
        let warm_after = self.settings.deployment.slow_start.warm_after;
        let is_warm = |started_at| self.now.saturating_sub(started_at) >= warm_after;
        if !endpoint.started_at.is_none_or(is_warm) {
            return None;
        }
        Some(ServerLoadReport {
            utilization: endpoint.load.utilization?,
            connections: endpoint.load.connections?,
            age: self.now.saturating_sub(endpoint.reported_at),
        })
    }
}
