//! Open sessions: complete lines are forwarded both ways, and the end of one side ends the other.

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

/// How long a server may leave a client's line without any answer.
pub(super) const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);
/// How long a server may take to end what its client has ended.
const SERVER_CLOSE_TIMEOUT: Duration = Duration::from_millis(900);
/// How long a client may take none of the lines that wait for it.
const CLIENT_STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// A complete line always fits beside one that waits.
const _: () = assert!(ReadBuffer::CAPACITY >= 2 * line::MAX_LINE_LENGTH);

/// How long a line may wait for an answer until its server counts as quiet: as long as a probe has to connect and be
/// answered.
fn quiet_timeout(connect_timeout: Duration) -> Duration {
    (connect_timeout * 3).min(RESPONSE_TIMEOUT / 2)
}

/// How much longer it may wait, once the server is quiet, until its client is migrated.
pub(super) fn time_from_overdue_to_migration(connect_timeout: Duration) -> Duration {
    RESPONSE_TIMEOUT - quiet_timeout(connect_timeout)
}

/// How one side of a session is closed; complete lines that wait for it go out before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CloseWith {
    Fin,
    Reset,
    Text(&'static [u8]),
}

/// Why a session ends, and how each side is closed.
#[derive(Clone, Copy, Debug)]
struct SessionClose {
    code: ReasonCode,
    outcome: Outcome,
    to_client: CloseWith,
    to_server: CloseWith,
}

impl SessionClose {
    /// Both sides end in order.
    fn fin(code: ReasonCode, outcome: Outcome) -> SessionClose {
        SessionClose {
            code,
            outcome,
            to_client: CloseWith::Fin,
            to_server: CloseWith::Fin,
        }
    }

    /// Both sides are reset.
    fn reset(code: ReasonCode, outcome: Outcome) -> SessionClose {
        SessionClose {
            code,
            outcome,
            to_client: CloseWith::Reset,
            to_server: CloseWith::Reset,
        }
    }

    /// The client is sent a last text.
    fn text(code: ReasonCode, outcome: Outcome, text: &'static [u8]) -> SessionClose {
        SessionClose {
            code,
            outcome,
            to_client: CloseWith::Text(text),
            to_server: CloseWith::Fin,
        }
    }
}

