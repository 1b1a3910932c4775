//! State that the engine keeps for one server.

use crate::event::{Endpoint, EndpointState};
use crate::load_estimate::LoadEstimate;
use crate::outlier_ejection::Ejection;
use crate::probing::ProbeState;
use crate::slow_start::DialAllowance;
use std::time::Duration;

/// Upper bound on the slowdown factor that is computed from one report.
const MAX_SLOWDOWN: f64 = 2.0;
/// Lower bound on the known load per connection, as a fraction of a server's capacity, by which a slowdown is divided.
const MIN_LOAD_FOR_SLOWDOWN: f64 = 1e-6;

/// A server that was on the endpoint list, or that holds connections of this proxy.
#[derive(Clone, Debug, Default)]
pub(crate) struct Server {
    pub(crate) endpoint: Endpoint,
    pub(crate) load: LoadEstimate,
    pub(crate) ejection: Ejection,
    pub(crate) probes: ProbeState,
    pub(crate) allowance: DialAllowance,
    /// Number of this proxy's open connections at the server.
    pub(crate) open_connections: u32,
    /// No sessions migrate off it before this time since the clock began, so that its reports can show the effect of
    /// the last migration.
    pub(crate) next_migration_at: Duration,
    /// Factor by which the load per connection in the last report exceeded the estimate from earlier ones.
    slowdown: f64,
}

impl Server {
    /// Resets a server that was just listed or restarted, except for its open connections and probes in flight.
    pub(crate) fn restart(&mut self, load: LoadEstimate, allowance: DialAllowance) {
        let before = std::mem::take(self);
        *self = Server {
            load,
            allowance,
            ejection: Ejection::listed(),
            probes: before.probes.after_restart(),
            open_connections: before.open_connections,
            ..Server::default()
        };
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.endpoint.state == EndpointState::Ready
    }

    /// Records the load per connection in a report, and returns the factor by which the server slowed down in each of
    /// the last two reports: the smaller of the two, where 1 is no change.
    pub(crate) fn update_slowdown(&mut self, load_per_connection: f64) -> f64 {
        let known = self.load.load_per_connection();
        let latest = known.map_or(1.0, |known| {
            (load_per_connection / known.max(MIN_LOAD_FOR_SLOWDOWN)).min(MAX_SLOWDOWN)
        });
        std::mem::replace(&mut self.slowdown, latest).min(latest)
    }
}
