//! Sends probes and applies their results: ejection, load estimates, migration, and waiting sessions.

use super::{PlacementEngine, TICK_INTERVAL};
use crate::action::PlacementAction;
use crate::event::{Outcome, ServerId, ServerLoad};
use crate::session::SessionInput;

/// Factor by which a server must have slowed down in both of its last reports to be treated as slowing down.
/// Smaller changes are variation in what its connections ask for.
const MIN_SLOWDOWN: f64 = 1.1;

impl PlacementEngine {
    /// Probes a server unless a probe of it is in flight. An unknown id is ignored.
    pub(super) fn send_probe(&mut self, id: ServerId, out: &mut Vec<PlacementAction>) {
        let Some(server) = self.servers.get_mut(id as usize) else {
            return;
        };
        let jitter = TICK_INTERVAL.mul_f64(2.0 * self.random.next_unit());
        if server.probes.request(self.now + jitter) {
            out.push(PlacementAction::Probe { server: id });
        }
    }

    /// Probes the ready servers that hold connections of this proxy and whose next probe is due.
    pub(super) fn send_regular_probes(&mut self, out: &mut Vec<PlacementAction>) {
        if !self.deployment.may_probe {
            return;
        }
        for id in 0..self.servers.len() as ServerId {
            let server = self.server(id);
            let is_used = server.open_connections > 0 && server.is_ready();
            if is_used && server.probes.is_due(self.now, server.open_connections) {
                self.send_probe(id, out);
            }
        }
    }

    /// Applies a probe's result, then places the sessions that waited for it.
    pub(super) fn record_probe_end(
        &mut self,
        id: ServerId,
        outcome: Outcome,
        load: ServerLoad,
        out: &mut Vec<PlacementAction>,
    ) {
        let now = self.now;
        let Some(server) = self.servers.get_mut(id as usize) else {
            return;
        };
        let failed = matches!(
            outcome,
            Outcome::TimedOut | Outcome::Unreachable | Outcome::Reset
        );
        if failed {
            server.probes.record_failure();
        } else {
            server.probes.record_answer(now);
        }
        let waiting = server.probes.take_waiting_sessions();
        if failed {
            let probe_again = !server.probes.is_unresponsive() && server.open_connections > 0;
            server.ejection.record_failure(now);
            if probe_again {
                self.send_probe(id, out);
            }
        }
        self.record_load(id, load);
        self.migrate_excess_by_report(id, load, out);
        for session in waiting {
            self.handle_session_input(session, SessionInput::ProbesAnswered, out);
        }
    }

    /// Updates a server's load estimate from its report.
    pub(super) fn record_load(&mut self, id: ServerId, load: ServerLoad) {
        let now = self.now;
        let mean = self.mean_load_per_connection;
        self.server_mut(id).load.record_report(now, load, mean);
    }

    /// Migrates sessions off a server whose report shows an overload. A server that slowed down in both of its last
    /// reports is assumed to have slowed down by the same factor again since, as reports are late.
    fn migrate_excess_by_report(
        &mut self,
        id: ServerId,
        load: ServerLoad,
        out: &mut Vec<PlacementAction>,
    ) {
        let connections = load.connections.unwrap_or(0.0).max(1.0);
        let load_per_connection = load.utilization.unwrap_or(0.0) / connections;
        let slowdown = self.server_mut(id).update_slowdown(load_per_connection);
        let forecast_factor = if slowdown > MIN_SLOWDOWN {
            slowdown * slowdown
        } else {
            1.0
        };
        let utilization = load
            .utilization
            .map(|utilization| utilization * forecast_factor);
        self.migrate_excess(id, utilization, out);
    }
}
