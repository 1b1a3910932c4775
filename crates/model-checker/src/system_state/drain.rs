//! An operator's drain and SIGTERM, decided by the production drain state machine.

use super::connection::SessionConnections;
use super::state::{Deadline, SystemState};
use crate::shape::Shape;
use asterramp_drain::{ADVICE_INTERVAL, DrainState, DrainView, ShutdownSchedule};
use asterramp_placement::event::Outcome;
use asterramp_proxy::routing::session_state::{SessionInput, SessionState};
use asterramp_proxy::routing::session_table::SessionSlot;
use asterramp_proxy::transport::SlotKey;
use std::time::Duration;

/// Time within which the operator wants all sessions to be migrated.
const DRAIN_TIME: Duration = Duration::from_millis(200);
/// Longest time after SIGTERM until clients that still wait are rejected, and the time from then until the proxy exits.
pub(super) const MAX_SHUTDOWN_WAIT: Duration = Duration::from_secs(3);
/// When the first open session is migrated, as a fraction of the time from SIGTERM until waiting clients are rejected.
const MIGRATE_FROM_FRACTION: f64 = 0.7;
/// When the last open session is migrated, as a fraction of the same time; above 1, it is after the rejections.
const MIGRATE_UNTIL_FRACTION: f64 = 1.05;

impl SystemState {
    /// Handles SIGTERM: makes the schedule of the shutdown as the router does.
    pub(super) fn begin_shutdown(&mut self, shape: &Shape) {
        let wait = shape.client_wait.min(MAX_SHUTDOWN_WAIT);
        let migrate_from = self.now + wait.mul_f64(MIGRATE_FROM_FRACTION);
        let migrate_until = self.now + wait.mul_f64(MIGRATE_UNTIL_FRACTION);
        let reject_pending_at = self.now + wait;
        // A drain in progress may have to be finished before.
        let first_advice = match self.drain.state() {
            DrainState::Serving => migrate_from,
            _ => self.now,
        };
        self.drain.begin_shutdown(ShutdownSchedule {
            serve_until: migrate_from,
            close_listener_at: migrate_from,
            migrate_from,
            migrate_until,
            reject_pending_at,
            exit_at: reject_pending_at + MAX_SHUTDOWN_WAIT,
        });
        self.deadlines.set(Deadline::DrainAdvice, first_advice);
    }

    /// Handles an operator's request to drain the proxy.
    pub(super) fn start_drain(&mut self) {
        self.operator_commands_left -= 1;
        if self.drain.start(self.now, DRAIN_TIME, None).is_ok() {
            self.deadlines.set(Deadline::DrainAdvice, self.now);
        }
    }

    /// Handles an operator's request to cancel the drain.
    pub(super) fn cancel_drain(&mut self) {
        self.operator_commands_left -= 1;
        if self.drain.cancel(self.now).is_ok() {
            self.deadlines.clear(Deadline::DrainAdvice);
        }
    }

    /// Asks the drain for advice and carries it out.
    pub(super) fn follow_drain_advice(&mut self) {
        let is_open = |slot: &SessionSlot<_>| slot.machine.state == SessionState::Open;
        let open = self.sessions_with_client(is_open);
        let pending = self.sessions_with_client(|slot| !is_open(slot));
        let view = DrainView {
            open_sessions: open.len(),
            pending_sessions: pending.len(),
            client_connections: open.len() + pending.len(),
            last_session_arrival: self.last_arrival,
            spare_capacity: None,
        };
        let advice = self.drain.advise(self.now, &view);
        for (_, session) in open.into_iter().take(advice.sessions_to_migrate) {
            self.close_session(session, Outcome::Cancelled);
        }
        if advice.reject_pending {
            self.reject_sessions(pending);
        }
        // Clients that are left at the exit are disconnected by it: no further advice is needed.
        let is_over = self.drain.state() == DrainState::Serving || advice.exit;
        if !is_over && !self.session_table.sessions.is_empty() {
            let next_advice = self.now + ADVICE_INTERVAL;
            self.deadlines.set(Deadline::DrainAdvice, next_advice);
        }
    }

    /// The sessions that match `predicate` and whose client has not left, with their numbers.
    fn sessions_with_client(
        &self,
        predicate: impl Fn(&SessionSlot<SessionConnections>) -> bool,
    ) -> Vec<(SlotKey, u8)> {
        let sessions = self.session_table.sessions.iter();
        let matching = sessions.filter(|(_, slot)| predicate(slot) && !slot.machine.client_left);
        matching
            .map(|(key, slot)| (key, slot.driver_data.session))
            .collect()
    }

    /// Ends the wait of sessions that are not open yet.
    fn reject_sessions(&mut self, pending: Vec<(SlotKey, u8)>) {
        let input = if self.is_shutting_down() {
            SessionInput::ShutdownCutoff
        } else {
            SessionInput::DrainCutoff
        };
        for (key, _) in pending {
            self.session_table.handle_input(self.now, key, input);
        }
    }
}
