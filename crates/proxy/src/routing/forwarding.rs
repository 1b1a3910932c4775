//! Open connections: whole lines both ways, and their ends.

use super::{ReasonCode, Router, SessionInput, SessionState, TimerKey};
use crate::protocol::client::{ERROR_LINE, MOVE_LINE};
use crate::protocol::line::{self, LineError};
use crate::protocol::server::{ServerLine, load_from_report, parse_server_line};
use crate::transport::poller::Interest;
use crate::transport::{ReadBuffer, SlotKey, StreamEnd};
use asterramp_placement::Event;
use asterramp_placement::event::{Load, Observation, Outcome};
use std::time::Duration;

/// How long a server may leave a client's line without any answer.
pub(super) const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);
/// How long a server may take to end what its client has ended.
const LAST: Duration = Duration::from_millis(900);
/// How long a client may take none of the lines that wait for it.
const STALL: Duration = Duration::from_secs(30);

/// How long a line may wait until its server counts as quiet: as long as a probe has to come up and be answered.
fn quiet(connect_within: Duration) -> Duration {
    (connect_within * 3).min(RESPONSE_TIMEOUT / 2)
}

/// How much longer it may wait, once it is quiet, until its client is moved.
pub(super) fn time_from_quiet_to_migration(connect_within: Duration) -> Duration {
    RESPONSE_TIMEOUT - quiet(connect_within)
}

/// How one side of a connection is ended; whole lines that wait for it go out before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Close {
    Fin,
    Reset,
    Say(&'static [u8]),
}

impl Router {
    /// Passes on what can be passed, both ways, and any end.
    pub(super) fn forward(&mut self, sess: SlotKey) {
        let Some(held) = self.session_table.sessions.get(sess) else {
            return;
        };
        let (Some(client), Some(server)) = (held.driver_data.client, held.driver_data.server)
        else {
            return;
        };
        if self.is_session_offered(sess) {
            return;
        }
        if let Err(fault) = self.take_from_server(sess, server) {
            self.log_event(
                ReasonCode::ServerProtocolError,
                format!("server line={fault:?}"),
            );
            return self.end(
                sess,
                ReasonCode::ServerProtocolError,
                Outcome::Reset,
                (Close::Say(MOVE_LINE), Close::Fin),
            );
        }
        if let Err(fault) = self.take_from_client(sess, client) {
            self.log_event(
                ReasonCode::ClientProtocolError,
                format!("client line={fault:?}"),
            );
            self.input(sess, SessionInput::ClientLeft);
            return self.end(
                sess,
                ReasonCode::ClientProtocolError,
                Outcome::Ok,
                (Close::Say(ERROR_LINE), Close::Fin),
            );
        }
        self.pass(server, client);
        self.pass(client, server);
        self.pass_ends(sess, client, server);
    }

    /// Takes in the whole lines that a server sent.
    fn take_from_server(&mut self, sess: SlotKey, server: SlotKey) -> Result<(), LineError> {
        let (Some(conn), Some(held)) = (
            self.connections.get_mut(server),
            self.session_table.sessions.get_mut(sess),
        ) else {
            return Ok(());
        };
        let (s, left, to) = (
            &mut held.driver_data,
            held.machine.client_left,
            held.machine.server,
        );
        let listener = held.machine.request.listener;
        let (mut works, mut heard) = (None, false);
        while let Some((text, n)) =
            line::first_line(&conn.stream.inbound.bytes()[conn.complete_len..])?
        {
            conn.complete_len += n;
            match parse_server_line(text) {
                ServerLine::Load(work) => works = Some(work),
                ServerLine::Bye(report) => {
                    s.announced_end = Some((
                        Outcome::Ok,
                        load_from_report(&self.settings.load_reports, report),
                    ))
                }
                ServerLine::Move => s.announced_end = Some((Outcome::CalledOff, Load::default())),
                _ => {}
            }
            (s.awaiting_response, heard) = (false, true);
            if s.announced_end.is_some() {
                conn.stream.ended = conn.stream.ended.or(Some(StreamEnd::Fin));
                break;
            }
        }
        if !s.awaiting_response && !left {
            self.deadlines.clear(TimerKey::Session(sess));
        }
        if heard {
            self.session_table
                .note_server_activity(self.now, sess, true);
        }
        if let Some(work) = works {
            self.admission.record_session_cost(self.now, listener, work);
            self.event(Event::Observed {
                session: sess.slot,
                server: to,
                observation: Observation::Work(work),
            });
        }
        Ok(())
    }

