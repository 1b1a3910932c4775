//! Migration of sessions away from servers that are overloaded or unresponsive.

use super::PlacementEngine;
use super::selection::{LOW_LOAD, MAX_PLACEMENT_LOAD};
use crate::action::PlacementAction;
use crate::deployment::RetrySafety;
use crate::event::{ServerId, SessionId};
use crate::load_estimate::MAX_REPORT_AGE;
use crate::session::{Session, SessionInput, SessionState};
use std::time::Duration;

/// Utilization above which sessions migrate away from a server, until it is down to [`MAX_PLACEMENT_LOAD`].
const OVERLOAD_UTILIZATION: f64 = 0.95;
/// Utilization above 1 that is assumed of a server for each second of message delay, multiplied by the mean spare
/// capacity of the ready servers. A greater value migrates more sessions.
const BACKLOG_LOAD_PER_SECOND: f64 = 3.0;

impl PlacementEngine {
    /// Migrates sessions off a server whose messages take longer than a listener's target; its reports may show that
    /// late or not at all. Messages stay late until the backlog is worked off, so a longer delay migrates more
    /// sessions, as far as other servers have spare capacity.
    pub(super) fn record_message_delay(
        &mut self,
        server: ServerId,
        delay: Duration,
        out: &mut Vec<PlacementAction>,
    ) {
        let is_late = self
            .deployment
            .listeners
            .iter()
            .any(|listener| listener.message_target.is_some_and(|target| delay > target));
        if !is_late {
            return;
        }
        let mean_load = self
            .mean_over_ready(|server| {
                let load = &server.load;
                Some(load.load_per_connection()? * load.aged_score(self.now))
            })
            .unwrap_or(LOW_LOAD);
        let backlog = BACKLOG_LOAD_PER_SECOND
            * (MAX_PLACEMENT_LOAD - mean_load).max(0.0)
            * delay.as_secs_f64();
        self.migrate_excess(server, Some(1.0 + backlog), out);
    }

    /// Migrates sessions off a server that is overloaded or unresponsive, as it serves none of its connections in
    /// time until some have left. Each proxy migrates its own share of the excess, rounded at random.
    pub(super) fn migrate_excess(
        &mut self,
        id: ServerId,
        utilization: Option<f64>,
        out: &mut Vec<PlacementAction>,
    ) {
        let now = self.now;
        let Some(server) = self.servers.get_mut(id as usize) else {
            return;
        };
        if server.next_migration_at > now {
            return;
        }
        let kept_fraction = if server.probes.is_unresponsive() {
            0.0
        } else {
            match utilization {
                Some(utilization) if utilization > OVERLOAD_UTILIZATION => {
                    MAX_PLACEMENT_LOAD / utilization
                }
                _ => return,
            }
        };
        server.next_migration_at = now + MAX_REPORT_AGE;
        let excess = f64::from(server.open_connections) * (1.0 - kept_fraction);
        // If each of many proxies rounded its share up, together they would empty the server.
        let excess = (excess + self.random.next_unit()) as usize;
        for session in self.sessions_to_migrate(id, excess) {
            out.push(PlacementAction::Migrate { session });
            self.handle_session_input(session, SessionInput::ClientLeft, out);
        }
    }

    /// Up to `count` open idempotent sessions at the server, those whose group has the fewest connections there
    /// first.
    fn sessions_to_migrate(&self, server: ServerId, count: usize) -> Vec<SessionId> {
        let may_migrate = |session: &&Session| {
            session.state == SessionState::Open
                && session.server == server
                && self.retry_safety(session) == RetrySafety::Idempotent
        };
        let mut by_group_size: Vec<(usize, SessionId)> = self
            .sessions
            .iter()
            .filter(may_migrate)
            .map(|session| {
                let group_size = self.groups.count(session.request.group, server);
                (group_size, session.id())
            })
            .collect();
        by_group_size.sort_unstable();
        by_group_size
            .into_iter()
            .take(count)
            .map(|(_, session)| session)
            .collect()
    }
}
