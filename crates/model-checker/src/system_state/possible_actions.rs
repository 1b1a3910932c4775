//! The actions that are possible in a state, in a fixed order, and whether a state is finished.

use super::connection::{ConnectionState, SessionConnections};
use super::state::{MAX_DURATION, START_TIME, SystemState};
use crate::action::{Action, EndpointChange, ProbeResult, ServerMessage};
use crate::shape::Shape;
use asterramp_drain::DrainState;
use asterramp_placement::event::EndpointState;
use asterramp_proxy::routing::session_state::SessionState;
use asterramp_proxy::routing::session_table::SessionSlot;
use asterramp_proxy::transport::SlotKey;

/// All first lines of a server, in the order in which they are explored.
const SERVER_MESSAGES: [ServerMessage; 4] = [
    ServerMessage::Up,
    ServerMessage::Busy,
    ServerMessage::Err,
    ServerMessage::Move,
];

/// All results of a probe, in the order in which they are explored.
const PROBE_RESULTS: [ProbeResult; 4] = [
    ProbeResult::LightLoad,
    ProbeResult::Overload,
    ProbeResult::TimedOut,
    ProbeResult::Refused,
];

/// Changes that the endpoint list may report of a server that is ready.
const CHANGES_OF_READY: &[EndpointChange] = &[
    EndpointChange::Draining,
    EndpointChange::Gone,
    EndpointChange::Restarted,
    EndpointChange::Replaced,
];
/// Changes that the endpoint list may report of a server that is draining or gone.
const CHANGES_OF_UNREADY: &[EndpointChange] = &[EndpointChange::Ready];

impl SystemState {
    /// Whether no further session can arrive and all have ended, or those that have not have been open for long.
    pub fn is_finished(&self, shape: &Shape) -> bool {
        let arrivals_are_over =
            self.now > START_TIME + shape.arrival_window() || self.is_shutting_down();
        let all_arrived = self.session_keys.iter().all(Option::is_some);
        if !all_arrived && !arrivals_are_over {
            return false;
        }
        let is_only_open = self.drain.state() == DrainState::Serving
            && self.now > START_TIME + shape.open_session_cutoff()
            && self.all_sessions_are_open();
        is_only_open || self.session_table.sessions.is_empty()
    }

    /// Replaces the contents of `out` by all possible actions; [`Action::NextDeadline`] is last if it is possible.
    pub fn actions(&self, shape: &Shape, out: &mut Vec<Action>) {
        out.clear();
        self.all_session_actions(shape, out);
        self.stale_event_actions(out);
        self.server_actions(out);
        self.operator_actions(shape, out);
        if self.deadlines.next_due().is_some() && self.now < START_TIME + MAX_DURATION {
            out.push(Action::NextDeadline);
        }
    }

    fn all_session_actions(&self, shape: &Shape, out: &mut Vec<Action>) {
        let may_arrive =
            self.now <= START_TIME + shape.arrival_window() && !self.is_shutting_down();
        // Sessions arrive in the order of their numbers.
        let mut predecessor_arrived = true;
        for (session, key) in (0..).zip(&self.session_keys) {
            match key {
                Some(key) => self.session_actions(shape, session, *key, out),
                None if may_arrive && predecessor_arrived => {
                    out.push(Action::SessionArrives(session));
                }
                None => {}
            }
            predecessor_arrived = key.is_some();
        }
    }

    fn session_actions(&self, shape: &Shape, session: u8, key: SlotKey, out: &mut Vec<Action>) {
        let slot = self.session_table.sessions.get(key);
        let Some(slot) = slot.filter(|slot| slot.driver_data.session == session) else {
            return;
        };
        self.connection_actions(shape, slot, out);
        client_actions(shape, slot, out);
    }

    fn connection_actions(
        &self,
        shape: &Shape,
        slot: &SessionSlot<SessionConnections>,
        out: &mut Vec<Action>,
    ) {
        let session = slot.driver_data.session;
        let server = slot.driver_data.server;
        let Some(connection) = server.and_then(|key| self.connections.get(key)) else {
            return;
        };
        match connection.state {
            ConnectionState::Connecting => {
                out.push(Action::DialConnected(session));
                out.push(Action::DialRefused(session));
                if shape.dials_without_socket {
                    out.push(Action::DialWithoutSocket(session));
                }
            }
            ConnectionState::SendingRequest => {
                out.push(Action::RequestWritten(session));
                out.push(Action::ServerCloses(session));
            }
            ConnectionState::AwaitingAnswer => {
                out.extend(SERVER_MESSAGES.map(|message| Action::ServerAnswers(session, message)));
                out.push(Action::ServerCloses(session));
            }
            ConnectionState::Open => out.push(Action::ServerCloses(session)),
        }
    }

    fn stale_event_actions(&self, out: &mut Vec<Action>) {
        if self.stale_events_left == 0 {
            return;
        }
        let closed = self.closed_connections.iter();
        out.extend(closed.map(|(_, connection)| Action::StaleEvent(connection.session)));
    }

    fn server_actions(&self, out: &mut Vec<Action>) {
        for (number, server) in (0..).zip(&self.servers) {
            if self.probes_in_flight.contains(&server.id) {
                out.extend(PROBE_RESULTS.map(|result| Action::ProbeEnds(number, result)));
            }
            if self.endpoint_changes_left == 0 {
                continue;
            }
            let changes = match server.state {
                EndpointState::Ready => CHANGES_OF_READY,
                _ => CHANGES_OF_UNREADY,
            };
            let actions = changes.iter();
            out.extend(actions.map(|change| Action::EndpointChanges(number, *change)));
        }
    }

    fn operator_actions(&self, shape: &Shape, out: &mut Vec<Action>) {
        if self.is_shutting_down() {
            return;
        }
        if self.operator_commands_left > 0 {
            let is_serving = self.drain.state() == DrainState::Serving;
            out.push(if is_serving {
                Action::OperatorDrains
            } else {
                Action::OperatorCancelsDrain
            });
        }
        if shape.may_receive_sigterm && self.session_keys.iter().any(Option::is_some) {
            out.push(Action::Sigterm);
        }
    }
}

/// Adds the possible actions of a session's client.
fn client_actions(shape: &Shape, slot: &SessionSlot<SessionConnections>, out: &mut Vec<Action>) {
    let SessionConnections {
        session,
        has_client,
        client_left_unnoticed,
        ..
    } = slot.driver_data;
    let is_open = slot.machine.state == SessionState::Open;
    if !has_client || !is_open && !shape.clients_leave_early {
        return;
    }
    out.push(Action::ClientLeaves(session));
    if is_open || client_left_unnoticed {
        return;
    }
    out.push(Action::ClientSendsEarly(session));
    if shape.clients_leave_unnoticed {
        out.push(Action::ClientLeavesUnnoticed(session));
    }
}
