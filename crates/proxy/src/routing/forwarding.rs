//! Open sessions: forwards complete lines both ways, ends both sides when one ends, and migrates the client of a server
//! that does not respond.

use super::Router;
use super::events::ReasonCode;
use super::session_state::{SessionInput, SessionState};
use super::types::{Connection, SessionConnections, TimerKey};
use crate::protocol::client::{ERROR_LINE, MOVE_LINE};
use crate::protocol::line::{self, LineError};
use crate::protocol::server::{ServerLine, load_from_report, parse_server_line};
use crate::transport::poller::Interest;
use crate::transport::{ReadBuffer, SlotKey, StreamEnd};
use asterramp_placement::PlacementEvent;
use asterramp_placement::event::{Observation, Outcome, ServerLoad};
use asterramp_placement::settings::LoadReportFormat;
use std::time::Duration;

/// How long a server may leave a client's line without any response before the client is migrated.
pub(super) const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);
/// How long a server may take to close its side after its client has closed.
const SERVER_CLOSE_TIMEOUT: Duration = Duration::from_millis(900);
/// How long a client may read none of the lines that wait for it before its session is reset.
const CLIENT_STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// A buffer has space for a complete line of greatest length behind one that is not forwarded yet.
const _: () = assert!(ReadBuffer::CAPACITY >= 2 * line::MAX_LINE_LENGTH);

/// How long a client's line may wait until the response is overdue: as long as a probe may take to connect and get its
/// response, but at most half of [`RESPONSE_TIMEOUT`].
fn response_overdue_timeout(connect_timeout: Duration) -> Duration {
    (connect_timeout * 3).min(RESPONSE_TIMEOUT / 2)
}

/// How long after a response has become overdue the client is migrated.
pub(super) fn time_from_overdue_to_migration(connect_timeout: Duration) -> Duration {
    RESPONSE_TIMEOUT - response_overdue_timeout(connect_timeout)
}

/// How one side of a session is closed. Except for a reset, complete lines that wait for this side are sent before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CloseMethod {
    /// With an end of stream.
    Fin,
    /// With a TCP reset; lines that wait are dropped.
    Reset,
    /// With this line as the last one, then an end of stream.
    LastLine(&'static [u8]),
}

/// Why a session ends, and how each side is closed.
#[derive(Clone, Copy, Debug)]
struct SessionClose {
    code: ReasonCode,
    outcome: Outcome,
    client_close: CloseMethod,
    server_close: CloseMethod,
}

impl SessionClose {
    /// Both sides are closed with an end of stream.
    fn fin(code: ReasonCode, outcome: Outcome) -> SessionClose {
        SessionClose {
            code,
            outcome,
            client_close: CloseMethod::Fin,
            server_close: CloseMethod::Fin,
        }
    }

    /// Both sides are reset.
    fn reset(code: ReasonCode, outcome: Outcome) -> SessionClose {
        SessionClose {
            code,
            outcome,
            client_close: CloseMethod::Reset,
            server_close: CloseMethod::Reset,
        }
    }

    /// The client is sent a last line.
    fn last_line(code: ReasonCode, outcome: Outcome, line: &'static [u8]) -> SessionClose {
        SessionClose {
            code,
            outcome,
            client_close: CloseMethod::LastLine(line),
            server_close: CloseMethod::Fin,
        }
    }
}

impl Router {
    /// Forwards complete lines both ways as far as the sockets take them, and ends the session if a side has ended.
    /// Does nothing while the session is offered to another process.
    pub(super) fn forward(&mut self, session: SlotKey) {
        let Some(slot) = self.session_table.sessions.get(session) else {
            return;
        };
        let (Some(client), Some(server)) = (slot.driver_data.client, slot.driver_data.server)
        else {
            return;
        };
        if self.is_session_offered(session) {
            return;
        }
        if let Err(fault) = self.read_server_lines(session, server) {
            let code = ReasonCode::ServerProtocolError;
            self.log_event(code, format!("server line={fault:?}"));
            return self.end_session(
                session,
                SessionClose::last_line(code, Outcome::Reset, MOVE_LINE),
            );
        }
        if let Err(fault) = self.read_client_lines(session, client) {
            let code = ReasonCode::ClientProtocolError;
            self.log_event(code, format!("client line={fault:?}"));
            self.handle_session_input(session, SessionInput::ClientLeft);
            return self.end_session(
                session,
                SessionClose::last_line(code, Outcome::Ok, ERROR_LINE),
            );
        }
        self.forward_lines(server, client);
        if !self.has_reset(client) {
            self.forward_lines(client, server);
        }
        if self.end_if_side_ended(session, client, server) {
            return;
        }
        self.update_forwarding_interest(session, client, server);
    }

