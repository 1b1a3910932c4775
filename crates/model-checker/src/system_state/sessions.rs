//! Access to sessions and their connections by the sessions' numbers.

use super::connection::{Connection, ConnectionState};
use super::state::SystemState;
use asterramp_drain::DrainState;
use asterramp_placement::event::{Outcome, ServerLoad};
use asterramp_proxy::routing::session_state::{SessionInput, SessionState};

/// The load in an input or event that carries no load report.
pub(super) const NO_LOAD_REPORT: ServerLoad = ServerLoad {
    connections: None,
    utilization: None,
};

impl SystemState {
    pub(super) fn is_shutting_down(&self) -> bool {
        self.drain.state() == DrainState::Exiting
    }

    /// Whether every session in the table is open; true if there is none.
    pub(super) fn all_sessions_are_open(&self) -> bool {
        let mut sessions = self.session_table.sessions.iter();
        sessions.all(|(_, slot)| slot.machine.state == SessionState::Open)
    }

    /// Ends an open session: closes both of its connections and notifies the session table.
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

    /// The session's connection to its server, if it has one.
    pub(super) fn connection_of(&self, session: u8) -> Option<&Connection> {
        let key = self.session_keys[usize::from(session)]?;
        let slot = self.session_table.sessions.get(key)?;
        self.connections.get(slot.driver_data.server?)
    }

    /// Changes the state of the session's connection to its server, if it has one.
    pub(super) fn set_connection_state(&mut self, session: u8, state: ConnectionState) {
        let key = self.session_keys[usize::from(session)];
        let slot = key.and_then(|key| self.session_table.sessions.get(key));
        let server = slot.and_then(|slot| slot.driver_data.server);
        if let Some(connection) = server.and_then(|key| self.connections.get_mut(key)) {
            connection.state = state;
        }
    }

    /// Passes an input to a session; ignored before it has arrived.
    pub(super) fn handle_session_input(&mut self, session: u8, input: SessionInput) {
        if let Some(key) = self.session_keys[usize::from(session)] {
            self.session_table.handle_input(self.now, key, input);
        }
    }

    /// Passes a session an input about its current dial, if it has one. `input` makes it from the dial's number.
    pub(super) fn handle_dial_input(
        &mut self,
        session: u8,
        input: impl FnOnce(u8) -> SessionInput,
    ) {
        let connection = self.connection_of(session).copied();
        if let Some(connection) = connection {
            let input = input(connection.dial);
            self.session_table
                .handle_input(self.now, connection.session_key, input);
        }
    }
}
