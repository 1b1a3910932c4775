//! Open connections: whole lines both ways, and their ends.

use super::{ReasonCode, Router, SessionInput, SessionState, TimerKey};
use crate::protocol::client::{FAILED, MOVE};
use crate::protocol::line::{self, Fault};
use crate::protocol::server::{Said, load, said};
use crate::transport::poll::Want;
use crate::transport::{Buffer, End, Key};
use asterramp_placement::Event;
use asterramp_placement::event::{Load, Observation, Outcome};
use std::time::Duration;

/// How long a server may leave a client's line without any answer.
pub(super) const SILENCE: Duration = Duration::from_secs(4);
/// How long a server may take to end what its client has ended.
const LAST: Duration = Duration::from_millis(900);
/// How long a client may take none of the lines that wait for it.
const STALL: Duration = Duration::from_secs(30);

/// How long a line may wait until its server counts as quiet: as long as a probe has to come up and be answered.
fn quiet(connect_within: Duration) -> Duration {
    (connect_within * 3).min(SILENCE / 2)
}

/// How much longer it may wait, once it is quiet, until its client is moved.
pub(super) fn rest(connect_within: Duration) -> Duration {
    SILENCE - quiet(connect_within)
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
    pub(super) fn forward(&mut self, sess: Key) {
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
            self.log_event(ReasonCode::ServerBad, format!("server line={fault:?}"));
            return self.end(
                sess,
                ReasonCode::ServerBad,
                Outcome::Reset,
                (Close::Say(MOVE), Close::Fin),
            );
        }
        if let Err(fault) = self.take_from_client(sess, client) {
            self.log_event(ReasonCode::ClientBad, format!("client line={fault:?}"));
            self.input(sess, SessionInput::Left);
            return self.end(
                sess,
                ReasonCode::ClientBad,
                Outcome::Ok,
                (Close::Say(FAILED), Close::Fin),
            );
        }
        self.pass(server, client);
        self.pass(client, server);
        self.pass_ends(sess, client, server);
    }

    /// Takes in the whole lines that a server sent.
    fn take_from_server(&mut self, sess: Key, server: Key) -> Result<(), Fault> {
        let (Some(conn), Some(held)) = (
            self.connections.get_mut(server),
            self.session_table.sessions.get_mut(sess),
        ) else {
            return Ok(());
        };
        let (s, left, to) = (&mut held.driver_data, held.machine.left, held.machine.to);
        let listener = held.machine.arrival.listener;
        let (mut works, mut heard) = (None, false);
        while let Some((text, n)) = line::first(&conn.stream.inbound.bytes()[conn.complete_len..])?
        {
            conn.complete_len += n;
            match said(text) {
                Said::Work(work) => works = Some(work),
                Said::Bye(report) => {
                    s.farewell = Some((Outcome::Ok, load(&self.settings.load_reports, report)))
                }
                Said::Move => s.farewell = Some((Outcome::CalledOff, Load::default())),
                _ => {}
            }
            (s.asked, heard) = (false, true);
            if s.farewell.is_some() {
                conn.stream.ended = conn.stream.ended.or(Some(End::Fin));
                break;
            }
        }
        if !s.asked && !left {
            self.deadlines.clear(TimerKey::Session(sess));
        }
        if heard {
            self.session_table.line(self.now, sess, true);
        }
        if let Some(work) = works {
            self.admission.takes(self.now, listener, work);
            self.event(Event::Observed {
                session: sess.slot,
                server: to,
                observation: Observation::Work(work),
            });
        }
        Ok(())
    }

    fn take_from_client(&mut self, sess: Key, client: Key) -> Result<(), Fault> {
        let (Some(conn), Some(held)) = (
            self.connections.get_mut(client),
            self.session_table.sessions.get_mut(sess),
        ) else {
            return Ok(());
        };
        let (s, left) = (&mut held.driver_data, held.machine.left);
        let quiet = quiet(self.settings.connect_timeout);
        while let Some((_, n)) = line::first(&conn.stream.inbound.bytes()[conn.complete_len..])? {
            conn.complete_len += n;
            if !s.asked && !left {
                (s.asked, s.quiet) = (true, false);
                self.deadlines
                    .set(TimerKey::Session(sess), self.now + quiet);
            }
        }
        Ok(())
    }

    /// Writes whole lines of one side to the other, as far as it takes them; the rest stays where it is, and
    /// no more is read than there is room for.
    fn pass(&mut self, from: Key, to: Key) {
        let (Some(source), Some(sink)) = (self.connections.get(from), self.connections.get(to))
        else {
            return;
        };
        let bytes = &source.stream.inbound.bytes()[..source.complete_len];
        match sink.stream.pass(bytes) {
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

    fn pass_ends(&mut self, sess: Key, client: Key, server: Key) {
        let (Some(held), Some(c), Some(v)) = (
            self.session_table.sessions.get(sess),
            self.connections.get(client),
            self.connections.get(server),
        ) else {
            return;
        };
        let left = held.machine.left;
        let (code, outcome) = match held.driver_data.farewell {
            Some((Outcome::Ok, _)) => (ReasonCode::Served, Outcome::Ok),
            Some(_) => (ReasonCode::ServerMoved, Outcome::CalledOff),
            None => (ReasonCode::ServerClosed, Outcome::Reset),
        };
        let fin = (Close::Fin, Close::Fin);
        match (c.stream.ended, v.stream.ended) {
            (Some(_), Some(_)) | (Some(End::Reset), _) if left => {
                return self.end(sess, ReasonCode::ClientLeft, Outcome::Ok, fin);
            }
            (Some(End::Reset), _) => {
                self.input(sess, SessionInput::Left);
                return self.end(
                    sess,
                    ReasonCode::ClientReset,
                    Outcome::Ok,
                    (Close::Reset, Close::Reset),
                );
            }
            (_, Some(End::Reset)) => {
                return self.end(
                    sess,
                    ReasonCode::ServerReset,
                    Outcome::Reset,
                    (Close::Reset, Close::Reset),
                );
            }
            (_, Some(End::Fin)) => return self.end(sess, code, outcome, fin),
            (Some(End::Fin), None) if !left => {
                self.input(sess, SessionInput::Left);
                self.deadlines.set(TimerKey::Session(sess), self.now + LAST);
            }
            _ => {}
        }
        let (Some(c), Some(v)) = (self.connections.get(client), self.connections.get(server))
        else {
            return;
        };
        if self.life(sess).is_some_and(|life| life.left) && c.complete_len == 0 {
            v.stream.end_sending();
        }
        let write = |conn: &super::Connection, other: &super::Connection| {
            !conn.stream.sent() || other.complete_len > 0
        };
        let for_client = Want {
            read: c.stream.may_read(),
            write: write(c, v),
        };
        let for_server = Want {
            read: v.stream.may_read(),
            write: write(v, c),
        };
        self.set_interest(client, for_client);
        self.set_interest(server, for_server);
    }

    /// Asks a client to come again.
    pub(super) fn migrate(&mut self, sess: Key, code: ReasonCode) {
        let outcome = if code == ReasonCode::ServerSilent {
            Outcome::Reset
        } else {
            Outcome::CalledOff
        };
        if self
            .life(sess)
            .is_some_and(|life| life.stage == SessionState::Open)
            && !self.is_session_offered(sess)
        {
            self.end(sess, code, outcome, (Close::Say(MOVE), Close::Fin));
        }
    }

    /// An open connection has kept somebody waiting too long.
    pub(super) fn open_session_deadline(&mut self, sess: Key) {
        let Some(held) = self.session_table.sessions.get(sess) else {
            return;
        };
        let (left, quiet) = (held.machine.left, held.driver_data.quiet);
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
                .set(TimerKey::Session(sess), self.now + SILENCE),
            Some(_) => {
                self.input(sess, SessionInput::Left);
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
                    self.now + rest(self.settings.connect_timeout),
                );
                self.own(sess).into_iter().for_each(|own| own.quiet = true);
                self.session_table.line(self.now, sess, false);
            }
            None => self.migrate(sess, ReasonCode::ServerSilent),
        }
    }

    /// Ends both sides of an open connection and tells the module.
    fn end(
        &mut self,
        sess: Key,
        code: ReasonCode,
        outcome: Outcome,
        (to_client, to_server): (Close, Close),
    ) {
        self.log_session_end(sess, code);
        let Some(s) = self.own(sess) else { return };
        let load = s.farewell.map(|farewell| farewell.1).unwrap_or_default();
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
        self.input(sess, SessionInput::Closed { outcome, load });
    }

    /// Whole lines that came from one side and are not passed on yet.
    fn waiting(&self, from: Key) -> Vec<u8> {
        let conn = self.connections.get(from);
        conn.map(|conn| conn.stream.inbound.bytes()[..conn.complete_len].to_vec())
            .unwrap_or_default()
    }
}

/// A whole line always fits beside one that waits.
const _: () = assert!(Buffer::LIMIT >= 2 * line::LONGEST);