    fn take_from_client(&mut self, sess: SlotKey, client: SlotKey) -> Result<(), LineError> {
        let (Some(conn), Some(held)) = (
            self.connections.get_mut(client),
            self.session_table.sessions.get_mut(sess),
        ) else {
            return Ok(());
        };
        let (s, left) = (&mut held.driver_data, held.machine.client_left);
        let quiet = quiet(self.settings.connect_timeout);
        while let Some((_, n)) =
            line::first_line(&conn.stream.inbound.bytes()[conn.complete_len..])?
        {
            conn.complete_len += n;
            if !s.awaiting_response && !left {
                (s.awaiting_response, s.server_quiet) = (true, false);
                self.deadlines
                    .set(TimerKey::Session(sess), self.now + quiet);
            }
        }
        Ok(())
    }

    /// Writes whole lines of one side to the other, as far as it takes them; the rest stays where it is, and
    /// no more is read than there is room for.
    fn pass(&mut self, from: SlotKey, to: SlotKey) {
        let (Some(source), Some(sink)) = (self.connections.get(from), self.connections.get(to))
        else {
            return;
        };
        let bytes = &source.stream.inbound.bytes()[..source.complete_len];
        match sink.stream.forward(bytes) {
            Ok(0) => {}
            Ok(n) => {
                let Some(source) = self.connections.get_mut(from) else {
                    return;
                };
                source.complete_len -= n;
                source.stream.inbound.consume(n);
                source.last_activity = self.now;
            }
            Err(end) => self
                .connections
                .get_mut(to)
                .into_iter()
                .for_each(|sink| sink.stream.ended = Some(end)),
        }
    }

    fn pass_ends(&mut self, sess: SlotKey, client: SlotKey, server: SlotKey) {
        let (Some(held), Some(c), Some(v)) = (
            self.session_table.sessions.get(sess),
            self.connections.get(client),
            self.connections.get(server),
        ) else {
            return;
        };
        let left = held.machine.client_left;
        let (code, outcome) = match held.driver_data.announced_end {
            Some((Outcome::Ok, _)) => (ReasonCode::ServerFinished, Outcome::Ok),
            Some(_) => (ReasonCode::ServerMigrated, Outcome::CalledOff),
            None => (ReasonCode::ServerClosed, Outcome::Reset),
        };
        let fin = (Close::Fin, Close::Fin);
        match (c.stream.ended, v.stream.ended) {
            (Some(_), Some(_)) | (Some(StreamEnd::Reset), _) if left => {
                return self.end(sess, ReasonCode::ClientLeft, Outcome::Ok, fin);
            }
            (Some(StreamEnd::Reset), _) => {
                self.input(sess, SessionInput::ClientLeft);
                return self.end(
                    sess,
                    ReasonCode::ClientReset,
                    Outcome::Ok,
                    (Close::Reset, Close::Reset),
                );
            }
            (_, Some(StreamEnd::Reset)) => {
                return self.end(
                    sess,
                    ReasonCode::ServerReset,
                    Outcome::Reset,
                    (Close::Reset, Close::Reset),
                );
            }
            (_, Some(StreamEnd::Fin)) => return self.end(sess, code, outcome, fin),
            (Some(StreamEnd::Fin), None) if !left => {
                self.input(sess, SessionInput::ClientLeft);
                self.deadlines.set(TimerKey::Session(sess), self.now + LAST);
            }
            _ => {}
        }
        let (Some(c), Some(v)) = (self.connections.get(client), self.connections.get(server))
        else {
            return;
        };
        if self
            .session_machine(sess)
            .is_some_and(|life| life.client_left)
            && c.complete_len == 0
        {
            v.stream.shutdown_write();
        }
        let write = |conn: &super::Connection, other: &super::Connection| {
            !conn.stream.is_flushed() || other.complete_len > 0
        };
        let for_client = Interest {
            read: c.stream.can_read(),
            write: write(c, v),
        };
        let for_server = Interest {
            read: v.stream.can_read(),
            write: write(v, c),
        };
        self.set_interest(client, for_client);
        self.set_interest(server, for_server);
    }

