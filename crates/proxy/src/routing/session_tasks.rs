//! Carries out the tasks of the session table on sockets, timers and logs.

use super::Router;
use super::events::ReasonCode;
use super::metrics::SessionEnd;
use super::session_state::{FinalResponse, SessionEffect, SessionInput, SessionMachine};
use super::session_table::SessionTask;
use super::types::{SessionConnections, TimerKey};
use super::zones::ZoneTransition;
use crate::protocol::client::{ERROR_LINE, busy_line};
use crate::transport::SlotKey;
use asterramp_placement::PlacementEvent;

impl Router {
    /// Gives an input to a session; ignored if the session has been removed.
    pub(super) fn handle_session_input(&mut self, session: SlotKey, input: SessionInput) {
        self.session_table.handle_input(self.now, session, input);
    }

    /// Gives the placement engine an event that no session's state machine emits.
    pub(super) fn handle_placement_event(&mut self, event: PlacementEvent) {
        self.session_table.handle_event(self.now, event);
    }

    /// A session's state machine; `None` if the session has been removed.
    pub(super) fn session_machine(&self, session: SlotKey) -> Option<&SessionMachine> {
        self.session_table
            .sessions
            .get(session)
            .map(|slot| &slot.machine)
    }

    /// The connections of a session; `None` if the session has been removed.
    pub(super) fn session_mut(&mut self, session: SlotKey) -> Option<&mut SessionConnections> {
        self.session_table
            .sessions
            .get_mut(session)
            .map(|slot| &mut slot.driver_data)
    }

    /// Carries out the queued tasks, and those that follow from them, until none is left.
    pub(super) fn run_tasks(&mut self) {
        while let Some(task) = self.session_table.next_task() {
            match task {
                SessionTask::Probe(server) => self.start_probe(server),
                SessionTask::PollEndpoints => self.connect_watch(),
                SessionTask::ZoneChanged(transition) => self.log_zone_change(transition),
                SessionTask::SetTimer(after) => {
                    self.deadlines.set(TimerKey::Tick, self.now + after);
                }
                SessionTask::Session(session, effect) => self.perform_effect(session, effect),
            }
        }
    }

    fn log_zone_change(&mut self, transition: ZoneTransition) {
        let ZoneTransition { zone, state, cause } = transition;
        let name = self
            .settings
            .zones
            .get(usize::from(zone))
            .map_or("-", |name| name.as_str());
        let why = cause.reason();
        let about = format!("place={name} state={} why={why:?}", state.name());
        self.log_event(ReasonCode::ZoneStateChanged, about);
    }

    fn perform_effect(&mut self, session: SlotKey, effect: SessionEffect) {
        match effect {
            SessionEffect::Connect { server } => self.dial(session, server),
            SessionEffect::SendRequest { wait } => self.send_request_line(session, wait),
            SessionEffect::CloseServer => {
                if let Some(key) = self.take_server(session) {
                    self.close(key);
                }
            }
            SessionEffect::SetDeadline(Some(at)) => {
                self.deadlines.set(TimerKey::Session(session), at);
            }
            SessionEffect::SetDeadline(None) => self.deadlines.clear(TimerKey::Session(session)),
            SessionEffect::AnswerClient(FinalResponse::Rejected(retry_after)) => {
                let line = busy_line(retry_after);
                self.send_final_response(session, line.as_bytes(), ReasonCode::Rejected);
            }
            SessionEffect::AnswerClient(FinalResponse::Failed(code)) => {
                self.send_final_response(session, ERROR_LINE, code);
            }
            SessionEffect::DropClient => {
                if let Some(key) = self.take_client(session) {
                    self.count_session_end(session, SessionEnd::Failure);
                    self.close(key);
                }
            }
            SessionEffect::StartForwarding => self.forward(session),
            SessionEffect::Migrate => self.migrate(session, ReasonCode::Rebalanced),
            SessionEffect::Restore => self.restore_session(session),
            SessionEffect::Forget => self.remove_session(session),
            SessionEffect::Log(code) => self.log_session_end(session, code),
            SessionEffect::Count(code) => self.count_session_event(session, code),
            // The session table has passed the event to the engine.
            SessionEffect::Notify(_) => {}
        }
    }

    /// Counts an event of a session; an opened or restored session also counts as a success.
    fn count_session_event(&mut self, session: SlotKey, code: ReasonCode) {
        if matches!(
            code,
            ReasonCode::SessionOpened | ReasonCode::SessionRestored
        ) {
            self.count_session_end(session, SessionEnd::Success);
        }
        self.count_event(code);
    }

    /// Counts the end of a session as its client sees it; called once for each session.
    pub(super) fn count_session_end(&mut self, session: SlotKey, end: SessionEnd) {
        let listener = self
            .session_machine(session)
            .map(|machine| machine.request.listener);
        if let Some(listener) = listener {
            self.metrics.count_session_end(listener, end);
        }
    }

    /// Detaches the client's connection from a session, without closing it. A client counts as two descriptors, its
    /// server's included; a server that remains without its client is counted on its own, as one.
    pub(super) fn take_client(&mut self, session: SlotKey) -> Option<SlotKey> {
        let data = self.session_mut(session)?;
        let client = data.client.take();
        let has_server = data.server.is_some();
        if client.is_some() && has_server {
            self.connection_counts.servers_without_client += 1;
        }
        client
    }

    /// Detaches the server's connection from a session, without closing it.
    pub(super) fn take_server(&mut self, session: SlotKey) -> Option<SlotKey> {
        let data = self.session_mut(session)?;
        let server = data.server.take();
        let has_client = data.client.is_some();
        if server.is_some() && !has_client {
            self.connection_counts.servers_without_client -= 1;
        }
        server
    }

    /// Removes a session from the tables and closes its connections.
    fn remove_session(&mut self, session: SlotKey) {
        let client = self.take_client(session);
        let server = self.take_server(session);
        if let Some(slot) = self.session_table.sessions.remove(session) {
            self.deadlines.clear(TimerKey::Session(session));
            let id = slot.driver_data.id();
            self.session_ids.remove(id);
            if slot.machine.may_come_again() {
                self.report_reusable_id(id);
            } else {
                self.recent_session_ids.insert(self.now, id);
            }
            for key in [client, server].into_iter().flatten() {
                self.close(key);
            }
        }
    }
}
