//! Migration of sessions away from servers that are overloaded or unresponsive.

use super::PlacementEngine;
use super::selection::{HALF_LOAD, MAX_PLACEMENT_LOAD};
use crate::action::PlacementAction;
use crate::deployment::RetrySafety;
use crate::event::{ServerId, SessionId};
use crate::load_estimate::MAX_REPORT_AGE;
use crate::session::{Session, SessionInput, SessionState};
use std::time::Duration;

/// Utilization over which a server is relieved, down to [`MAX_PLACEMENT_LOAD`].
const OVERLOAD: f64 = 0.95;
/// How much more than its excess a server with late messages is relieved of: this many times its capacity, for
/// each second of delay and in proportion to the mean room of the servers.
const BACKLOG_RELIEF: f64 = 3.0;

impl PlacementEngine {
    /// Relieves a server whose messages take longer than a listener's target, which its reports may not show, or
    /// show late. The backlog keeps messages late until it is worked off, so the longer the delay, the more
    /// sessions migrate, as far as other servers have room.
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
            .unwrap_or(HALF_LOAD);
        let backlog =
            BACKLOG_RELIEF * (MAX_PLACEMENT_LOAD - mean_load).max(0.0) * delay.as_secs_f64();
        self.migrate_excess(server, Some(1.0 + backlog), out);
    }

    /// A server that is asked for more than it can do, or is unresponsive, serves none of its connections in time
    /// until some leave: each proxy migrates its part of the excess, rounded by chance.
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
        let kept_part = if server.probes.is_unresponsive() {
            0.0
        } else {
            match utilization {
                Some(utilization) if utilization > OVERLOAD => MAX_PLACEMENT_LOAD / utilization,
                _ => return,
            }
        };
        server.next_migration_at = now + MAX_REPORT_AGE;
        let excess = f64::from(server.open_connections) * (1.0 - kept_part);
        // A part rounded up at each of many proxies would empty the server.
        let excess = (excess + self.random.next_unit()) as usize;
        for session in self.sessions_to_migrate(id, excess) {
            out.push(PlacementAction::Migrate { session });
            self.handle_session_input(session, SessionInput::ClientLeft, out);
        }
    }

    /// So many idempotent sessions of the server at most, those of the smallest groups first.
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