    /// Asks a client to come again.
    pub(super) fn migrate(&mut self, sess: SlotKey, code: ReasonCode) {
        let outcome = if code == ReasonCode::ServerSilent {
            Outcome::Reset
        } else {
            Outcome::CalledOff
        };
        if self
            .session_machine(sess)
            .is_some_and(|life| life.state == SessionState::Open)
            && !self.is_session_offered(sess)
        {
            self.end(sess, code, outcome, (Close::Say(MOVE_LINE), Close::Fin));
        }
    }

    /// An open connection has kept somebody waiting too long.
    pub(super) fn open_session_deadline(&mut self, sess: SlotKey) {
        let Some(held) = self.session_table.sessions.get(sess) else {
            return;
        };
        let (left, quiet) = (held.machine.client_left, held.driver_data.server_quiet);
        let waits = held
            .driver_data
            .server
            .and_then(|key| self.connections.get(key))
            .filter(|conn| conn.complete_len > 0);
        let stalls = waits.map(|conn| conn.last_activity + STALL);
        match stalls {
            _ if left => self.end(
                sess,
                ReasonCode::ClientLeft,
                Outcome::Ok,
                (Close::Fin, Close::Fin),
            ),
            // The server may well have answered: its lines wait for a client that takes none.
            Some(until) if self.now < until => self
                .deadlines
                .set(TimerKey::Session(sess), self.now + RESPONSE_TIMEOUT),
            Some(_) => {
                self.input(sess, SessionInput::ClientLeft);
                self.end(
                    sess,
                    ReasonCode::ClientStalled,
                    Outcome::Ok,
                    (Close::Reset, Close::Reset),
                );
            }
            None if !quiet => {
                self.deadlines.set(
                    TimerKey::Session(sess),
                    self.now + time_from_quiet_to_migration(self.settings.connect_timeout),
                );
                self.session_mut(sess)
                    .into_iter()
                    .for_each(|own| own.server_quiet = true);
                self.session_table
                    .note_server_activity(self.now, sess, false);
            }
            None => self.migrate(sess, ReasonCode::ServerSilent),
        }
    }

    /// Ends both sides of an open connection and tells the module.
    fn end(
        &mut self,
        sess: SlotKey,
        code: ReasonCode,
        outcome: Outcome,
        (to_client, to_server): (Close, Close),
    ) {
        self.log_session_end(sess, code);
        let Some(s) = self.session_mut(sess) else {
            return;
        };
        let load = s
            .announced_end
            .map(|farewell| farewell.1)
            .unwrap_or_default();
        let (client, server) = (self.take_client(sess), self.take_server(sess));
        self.deadlines.clear(TimerKey::Session(sess));
        let for_client = server.map(|key| self.waiting(key)).unwrap_or_default();
        let for_server = client.map(|key| self.waiting(key)).unwrap_or_default();
        for (key, close, waiting) in [
            (client, to_client, for_client),
            (server, to_server, for_server),
        ] {
            let Some(key) = key else { continue };
            match close {
                Close::Fin => self.close_gracefully(key, &[&waiting]),
                Close::Say(text) => self.close_gracefully(key, &[&waiting, text]),
                Close::Reset => self
                    .close(key)
                    .into_iter()
                    .for_each(|stream| stream.reset()),
            }
        }
        self.input(sess, SessionInput::SessionClosed { outcome, load });
    }

    /// Whole lines that came from one side and are not passed on yet.
    fn waiting(&self, from: SlotKey) -> Vec<u8> {
        let conn = self.connections.get(from);
        conn.map(|conn| conn.stream.inbound.bytes()[..conn.complete_len].to_vec())
            .unwrap_or_default()
    }
}

/// A whole line always fits beside one that waits.
const _: () = assert!(ReadBuffer::CAPACITY >= 2 * line::MAX_LINE_LENGTH);