    /// Whether a client has reset its connection. What it sent before is not passed on any more: nobody awaits the answers.
    fn has_reset(&self, client: SlotKey) -> bool {
        let connection = self.connections.get(client);
        connection.is_some_and(|connection| connection.stream.ended == Some(StreamEnd::Reset))
    }

    /// Checks the complete lines that a server sent, and handles those that the proxy uses: a response stops the timer,
    /// and a load line updates admission control and the placement engine.
    fn read_server_lines(&mut self, session: SlotKey, server: SlotKey) -> Result<(), LineError> {
        let (Some(connection), Some(slot)) = (
            self.connections.get_mut(server),
            self.session_table.sessions.get_mut(session),
        ) else {
            return Ok(());
        };
        let client_left = slot.machine.client_left;
        let server_id = slot.machine.server;
        let listener = slot.machine.request.listener;
        let data = &mut slot.driver_data;
        let lines = check_server_lines(connection, data, &self.settings.load_report_format)?;
        if !data.awaiting_response && !client_left {
            self.deadlines.clear(TimerKey::Session(session));
        }
        if lines.has_lines {
            self.session_table
                .record_server_activity(self.now, session, true);
        }
        if let Some(work_rate) = lines.last_work_rate {
            self.admission
                .record_session_cost(self.now, listener, work_rate);
            self.handle_placement_event(PlacementEvent::ConnectionObserved {
                session: session.slot,
                server: server_id,
                observation: Observation::WorkRate(work_rate),
            });
        }
        Ok(())
    }

    /// Checks the complete lines that a client sent, and starts the response timer if it is not running.
    fn read_client_lines(&mut self, session: SlotKey, client: SlotKey) -> Result<(), LineError> {
        let (Some(connection), Some(slot)) = (
            self.connections.get_mut(client),
            self.session_table.sessions.get_mut(session),
        ) else {
            return Ok(());
        };
        let data = &mut slot.driver_data;
        let client_left = slot.machine.client_left;
        let overdue_at = self.now + response_overdue_timeout(self.settings.connect_timeout);
        while let Some((_, line_len)) =
            line::first_line(&connection.stream.inbound.bytes()[connection.complete_len..])?
        {
            connection.complete_len += line_len;
            if !data.awaiting_response && !client_left {
                data.awaiting_response = true;
                data.response_overdue = false;
                self.deadlines.set(TimerKey::Session(session), overdue_at);
            }
        }
        Ok(())
    }

    /// Writes the complete lines of one side to the other, as far as its socket takes them. The rest stays in the read
    /// buffer, and once that is full, nothing more is read: this is the flow control.
    fn forward_lines(&mut self, from: SlotKey, to: SlotKey) {
        let (Some(source), Some(sink)) = (self.connections.get(from), self.connections.get(to))
        else {
            return;
        };
        let bytes = &source.stream.inbound.bytes()[..source.complete_len];
        match sink.stream.forward(bytes) {
            Ok(0) => {}
            Ok(written) => {
                if let Some(source) = self.connections.get_mut(from) {
                    source.complete_len -= written;
                    source.stream.inbound.consume(written);
                    source.last_activity = self.now;
                }
            }
            Err(end) => {
                if let Some(sink) = self.connections.get_mut(to) {
                    sink.stream.ended = Some(end);
                }
            }
        }
    }

