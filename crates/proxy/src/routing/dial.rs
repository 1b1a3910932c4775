//! Dials: the connection of one attempt to open a session at a server, from connecting to the server's first response.

use super::Router;
use super::events::ReasonCode;
use super::session_state::{SessionInput, SessionState};
use super::types::{ConnectionRole, TimerKey};
use crate::protocol::line;
use crate::protocol::server::{ServerLine, load_from_report, parse_server_line};
use crate::transport::poller::{Interest, ReadyEvent};
use crate::transport::{SlotKey, socket};
use asterramp_placement::event::{Outcome, ServerId, ServerLoad};
use asterramp_placement::settings::LoadReportFormat;
use rustix::io::Errno;
use std::time::Duration;

/// Most characters of a malformed response that are logged.
const MAX_LOGGED_RESPONSE_CHARS: usize = 80;

/// A response that the protocol does not allow here, as the log shows it.
struct MalformedResponse(String);

impl Router {
    /// Starts to connect to a session's server, unless the client has left.
    pub(super) fn dial(&mut self, session: SlotKey, server: ServerId) {
        if self.cancel_if_client_left(session) {
            return;
        }
        let Some(dial) = self
            .session_machine(session)
            .map(|machine| machine.dial_number())
        else {
            return;
        };
        let connected = self
            .endpoints
            .address(server)
            .ok_or(Errno::ADDRNOTAVAIL)
            .and_then(socket::connect);
        let registered = match connected {
            Ok(fd) => self.register(fd, ConnectionRole::Server(session), Interest::WRITE),
            Err(Errno::CONNREFUSED | Errno::NETUNREACH | Errno::HOSTUNREACH) => {
                return self.handle_session_input(session, SessionInput::Unreachable { dial });
            }
            Err(_) => None,
        };
        let Some(key) = registered else {
            return self.handle_session_input(session, SessionInput::NoSocket { dial });
        };
        let Some(data) = self.session_mut(session) else {
            return;
        };
        data.server = Some(key);
        if data.client.is_none() {
            self.connection_counts.servers_without_client += 1;
        }
    }

    /// Checks a session's client once more, right before something is sent for it: its end may be queued behind other
    /// events of this turn of the loop, or have been read with earlier data. If the client has left or sent data too
    /// early, reports that to the session, which then ends the dial, and returns true.
    fn cancel_if_client_left(&mut self, session: SlotKey) -> bool {
        let client = self
            .session_table
            .sessions
            .get(session)
            .and_then(|slot| slot.driver_data.client);
        let Some(connection) = client.and_then(|key| self.connections.get_mut(key)) else {
            return false;
        };
        let stream = &mut connection.stream;
        stream.read_once(false);
        let input = if !stream.inbound.is_empty() {
            SessionInput::ClientSentEarlyData
        } else if stream.ended.is_some() {
            SessionInput::ClientLeft
        } else {
            return false;
        };
        self.session_table
            .cancel_before_send(self.now, session, input)
    }

    /// Dials the server that held a restored session, with the time that is left for restoring it; a server that is
    /// not listed counts as a dial without a socket, which is retried.
    pub(super) fn restore_session(&mut self, session: SlotKey) {
        let Some(slot) = self.session_table.sessions.get(session) else {
            return;
        };
        let remaining = slot.machine.restore_deadline().saturating_sub(self.now);
        let server = slot
            .driver_data
            .restored_server_uid
            .as_deref()
            .and_then(|uid| self.endpoints.find(uid));
        let input = match server {
            Some(server) => SessionInput::Dial {
                server,
                timeout: remaining,
                write_timeout: remaining,
            },
            None => SessionInput::NoSocket {
                dial: slot.machine.dial_number(),
            },
        };
        self.handle_session_input(session, input);
    }

    /// Handles readiness of the connection to a session's server.
    pub(super) fn server_ready(&mut self, session: SlotKey, event: ReadyEvent) {
        let Some(machine) = self.session_machine(session) else {
            return;
        };
        let state = machine.state;
        let dial = machine.dial_number();
        let Some(connection) = self.connections.get_mut(event.key) else {
            return;
        };
        match state {
            SessionState::Open => {
                connection.stream.read_once(event.failed);
                self.forward(session);
            }
            SessionState::Connecting if !(event.writable || event.failed) => {}
            SessionState::Connecting if !connection.stream.is_connected() => {
                self.handle_session_input(session, SessionInput::Unreachable { dial });
            }
            SessionState::Connecting => {
                self.handle_session_input(session, SessionInput::Connected { dial })
            }
            _ => {
                connection.stream.read_once(event.failed);
                self.continue_dial(session, event.key);
            }
        }
    }

