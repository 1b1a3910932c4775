//! Applies actions to the model and passes the resulting inputs to the session table.

use super::connection::{Connection, ConnectionState, SessionConnections};
use super::sessions::NO_LOAD_REPORT;
use super::state::{Deadline, SystemState};
use crate::action::{Action, EndpointChange, ProbeResult, ServerMessage};
use crate::shape::Shape;
use asterramp_drain::{ADVICE_INTERVAL, DrainState};
use asterramp_placement::PlacementEvent;
use asterramp_placement::event::{
    Endpoint, EndpointState, EndpointUpdate, Outcome, ServerLoad, SessionRequest,
};
use asterramp_proxy::routing::session_state::{SessionInput, SessionState};

/// The load report of a nearly idle server.
const LIGHT_LOAD: ServerLoad = ServerLoad {
    connections: Some(1.0),
    utilization: Some(0.1),
};
/// The load report of a server whose utilization is above its capacity.
const OVERLOAD: ServerLoad = ServerLoad {
    connections: Some(20.0),
    utilization: Some(1.2),
};

impl SystemState {
    /// Applies an action, but does not carry out the tasks that result from it.
    pub(super) fn apply_action(&mut self, shape: &Shape, action: Action) {
        match action {
            Action::SessionArrives(session) => self.session_arrives(shape, session),
            Action::DialConnected(session) => {
                self.set_connection_state(session, ConnectionState::SendingRequest);
                self.handle_dial_input(session, |dial| SessionInput::Connected { dial });
            }
            Action::DialRefused(session) => {
                self.handle_dial_input(session, |dial| SessionInput::Unreachable { dial });
            }
            Action::DialWithoutSocket(session) => {
                self.handle_dial_input(session, |dial| SessionInput::NoSocket { dial });
            }
            Action::RequestWritten(session) => {
                self.monitor.on_request_written(session);
                self.set_connection_state(session, ConnectionState::AwaitingAnswer);
                self.handle_dial_input(session, |dial| SessionInput::RequestWritten { dial });
            }
            Action::ServerAnswers(session, message) => self.server_answers(session, message),
            Action::ServerCloses(session) => self.server_closes(session),
            Action::ClientLeaves(session) => self.client_leaves(session),
            Action::ClientSendsEarly(session) => {
                self.handle_session_input(session, SessionInput::ClientSentEarlyData)
            }
            Action::ClientLeavesUnnoticed(session) => self.client_leaves_unnoticed(session),
            Action::EndpointChanges(server, change) => self.endpoint_changes(server, change),
            Action::ProbeEnds(server, result) => self.probe_ends(server, result),
            Action::NextDeadline => self.process_next_deadline(),
            Action::StaleEvent(session) => self.stale_event(session),
            Action::Sigterm => self.begin_shutdown(shape),
            Action::OperatorDrains => self.start_drain(),
            Action::OperatorCancelsDrain => self.cancel_drain(),
        }
    }

    fn session_arrives(&mut self, shape: &Shape, session: u8) {
        let answer_deadline = self.now + shape.client_wait;
        self.monitor.on_session_arrived(session, answer_deadline);
        self.last_arrival = self.now;
        if self.drain.state() != DrainState::Serving {
            let next_advice = self.now + ADVICE_INTERVAL;
            self.deadlines.set(Deadline::DrainAdvice, next_advice);
        }
        let request = SessionRequest {
            listener: session,
            answer_deadline,
            ..SessionRequest::default()
        };
        let connections = SessionConnections {
            session,
            has_client: true,
            client_left_unnoticed: false,
            server: None,
        };
        let key = self
            .session_table
            .start_session(self.now, request, false, connections);
        self.session_keys[usize::from(session)] = Some(key);
    }

    fn server_answers(&mut self, session: u8, message: ServerMessage) {
        let outcome = match message {
            ServerMessage::Up => {
                self.set_connection_state(session, ConnectionState::Open);
                self.handle_dial_input(session, |dial| SessionInput::ServerAccepted { dial });
                return;
            }
            ServerMessage::Busy => {
                self.monitor.on_server_busy(session);
                Outcome::Full
            }
            ServerMessage::Err => Outcome::ServerError,
            ServerMessage::Move => Outcome::Cancelled,
        };
        self.handle_dial_input(session, |dial| SessionInput::ServerDeclined {
            dial,
            outcome,
            load: NO_LOAD_REPORT,
        });
    }

    fn server_closes(&mut self, session: u8) {
        let state = self
            .connection_of(session)
            .map(|connection| connection.state);
        if state == Some(ConnectionState::Open) {
            self.close_session(session, Outcome::Reset);
        } else {
            self.handle_dial_input(session, |dial| SessionInput::ServerDisconnected { dial });
        }
    }