impl Router {
    /// Forwards what can be forwarded, both ways, and any end.
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
            return self.end_session(session, SessionClose::text(code, Outcome::Reset, MOVE_LINE));
        }
        if let Err(fault) = self.read_client_lines(session, client) {
            let code = ReasonCode::ClientProtocolError;
            self.log_event(code, format!("client line={fault:?}"));
            self.handle_session_input(session, SessionInput::ClientLeft);
            return self.end_session(session, SessionClose::text(code, Outcome::Ok, ERROR_LINE));
        }
        self.forward_lines(server, client);
        self.forward_lines(client, server);
        if self.forward_end(session, client, server) {
            return;
        }
        self.watch_both_sides(session, client, server);
    }

    /// Checks the complete lines that a server sent, and takes note of what they say to the proxy.
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
        if lines.has_answered {
            self.session_table
                .record_server_activity(self.now, session, true);
        }
        if let Some(work) = lines.last_work {
            self.admission.record_session_cost(self.now, listener, work);
            self.handle_placement_event(PlacementEvent::ConnectionObserved {
                session: session.slot,
                server: server_id,
                observation: Observation::WorkRate(work),
            });
        }
        Ok(())
    }

    /// Checks the complete lines that a client sent, and waits for an answer to the first.
    fn read_client_lines(&mut self, session: SlotKey, client: SlotKey) -> Result<(), LineError> {
        let (Some(connection), Some(slot)) = (
            self.connections.get_mut(client),
            self.session_table.sessions.get_mut(session),
        ) else {
            return Ok(());
        };
        let data = &mut slot.driver_data;
        let client_left = slot.machine.client_left;
        let quiet_at = self.now + quiet_timeout(self.settings.connect_timeout);
        while let Some((_, line_len)) =
            line::first_line(&connection.stream.inbound.bytes()[connection.complete_len..])?
        {
            connection.complete_len += line_len;
            if !data.awaiting_response && !client_left {
                data.awaiting_response = true;
                data.response_overdue = false;
                self.deadlines.set(TimerKey::Session(session), quiet_at);
            }
        }
        Ok(())
    }

    /// Writes complete lines of one side to the other, as far as it takes them; the rest stays where it is, and
    /// no more is read than there is space for.
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

    /// Ends a session of which a side has ended. Whether it has.
    fn forward_end(&mut self, session: SlotKey, client: SlotKey, server: SlotKey) -> bool {
        let (Some(slot), Some(client), Some(server)) = (
            self.session_table.sessions.get(session),
            self.connections.get(client),
            self.connections.get(server),
        ) else {
            return true;
        };
        let client_left = slot.machine.client_left;
        let announced = slot.driver_data.announced_end.map(|(outcome, _)| outcome);
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
            (_, Some(StreamEnd::Fin)) => match announced {
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

    /// Watches both sides for what can be forwarded next; a client's end is passed on once its lines are.
    fn watch_both_sides(&mut self, session: SlotKey, client_key: SlotKey, server_key: SlotKey) {
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
        let for_client = forwarding_interest(client, server);
        let for_server = forwarding_interest(server, client);
        self.set_interest(client_key, for_client);
        self.set_interest(server_key, for_server);
    }

    /// Asks the client of an open session to come again, unless another process may have it.
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
            self.end_session(session, SessionClose::text(code, outcome, MOVE_LINE));
        }
    }

    /// One side of an open session has kept the other waiting too long.
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
            // The server may well have answered: its lines wait for a client that takes none.
            Some(at) if self.now < at => {
                self.deadlines
                    .set(TimerKey::Session(session), self.now + RESPONSE_TIMEOUT);
            }
            Some(_) => {
                self.handle_session_input(session, SessionInput::ClientLeft);
                let close = SessionClose::reset(ReasonCode::ClientStalled, Outcome::Ok);
                self.end_session(session, close);
            }
            None if response_overdue => self.migrate(session, ReasonCode::ServerSilent),
            None => self.mark_server_quiet(session),
        }
    }

    fn mark_server_quiet(&mut self, session: SlotKey) {
        let migrate_at = self.now + time_from_overdue_to_migration(self.settings.connect_timeout);
        self.deadlines.set(TimerKey::Session(session), migrate_at);
        if let Some(data) = self.session_mut(session) {
            data.response_overdue = true;
        }
        self.session_table
            .record_server_activity(self.now, session, false);
    }

    /// Closes both sides of an open session and gives its state machine the end.
    fn end_session(&mut self, session: SlotKey, close: SessionClose) {
        self.log_session_end(session, close.code);
        let Some(data) = self.session_mut(session) else {
            return;
        };
        let load = data.announced_end.map(|(_, load)| load).unwrap_or_default();
        let client = self.take_client(session);
        let server = self.take_server(session);
        self.deadlines.clear(TimerKey::Session(session));
        let for_client = self.complete_lines(server);
        let for_server = self.complete_lines(client);
        self.close_side(client, close.to_client, &for_client);
        self.close_side(server, close.to_server, &for_server);
        let outcome = close.outcome;
        self.handle_session_input(session, SessionInput::SessionClosed { outcome, load });
    }

    fn close_side(&mut self, key: Option<SlotKey>, close: CloseWith, lines: &[u8]) {
        let Some(key) = key else {
            return;
        };
        match close {
            CloseWith::Fin => self.close_gracefully(key, &[lines]),
            CloseWith::Text(text) => self.close_gracefully(key, &[lines, text]),
            CloseWith::Reset => {
                if let Some(stream) = self.close(key) {
                    stream.reset();
                }
            }
        }
    }

    /// Complete lines that came from one side and are not forwarded yet.
    fn complete_lines(&self, from: Option<SlotKey>) -> Vec<u8> {
        from.and_then(|key| self.connections.get(key))
            .map(|connection| connection.stream.inbound.bytes()[..connection.complete_len].to_vec())
            .unwrap_or_default()
    }
}

/// What the lines that a server sent say to the proxy.
#[derive(Clone, Copy, Debug, Default)]
struct ServerLines {
    /// The load that the session asks for, as last said.
    last_work: Option<f64>,
    /// There was a line.
    has_answered: bool,
}

/// Checks the complete lines that came from a server, up to one that announces the session's end.
fn check_server_lines(
    connection: &mut Connection,
    data: &mut SessionConnections,
    reports: &LoadReportFormat,
) -> Result<ServerLines, LineError> {
    let mut lines = ServerLines::default();
    while let Some((text, line_len)) =
        line::first_line(&connection.stream.inbound.bytes()[connection.complete_len..])?
    {
        connection.complete_len += line_len;
        match parse_server_line(text) {
            ServerLine::Load(work) => lines.last_work = Some(work),
            ServerLine::Bye(report) => {
                let load = load_from_report(reports, report);
                data.announced_end = Some((Outcome::Ok, load));
            }
            ServerLine::Move => {
                data.announced_end = Some((Outcome::Cancelled, ServerLoad::default()))
            }
            _ => {}
        }
        data.awaiting_response = false;
        lines.has_answered = true;
        if data.announced_end.is_some() {
            connection.stream.ended = connection.stream.ended.or(Some(StreamEnd::Fin));
            break;
        }
    }
    Ok(lines)
}

/// What one side is watched for, given the other.
fn forwarding_interest(side: &Connection, other: &Connection) -> Interest {
    Interest {
        read: side.stream.can_read(),
        write: !side.stream.is_flushed() || other.complete_len > 0,
    }
}
