//! Access to sessions by their numbers, and their connections.

use super::connection::{Connection, ConnectionState};
use super::state::SystemState;
use asterramp_drain::DrainState;
use asterramp_placement::event::{Outcome, ServerLoad};
use asterramp_proxy::routing::session_state::{SessionInput, SessionState};

/// No load report.
pub(super) const NO_LOAD_REPORT: ServerLoad = ServerLoad {
    connections: None,
    utilization: None,
};

impl SystemState {
    pub(super) fn is_shutting_down(&self) -> bool {
        self.drain.state() == DrainState::Exiting
    }

    pub(super) fn all_sessions_are_open(&self) -> bool {
        let mut sessions = self.session_table.sessions.iter();
        sessions.all(|(_, slot)| slot.machine.state == SessionState::Open)
    }

    /// Closes both connections of an open session.
    pub(super) fn close_session(&mut self, session: u8, outcome: Outcome) {
        let Some(key) = self.session_keys[usize::from(session)] else {
            return;
        };
        if let Some(slot) = self.session_table.sessions.get_mut(key) {
            slot.driver_data.has_client = false;
            if let Some(server) = slot.driver_data.server.take() {
                self.connections.remove(server);
            }
        }
        self.monitor.on_session_ended(session);
        let session_closed = SessionInput::SessionClosed {
            outcome,
            load: NO_LOAD_REPORT,
        };
        self.session_table
            .handle_input(self.now, key, session_closed);
    }

    pub(super) fn connection_of(&self, session: u8) -> Option<&Connection> {
        let key = self.session_keys[usize::from(session)]?;
        let slot = self.session_table.sessions.get(key)?;
        self.connections.get(slot.driver_data.server?)
    }

    pub(super) fn set_connection_state(&mut self, session: u8, state: ConnectionState) {
        let key = self.session_keys[usize::from(session)];
        let slot = key.and_then(|key| self.session_table.sessions.get(key));
        let server = slot.and_then(|slot| slot.driver_data.server);
        if let Some(connection) = server.and_then(|key| self.connections.get_mut(key)) {
            connection.state = state;
        }
    }

    pub(super) fn session_input(&mut self, session: u8, input: SessionInput) {
        if let Some(key) = self.session_keys[usize::from(session)] {
            self.session_table.handle_input(self.now, key, input);
        }
    }

    /// Gives the session an input about its present dial, if it has one.
    pub(super) fn dial_input(&mut self, session: u8, input: impl FnOnce(u8) -> SessionInput) {
        let connection = self.connection_of(session).copied();
        if let Some(connection) = connection {
            let input = input(connection.dial);
            self.session_table
                .handle_input(self.now, connection.session_key, input);
        }
    }
}