    fn client_leaves(&mut self, session: u8) {
        let key = self.session_keys[usize::from(session)];
        let Some(key) = key else {
            return;
        };
        let slot = self.session_table.sessions.get(key);
        let was_open = slot.is_some_and(|slot| slot.machine.state == SessionState::Open);
        self.monitor.on_client_left(session);
        self.session_table
            .handle_input(self.now, key, SessionInput::ClientLeft);
        if was_open {
            self.close_session(session, Outcome::Ok);
        }
    }

    fn client_leaves_unnoticed(&mut self, session: u8) {
        let key = self.session_keys[usize::from(session)];
        if let Some(slot) = key.and_then(|key| self.session_table.sessions.get_mut(key)) {
            slot.driver_data.client_left_unnoticed = true;
        }
        self.monitor.on_client_left_unnoticed(session);
    }

    fn endpoint_changes(&mut self, server: u8, change: EndpointChange) {
        self.endpoint_changes_left -= 1;
        let model = &mut self.servers[usize::from(server)];
        let mut endpoints = Vec::new();
        match change {
            EndpointChange::Ready => model.state = EndpointState::Ready,
            EndpointChange::Draining => model.state = EndpointState::Draining,
            EndpointChange::Gone => model.state = EndpointState::Gone,
            EndpointChange::Restarted => model.started_at = Some(self.now),
            EndpointChange::Replaced => {
                endpoints.push(Endpoint {
                    state: EndpointState::Gone,
                    ..model.endpoint()
                });
                model.id = self.next_server_id;
                model.started_at = Some(self.now);
                self.next_server_id += 1;
            }
        }
        endpoints.push(model.endpoint());
        for endpoint in &endpoints {
            self.monitor.on_endpoint_change(endpoint, self.now);
        }
        let changes = PlacementEvent::EndpointsUpdated(EndpointUpdate::Changes(endpoints));
        self.session_table.handle_event(self.now, changes);
    }

    fn probe_ends(&mut self, server: u8, result: ProbeResult) {
        let server = self.servers[usize::from(server)].id;
        self.probes_in_flight.remove(&server);
        let (outcome, load) = match result {
            ProbeResult::LightLoad => (Outcome::Ok, LIGHT_LOAD),
            ProbeResult::Overload => (Outcome::Ok, OVERLOAD),
            ProbeResult::TimedOut => (Outcome::TimedOut, NO_LOAD_REPORT),
            ProbeResult::Refused => (Outcome::Unreachable, NO_LOAD_REPORT),
        };
        let probe_ended = PlacementEvent::ProbeEnded {
            server,
            outcome,
            load,
        };
        self.session_table.handle_event(self.now, probe_ended);
    }

    /// Advances the clock to the next deadline and handles that deadline.
    fn process_next_deadline(&mut self) {
        let Some(due_at) = self.deadlines.next_due() else {
            return;
        };
        self.now = self.now.max(due_at);
        match self.deadlines.pop_due(self.now) {
            Some(Deadline::Tick) => self
                .session_table
                .handle_event(self.now, PlacementEvent::Tick),
            Some(Deadline::Session(key)) => {
                self.session_table
                    .handle_input(self.now, key, SessionInput::DeadlineReached);
            }
            Some(Deadline::DrainAdvice) => self.follow_drain_advice(),
            None => {}
        }
    }

    /// Delivers an event of a connection that has been closed since epoll returned the event. As in the router, the key
    /// must not find a newer connection in the same slot, because the slot's generation differs.
    fn stale_event(&mut self, session: u8) {
        self.stale_events_left -= 1;
        let mut closed = self.closed_connections.iter();
        let Some(index) = closed.position(|(_, connection)| connection.session == session) else {
            return;
        };
        let (key, closed) = self.closed_connections.remove(index);
        match self.connections.get(key).copied() {
            Some(found) => {
                self.monitor.on_stale_event(found.session);
                let server_ended = SessionInput::ServerDisconnected { dial: found.dial };
                self.session_table
                    .handle_input(self.now, found.session_key, server_ended);
            }
            None => self.deliver_late_answer(closed),
        }
    }

    /// Passes the session an answer of a closed connection's server, under the number of that dial. The router has no socket
    /// to read such an answer from; the session must ignore it all the same.
    fn deliver_late_answer(&mut self, closed: Connection) {
        if closed.state == ConnectionState::AwaitingAnswer {
            let server_accepted = SessionInput::ServerAccepted { dial: closed.dial };
            self.session_table
                .handle_input(self.now, closed.session_key, server_accepted);
        }
    }
}