    /// Ends the session if one of its sides has ended; returns whether it is over. If only the client has ended its
    /// side, the server is given [`SERVER_CLOSE_TIMEOUT`] to close.
    fn end_if_side_ended(&mut self, session: SlotKey, client: SlotKey, server: SlotKey) -> bool {
        let (Some(slot), Some(client), Some(server)) = (
            self.session_table.sessions.get(session),
            self.connections.get(client),
            self.connections.get(server),
        ) else {
            return true;
        };
        let client_left = slot.machine.client_left;
        let announced_outcome = slot.driver_data.announced_end.map(|(outcome, _)| outcome);
        let close = match (client.stream.ended, server.stream.ended) {
            (Some(_), Some(_)) | (Some(StreamEnd::Reset), _) if client_left => {
                SessionClose::fin(ReasonCode::ClientLeft, Outcome::Ok)
            }
            (Some(StreamEnd::Reset), _) => {
                self.handle_session_input(session, SessionInput::ClientLeft);
                SessionClose::reset(ReasonCode::ClientReset, Outcome::Ok)
            }
            (_, Some(StreamEnd::Reset)) => {
                SessionClose::reset(ReasonCode::ServerReset, Outcome::Reset)
            }
            (_, Some(StreamEnd::Fin)) => match announced_outcome {
                Some(Outcome::Ok) => SessionClose::fin(ReasonCode::ServerFinished, Outcome::Ok),
                Some(_) => SessionClose::fin(ReasonCode::ServerMigrated, Outcome::Cancelled),
                None => SessionClose::fin(ReasonCode::ServerClosed, Outcome::Reset),
            },
            (Some(StreamEnd::Fin), None) if !client_left => {
                self.handle_session_input(session, SessionInput::ClientLeft);
                self.deadlines
                    .set(TimerKey::Session(session), self.now + SERVER_CLOSE_TIMEOUT);
                return false;
            }
            _ => return false,
        };
        self.end_session(session, close);
        true
    }

    /// Watches both sides for what can be forwarded next, and passes a client's end of stream on once all its lines are
    /// forwarded.
    fn update_forwarding_interest(
        &mut self,
        session: SlotKey,
        client_key: SlotKey,
        server_key: SlotKey,
    ) {
        let (Some(client), Some(server)) = (
            self.connections.get(client_key),
            self.connections.get(server_key),
        ) else {
            return;
        };
        let client_left = self
            .session_machine(session)
            .is_some_and(|machine| machine.client_left);
        if client_left && client.complete_len == 0 {
            server.stream.shutdown_write();
        }
        let client_interest = forwarding_interest(client, server);
        let server_interest = forwarding_interest(server, client);
        self.set_interest(client_key, client_interest);
        self.set_interest(server_key, server_interest);
    }

    /// Asks the client of an open session to reconnect and ends the session, unless it is offered to another process.
    pub(super) fn migrate(&mut self, session: SlotKey, code: ReasonCode) {
        let outcome = if code == ReasonCode::ServerSilent {
            Outcome::Reset
        } else {
            Outcome::Cancelled
        };
        let is_open = self
            .session_machine(session)
            .is_some_and(|machine| machine.state == SessionState::Open);
        if is_open && !self.is_session_offered(session) {
            self.end_session(session, SessionClose::last_line(code, outcome, MOVE_LINE));
        }
    }

    /// Handles the deadline of an open session: the client has left and the server did not close, the client has
    /// stalled, or the server's response is overdue or has not come at all.
    pub(super) fn open_session_deadline(&mut self, session: SlotKey) {
        let Some(slot) = self.session_table.sessions.get(session) else {
            return;
        };
        if slot.machine.client_left {
            let close = SessionClose::fin(ReasonCode::ClientLeft, Outcome::Ok);
            return self.end_session(session, close);
        }
        let response_overdue = slot.driver_data.response_overdue;
        let stalled_at = slot
            .driver_data
            .server
            .and_then(|key| self.connections.get(key))
            .filter(|server| server.complete_len > 0)
            .map(|server| server.last_activity + CLIENT_STALL_TIMEOUT);
        match stalled_at {
            // The server may have responded: its lines wait for a client that does not read.
            Some(stalled_at) if self.now < stalled_at => {
                self.deadlines
                    .set(TimerKey::Session(session), self.now + RESPONSE_TIMEOUT);
            }
            Some(_) => {
                self.handle_session_input(session, SessionInput::ClientLeft);
                let close = SessionClose::reset(ReasonCode::ClientStalled, Outcome::Ok);
                self.end_session(session, close);
            }
            None if response_overdue => self.migrate(session, ReasonCode::ServerSilent),
            None => self.mark_response_overdue(session),
        }
    }