    /// Writes the client's request line to the server, unless the client has left. `wait` is how long this dial may
    /// still take, and replaces the client's own wait; `None` leaves the line as it is.
    pub(super) fn send_request_line(&mut self, session: SlotKey, wait: Option<Duration>) {
        if self.cancel_if_client_left(session) {
            return;
        }
        let Some(slot) = self.session_table.sessions.get(session) else {
            return;
        };
        let data = &slot.driver_data;
        let Some(key) = data.server else {
            return;
        };
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        match wait {
            None => connection.stream.send(&[&data.request_line]),
            Some(wait) => {
                let before = &data.request_line[..data.wait_range.start];
                let after = &data.request_line[data.wait_range.end..];
                let wait_ms = wait.as_millis().to_string();
                connection.stream.send(&[before, wait_ms.as_bytes(), after]);
            }
        }
        self.continue_dial(session, key);
    }

    /// Reports to the session when the request is written to its last byte, and then the first response of the server.
    fn continue_dial(&mut self, session: SlotKey, key: SlotKey) {
        let (Some(connection), Some(machine)) =
            (self.connections.get(key), self.session_machine(session))
        else {
            return;
        };
        let has_ended = connection.stream.ended.is_some();
        let is_written = connection.stream.is_flushed();
        let dial = machine.dial_number();
        if is_written && machine.state == SessionState::SendingRequest {
            self.metrics.count_attempt();
            self.handle_session_input(session, SessionInput::RequestWritten { dial });
        }
        let Some(connection) = self.connections.get(key) else {
            return;
        };
        let response = match line::first_line(connection.stream.inbound.bytes()) {
            Ok(Some((text, _))) if is_written => {
                parse_first_response(dial, text, &self.settings.load_report_format)
            }
            Ok(_) if has_ended => Ok(SessionInput::ServerDisconnected { dial }),
            Ok(_) => return self.update_interest(key),
            Err(fault) => Err(MalformedResponse(format!("{fault:?}"))),
        };
        let input = response.unwrap_or_else(|MalformedResponse(details)| {
            self.log_event(
                ReasonCode::ServerProtocolError,
                format!("dial line={details}"),
            );
            declined(dial, Outcome::ServerError, ServerLoad::default())
        });
        self.handle_session_input(session, input);
    }

    /// Handles a session's deadline that has passed.
    pub(super) fn session_deadline(&mut self, session: SlotKey) {
        match self.session_machine(session).map(|machine| machine.state) {
            Some(SessionState::Open) => self.open_session_deadline(session),
            Some(_) => self.handle_session_input(session, SessionInput::DeadlineReached),
            None => self.deadlines.clear(TimerKey::Session(session)),
        }
    }
}

/// Converts a server's first line on a dial's connection to the session's input.
fn parse_first_response(
    dial: u8,
    text: &str,
    report_format: &LoadReportFormat,
) -> Result<SessionInput, MalformedResponse> {
    match parse_server_line(text) {
        ServerLine::Up => Ok(SessionInput::ServerAccepted { dial }),
        ServerLine::Busy(report) => Ok(declined(
            dial,
            Outcome::Full,
            load_from_report(report_format, report),
        )),
        ServerLine::Error(report) | ServerLine::Bye(report) => Ok(declined(
            dial,
            Outcome::ServerError,
            load_from_report(report_format, report),
        )),
        ServerLine::Move => Ok(declined(dial, Outcome::Cancelled, ServerLoad::default())),
        _ => {
            let excerpt: String = text.chars().take(MAX_LOGGED_RESPONSE_CHARS).collect();
            Err(MalformedResponse(format!("{excerpt:?}")))
        }
    }
}

fn declined(dial: u8, outcome: Outcome, load: ServerLoad) -> SessionInput {
    SessionInput::ServerDeclined {
        dial,
        outcome,
        load,
    }
}
