//! Carries out the tasks of the session table as the router does, on modelled connections in place of sockets.

use super::connection::{Connection, ConnectionState};
use super::state::{Deadline, SystemState};
use asterramp_placement::event::{Outcome, ServerId};
use asterramp_proxy::routing::session_state::{FinalResponse, SessionEffect, SessionInput};
use asterramp_proxy::routing::session_table::SessionTask;
use asterramp_proxy::transport::SlotKey;

impl SystemState {
    /// Carries out all tasks of the session table, including those that result from them.
    pub(super) fn carry_out_tasks(&mut self) {
        while let Some(task) = self.session_table.next_task() {
            match task {
                SessionTask::Probe(server) => {
                    self.probes_in_flight.insert(server);
                }
                // Updates of the endpoint list are separate actions.
                SessionTask::PollEndpoints | SessionTask::ZoneChanged(_) => {}
                SessionTask::SetTimer(after) => {
                    self.deadlines.set(Deadline::Tick, self.now + after);
                }
                SessionTask::Session(key, effect) => self.apply_effect(key, effect),
            }
        }
    }

    fn apply_effect(&mut self, key: SlotKey, effect: SessionEffect) {
        let Some(slot) = self.session_table.sessions.get(key) else {
            return;
        };
        let session = slot.driver_data.session;
        let client_is_gone = slot.driver_data.has_client && slot.driver_data.client_left_unnoticed;
        self.record_effect(session, &effect);
        // The router, too, checks the client's connection once more right before it sends something to a server.
        if client_is_gone && sends_to_server(&effect) && self.cancel_for_gone_client(key, session) {
            return;
        }
        match effect {
            SessionEffect::Connect { server } => self.connect(key, session, server),
            SessionEffect::SendRequest { wait } => {
                self.monitor.on_request_sent(session, self.now, wait);
            }
            SessionEffect::CloseServer => self.close_server(key, session),
            SessionEffect::SetDeadline(Some(at)) => {
                self.deadlines.set(Deadline::Session(key), at);
            }
            SessionEffect::SetDeadline(None) => self.deadlines.clear(Deadline::Session(key)),
            SessionEffect::AnswerClient(answer) => self.answer_client(key, session, answer),
            SessionEffect::DropClient => {
                self.disconnect_client(key);
            }
            SessionEffect::StartForwarding => self.start_forwarding(key, session),
            SessionEffect::Migrate => self.close_session(session, Outcome::Cancelled),
            SessionEffect::Forget => self.remove_session(key, session),
            SessionEffect::Restore
            | SessionEffect::Log(_)
            | SessionEffect::Count(_)
            | SessionEffect::Notify(_) => {}
        }
    }

    /// Records the effect for the output of a replayed trace.
    fn record_effect(&mut self, session: u8, effect: &SessionEffect) {
        match effect {
            SessionEffect::SetDeadline(_) | SessionEffect::Count(_) | SessionEffect::Log(_) => {}
            effect => self
                .last_effects
                .push(format!("session {session}: {effect:?}")),
        }
    }

    /// Handles a client that was found to have left right before something is sent to a server for it. Returns whether the
    /// sending is cancelled.
    fn cancel_for_gone_client(&mut self, key: SlotKey, session: u8) -> bool {
        self.monitor.on_client_left(session);
        self.session_table
            .cancel_before_send(self.now, key, SessionInput::ClientLeft)
    }

    fn connect(&mut self, key: SlotKey, session: u8, server: ServerId) {
        let model = self.servers.iter().find(|model| model.id == server);
        self.monitor.on_dial(session, self.now, server, model);
        if let Some(slot) = self.session_table.sessions.get_mut(key) {
            let connection = self.connections.insert(Connection {
                session_key: key,
                session,
                dial: slot.machine.dial_number(),
                state: ConnectionState::Connecting,
            });
            slot.driver_data.server = Some(connection);
        }
    }

    fn close_server(&mut self, key: SlotKey, session: u8) {
        let slot = self.session_table.sessions.get_mut(key);
        let Some(server) = slot.and_then(|slot| slot.driver_data.server.take()) else {
            return;
        };
        let Some(connection) = self.connections.remove(server) else {
            return;
        };
        if self.stale_events_left > 0 {
            self.closed_connections.push((server, connection));
        }
        self.monitor.on_connection_closed(session);
    }

    fn answer_client(&mut self, key: SlotKey, session: u8, answer: FinalResponse) {
        if self.disconnect_client(key) {
            let is_rejected = matches!(answer, FinalResponse::Rejected(_));
            self.monitor
                .on_client_answered(session, self.now, is_rejected);
        } else {
            self.monitor.on_answer_without_client(session);
        }
    }

    /// Closes the connection to the client. Returns whether there was one.
    fn disconnect_client(&mut self, key: SlotKey) -> bool {
        let slot = self.session_table.sessions.get_mut(key);
        slot.is_some_and(|slot| std::mem::replace(&mut slot.driver_data.has_client, false))
    }

    fn start_forwarding(&mut self, key: SlotKey, session: u8) {
        if let Some(slot) = self.session_table.sessions.get(key) {
            let has_connection = slot.driver_data.server.is_some();
            let has_client = slot.driver_data.has_client;
            self.monitor
                .on_session_opened(session, self.now, has_connection, has_client);
        }
    }

    fn remove_session(&mut self, key: SlotKey, session: u8) {
        self.deadlines.clear(Deadline::Session(key));
        let slot = self.session_table.sessions.remove(key);
        if let Some(server) = slot.and_then(|slot| slot.driver_data.server) {
            self.connections.remove(server);
            self.monitor.on_connection_closed(session);
        }
        self.monitor.on_session_removed(session);
    }
}

fn sends_to_server(effect: &SessionEffect) -> bool {
    matches!(
        effect,
        SessionEffect::Connect { .. } | SessionEffect::SendRequest { .. }
    )
}
