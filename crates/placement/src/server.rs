//! What the engine knows of one server.

use crate::event::{Endpoint, EndpointState};
use crate::load_estimate::LoadEstimate;
use crate::outlier_ejection::Ejection;
use crate::probing::ProbeState;
use crate::slow_start::DialAllowance;
use std::time::Duration;

/// Most by which one report is taken to show a server slower.
const MAX_SLOWDOWN: f64 = 2.0;
/// Least load of one connection that a slowdown is computed from.
const MIN_LOAD_PER_CONNECTION: f64 = 1e-6;

#[derive(Clone, Debug, Default)]
pub(crate) struct Server {
    pub(crate) endpoint: Endpoint,
    pub(crate) load: LoadEstimate,
    pub(crate) ejection: Ejection,
    pub(crate) probes: ProbeState,
    pub(crate) allowance: DialAllowance,
    /// Connections of this proxy.
    pub(crate) open_connections: u32,
    /// It is not relieved before, so that its reports can show the last relief.
    pub(crate) next_migration_at: Duration,
    /// By what factor the last report showed the server slower than those before.
    slowdown: f64,
}

impl Server {
    /// A server that was just listed or restarted. Connections and probes in flight outlast that.
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

    /// Takes in the load of one connection by a report, and returns by what factor the server slowed down in both
    /// of the last two reports.
    pub(crate) fn update_slowdown(&mut self, load_per_connection: f64) -> f64 {
        let known = self.load.load_per_connection();
        let latest = known.map_or(1.0, |known| {
            (load_per_connection / known.max(MIN_LOAD_PER_CONNECTION)).min(MAX_SLOWDOWN)
        });
        std::mem::replace(&mut self.slowdown, latest).min(latest)
    }
}
