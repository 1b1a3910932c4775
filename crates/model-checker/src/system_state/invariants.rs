//! Properties of a whole state, checked after each action.

use super::drain::MAX_SHUTDOWN_WAIT;
use super::state::{Deadline, START_TIME, SystemState};
use crate::properties::Violation;
use crate::shape::Shape;
use std::time::Duration;

/// The session number in violations that concern no particular session.
const UNSPECIFIED_SESSION: u8 = 0;

impl SystemState {
    /// Checks all properties, and returns the first violation since the last call.
    pub(super) fn check_properties(&mut self, shape: &Shape) -> Result<(), Violation> {
        self.monitor.check_sessions_now(self.now);
        self.check_connections();
        if !shape.may_probe {
            self.check_sessions();
        }
        self.check_deadlines();
        let latest_end =
            START_TIME + shape.arrival_window() + shape.client_wait * 2 + MAX_SHUTDOWN_WAIT;
        if self.now > latest_end && !self.all_sessions_are_open() {
            self.monitor
                .report_left_behind(UNSPECIFIED_SESSION, "a session long after its time");
        }
        self.monitor.take_violation()
    }

    /// Each connection to a server belongs to a session.
    fn check_connections(&mut self) {
        for (key, connection) in self.connections.iter() {
            let slot = self.session_table.sessions.get(connection.session_key);
            let is_known = slot.is_some_and(|slot| slot.driver_data.server == Some(key));
            if !is_known {
                self.monitor
                    .report_left_behind(connection.session, "a connection that no session knows");
            }
        }
    }

    /// Each session has a connection or a deadline. Not checked where the proxy may probe, since a session may then also
    /// wait in the placement engine for the result of a probe.
    fn check_sessions(&mut self) {
        for (key, slot) in self.session_table.sessions.iter() {
            let has_connection = slot.driver_data.server.is_some();
            let has_deadline = || self.deadlines.get(Deadline::Session(key)).is_some();
            if !has_connection && !has_deadline() {
                self.monitor.report_left_behind(
                    slot.driver_data.session,
                    "a session that nothing will end",
                );
            }
        }
    }

    /// Each deadline of a session belongs to a session in the table.
    fn check_deadlines(&mut self) {
        let mut deadlines = self.deadlines.clone();
        let keys = std::iter::from_fn(|| deadlines.pop_due(Duration::MAX));
        let sessions = &self.session_table.sessions;
        let is_stray =
            |key| matches!(key, Deadline::Session(session) if sessions.get(session).is_none());
        if keys.into_iter().any(is_stray) {
            self.monitor
                .report_left_behind(UNSPECIFIED_SESSION, "a deadline of a session that is gone");
        }
    }
}