    fn mark_response_overdue(&mut self, session: SlotKey) {
        let migrate_at = self.now + time_from_overdue_to_migration(self.settings.connect_timeout);
        self.deadlines.set(TimerKey::Session(session), migrate_at);
        if let Some(data) = self.session_mut(session) {
            data.response_overdue = true;
        }
        self.session_table
            .record_server_activity(self.now, session, false);
    }

    /// Closes both sides of an open session and reports the end to its state machine.
    fn end_session(&mut self, session: SlotKey, close: SessionClose) {
        self.log_session_end(session, close.code);
        let Some(data) = self.session_mut(session) else {
            return;
        };
        let load = data.announced_end.map(|(_, load)| load).unwrap_or_default();
        let client = self.take_client(session);
        let server = self.take_server(session);
        self.deadlines.clear(TimerKey::Session(session));
        let lines_for_client = self.unforwarded_lines(server);
        let lines_for_server = if client.is_some_and(|key| self.has_reset(key)) {
            Vec::new()
        } else {
            self.unforwarded_lines(client)
        };
        self.close_side(client, close.client_close, &lines_for_client);
        self.close_side(server, close.server_close, &lines_for_server);
        let outcome = close.outcome;
        self.handle_session_input(session, SessionInput::SessionClosed { outcome, load });
    }

    fn close_side(&mut self, key: Option<SlotKey>, close: CloseMethod, lines: &[u8]) {
        let Some(key) = key else {
            return;
        };
        match close {
            CloseMethod::Fin => self.close_gracefully(key, &[lines]),
            CloseMethod::LastLine(line) => self.close_gracefully(key, &[lines, line]),
            CloseMethod::Reset => {
                if let Some(stream) = self.close(key) {
                    stream.reset();
                }
            }
        }
    }

    /// The complete lines that one side sent and that are not forwarded yet.
    fn unforwarded_lines(&self, from: Option<SlotKey>) -> Vec<u8> {
        from.and_then(|key| self.connections.get(key))
            .map(|connection| connection.stream.inbound.bytes()[..connection.complete_len].to_vec())
            .unwrap_or_default()
    }
}

/// What the proxy reads from the lines of a server.
#[derive(Clone, Copy, Debug, Default)]
struct ServerLines {
    /// The work rate of the session in the last load line, in the unit of the server's load reports.
    last_work_rate: Option<f64>,
    /// Whether there was any line.
    has_lines: bool,
}

/// Checks the complete lines that a server sent, up to and including one that announces the session's end.
fn check_server_lines(
    connection: &mut Connection,
    data: &mut SessionConnections,
    report_format: &LoadReportFormat,
) -> Result<ServerLines, LineError> {
    let mut lines = ServerLines::default();
    while let Some((text, line_len)) =
        line::first_line(&connection.stream.inbound.bytes()[connection.complete_len..])?
    {
        connection.complete_len += line_len;
        match parse_server_line(text) {
            ServerLine::Load(work) => lines.last_work_rate = Some(work),
            ServerLine::Bye(report) => {
                let load = load_from_report(report_format, report);
                data.announced_end = Some((Outcome::Ok, load));
            }
            ServerLine::Move => {
                data.announced_end = Some((Outcome::Cancelled, ServerLoad::default()))
            }
            _ => {}
        }
        data.awaiting_response = false;
        lines.has_lines = true;
        if data.announced_end.is_some() {
            connection.stream.ended = connection.stream.ended.or(Some(StreamEnd::Fin));
            break;
        }
    }
    Ok(lines)
}

/// What a side is watched for, given the lines of the other side that wait for it.
fn forwarding_interest(side: &Connection, other: &Connection) -> Interest {
    Interest {
        read: side.stream.can_read(),
        write: !side.stream.is_flushed() || other.complete_len > 0,
    }
}
