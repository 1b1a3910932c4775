//! How many more connections the servers can take, by their load reports. A drain paces its migrations by it.

use super::Router;
use super::endpoints::KnownEndpoint;
use asterramp_placement::event::{EndpointState, ServerLoad};
use std::time::Duration;

/// Oldest load report that counts towards a server's spare capacity.
const LOAD_REPORT_MAX_AGE: Duration = Duration::from_secs(5);
/// Utilization, from 0 to 1, up to which migrated sessions may fill a server.
const MAX_TARGET_UTILIZATION: f64 = 0.85;
/// A server's load per connection counts as at least the mean of all servers divided by this, since the sessions
/// migrated to it may be heavier than those it holds. A greater divisor gives lightly loaded servers more spare
/// capacity.
const MIN_LOAD_DIVISOR: f64 = 4.0;

/// The load of a server that has reported both figures.
#[derive(Clone, Copy, Debug)]
struct ReportedLoad {
    connections: f64,
    utilization: f64,
}

impl Router {
    /// How many more connections warm, ready servers can take, by their recent load reports; `None` where these show no
    /// load per connection. A server without connections counts with the mean load per connection of all servers.
    pub(super) fn spare_capacity(&self) -> Option<f64> {
        let reports = self.recent_loads();
        let (connections, utilization) = reports.iter().fold((0.0, 0.0), |sum, report| {
            (sum.0 + report.connections, sum.1 + report.utilization)
        });
        let mean = (connections >= 1.0 && utilization > 0.0).then(|| utilization / connections)?;
        let spare = reports.iter().map(|report| report.spare_connections(mean));
        Some(spare.sum())
    }

    /// Loads that warm, ready servers have reported within [`LOAD_REPORT_MAX_AGE`].
    fn recent_loads(&self) -> Vec<ReportedLoad> {
        self.endpoints
            .known_endpoints()
            .filter(|server| server.state == EndpointState::Ready && self.is_warm(server))
            .filter(|server| self.now.saturating_sub(server.reported_at) <= LOAD_REPORT_MAX_AGE)
            .filter_map(|server| ReportedLoad::from_report(server.load))
            .collect()
    }

    /// Whether a server has completed its slow start; true where its start is unknown.
    pub(super) fn is_warm(&self, server: &KnownEndpoint) -> bool {
        let warm_after = self.settings.deployment.slow_start.warm_after;
        server
            .started_at
            .is_none_or(|started_at| self.now.saturating_sub(started_at) >= warm_after)
    }
}

impl ReportedLoad {
    /// `None` unless both figures are reported.
    fn from_report(load: ServerLoad) -> Option<ReportedLoad> {
        Some(ReportedLoad {
            connections: load.connections?,
            utilization: load.utilization?,
        })
    }

    /// How many more connections the server can take. Its load per connection is its own or, if it holds none,
    /// `mean_load_per_connection`, that of all servers.
    fn spare_connections(self, mean_load_per_connection: f64) -> f64 {
        let load_per_connection = if self.connections >= 1.0 {
            (self.utilization / self.connections).max(mean_load_per_connection / MIN_LOAD_DIVISOR)
        } else {
            mean_load_per_connection
        };
        ((MAX_TARGET_UTILIZATION - self.utilization) / load_per_connection).max(0.0)
    }
}
