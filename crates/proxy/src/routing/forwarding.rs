//! Open connections: whole lines both ways, and their ends.

use super::{Code, Due, Input, Router, Stage};
use crate::protocol::client::{FAILED, MOVE};
use crate::protocol::line::{self, Fault};
use crate::protocol::server::{Said, load, said};
use crate::transport::poll::Want;
use crate::transport::{Buffer, End, Key};
use asterramp_placement::Event;
use asterramp_placement::event::{Load, Note, Outcome};
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
    pub(super) fn relay(&mut self, sess: Key) {
        let Some(held) = self.exchange.sessions.get(sess) else {
            return;
        };
        let (Some(client), Some(server)) = (held.own.client, held.own.server) else {
            return;
        };
        if self.is_offered(sess) {
            return;
        }
        if let Err(fault) = self.take_from_server(sess, server) {
            self.line(Code::ServerBad, format!("server line={fault:?}"));
            return self.end(
                sess,
                Code::ServerBad,
                Outcome::Reset,
                (Close::Say(MOVE), Close::Fin),
            );
        }
        if let Err(fault) = self.take_from_client(sess, client) {
            self.line(Code::ClientBad, format!("client line={fault:?}"));
            self.input(sess, Input::Left);
            return self.end(
                sess,
                Code::ClientBad,
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
            self.conns.get_mut(server),
            self.exchange.sessions.get_mut(sess),
        ) else {
            return Ok(());
        };
        let (s, left, to) = (&mut held.own, held.life.left, held.life.to);
        let listener = held.life.arrival.listener;
        let (mut works, mut heard) = (None, false);
        while let Some((text, n)) = line::first(&conn.stream.inbound.bytes()[conn.whole..])? {
            conn.whole += n;
            match said(text) {
                Said::Work(work) => works = Some(work),
                Said::Bye(report) => {
                    s.farewell = Some((Outcome::Ok, load(&self.setup.reports, report)))
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
            self.deadlines.clear(Due::Session(sess));
        }
        if heard {
            self.exchange.line(self.now, sess, true);
        }
        if let Some(work) = works {
            self.gate.takes(self.now, listener, work);
            self.event(Event::Noted {
                sess: sess.slot,
                server: to,
                note: Note::Work(work),
            });
        }
        Ok(())
    }

    fn take_from_client(&mut self, sess: Key, client: Key) -> Result<(), Fault> {
        let (Some(conn), Some(held)) = (
            self.conns.get_mut(client),
            self.exchange.sessions.get_mut(sess),
        ) else {
            return Ok(());
        };
        let (s, left) = (&mut held.own, held.life.left);
        let quiet = quiet(self.setup.connect_within);
        while let Some((_, n)) = line::first(&conn.stream.inbound.bytes()[conn.whole..])? {
            conn.whole += n;
            if !s.asked && !left {
                (s.asked, s.quiet) = (true, false);
                self.deadlines.set(Due::Session(sess), self.now + quiet);
            }
        }
        Ok(())
    }

    /// Writes whole lines of one side to the other, as far as it takes them; the rest stays where it is, and
    /// no more is read than there is room for.
    fn pass(&mut self, from: Key, to: Key) {
        let (Some(source), Some(sink)) = (self.conns.get(from), self.conns.get(to)) else {
            return;
        };
        let bytes = &source.stream.inbound.bytes()[..source.whole];
        match sink.stream.pass(bytes) {
            Ok(0) => {}
            Ok(n) => {
                let Some(source) = self.conns.get_mut(from) else {
                    return;
                };
                source.whole -= n;
                source.stream.inbound.consume(n);
                source.passed = self.now;
            }
            Err(end) => self
                .conns
                .get_mut(to)
                .into_iter()
                .for_each(|sink| sink.stream.ended = Some(end)),
        }
    }

    fn pass_ends(&mut self, sess: Key, client: Key, server: Key) {
        let (Some(held), Some(c), Some(v)) = (
            self.exchange.sessions.get(sess),
            self.conns.get(client),
            self.conns.get(server),
        ) else {
            return;
        };
        let left = held.life.left;
        let (code, outcome) = match held.own.farewell {
            Some((Outcome::Ok, _)) => (Code::Served, Outcome::Ok),
            Some(_) => (Code::ServerMoved, Outcome::CalledOff),
            None => (Code::ServerClosed, Outcome::Reset),
        };
        let fin = (Close::Fin, Close::Fin);
        match (c.stream.ended, v.stream.ended) {
            (Some(_), Some(_)) | (Some(End::Reset), _) if left => {
                return self.end(sess, Code::ClientLeft, Outcome::Ok, fin);
            }
            (Some(End::Reset), _) => {
                self.input(sess, Input::Left);
                return self.end(
                    sess,
                    Code::ClientReset,
                    Outcome::Ok,
                    (Close::Reset, Close::Reset),
                );
            }
            (_, Some(End::Reset)) => {
                return self.end(
                    sess,
                    Code::ServerReset,
                    Outcome::Reset,
                    (Close::Reset, Close::Reset),
                );
            }
            (_, Some(End::Fin)) => return self.end(sess, code, outcome, fin),
            (Some(End::Fin), None) if !left => {
                self.input(sess, Input::Left);
                self.deadlines.set(Due::Session(sess), self.now + LAST);
            }
            _ => {}
        }
        let (Some(c), Some(v)) = (self.conns.get(client), self.conns.get(server)) else {
            return;
        };
        if self.life(sess).is_some_and(|life| life.left) && c.whole == 0 {
            v.stream.end_sending();
        }
        let write =
            |conn: &super::Conn, other: &super::Conn| !conn.stream.sent() || other.whole > 0;
        let for_client = Want {
            read: c.stream.may_read(),
            write: write(c, v),
        };
        let for_server = Want {
            read: v.stream.may_read(),
            write: write(v, c),
        };
        self.want(client, for_client);
        self.want(server, for_server);
    }

    /// Asks a client to come again.
    pub(super) fn move_away(&mut self, sess: Key, code: Code) {
        let outcome = if code == Code::ServerSilent {
            Outcome::Reset
        } else {
            Outcome::CalledOff
        };
        if self
            .life(sess)
            .is_some_and(|life| life.stage == Stage::Open)
            && !self.is_offered(sess)
        {
            self.end(sess, code, outcome, (Close::Say(MOVE), Close::Fin));
        }
    }

    /// An open connection has kept somebody waiting too long.
    pub(super) fn open_due(&mut self, sess: Key) {
        let Some(held) = self.exchange.sessions.get(sess) else {
            return;
        };
        let (left, quiet) = (held.life.left, held.own.quiet);
        let waits = held
            .own
            .server
            .and_then(|key| self.conns.get(key))
            .filter(|conn| conn.whole > 0);
        let stalls = waits.map(|conn| conn.passed + STALL);
        match stalls {
            _ if left => self.end(
                sess,
                Code::ClientLeft,
                Outcome::Ok,
                (Close::Fin, Close::Fin),
            ),
            // The server may well have answered: its lines wait for a client that takes none.
            Some(until) if self.now < until => {
                self.deadlines.set(Due::Session(sess), self.now + SILENCE)
            }
            Some(_) => {
                self.input(sess, Input::Left);
                self.end(
                    sess,
                    Code::ClientStalled,
                    Outcome::Ok,
                    (Close::Reset, Close::Reset),
                );
            }
            None if !quiet => {
                self.deadlines.set(
                    Due::Session(sess),
                    self.now + rest(self.setup.connect_within),
                );
                self.own(sess).into_iter().for_each(|own| own.quiet = true);
                self.exchange.line(self.now, sess, false);
            }
            None => self.move_away(sess, Code::ServerSilent),
        }
    }

    /// Ends both sides of an open connection and tells the module.
    fn end(
        &mut self,
        sess: Key,
        code: Code,
        outcome: Outcome,
        (to_client, to_server): (Close, Close),
    ) {
        self.log_end(sess, code);
        let Some(s) = self.own(sess) else { return };
        let load = s.farewell.map(|farewell| farewell.1).unwrap_or_default();
        let (client, server) = (self.take_client(sess), self.take_server(sess));
        self.deadlines.clear(Due::Session(sess));
        let for_client = server.map(|key| self.waiting(key)).unwrap_or_default();
        let for_server = client.map(|key| self.waiting(key)).unwrap_or_default();
        for (key, close, waiting) in [
            (client, to_client, for_client),
            (server, to_server, for_server),
        ] {
            let Some(key) = key else { continue };
            match close {
                Close::Fin => self.dismiss(key, &[&waiting]),
                Close::Say(text) => self.dismiss(key, &[&waiting, text]),
                Close::Reset => self
                    .close(key)
                    .into_iter()
                    .for_each(|stream| stream.reset()),
            }
        }
        self.input(sess, Input::Closed { outcome, load });
    }

    /// Whole lines that came from one side and are not passed on yet.
    fn waiting(&self, from: Key) -> Vec<u8> {
        let conn = self.conns.get(from);
        conn.map(|conn| conn.stream.inbound.bytes()[..conn.whole].to_vec())
            .unwrap_or_default()
    }
}

/// A whole line always fits beside one that waits.
const _: () = assert!(Buffer::LIMIT >= 2 * line::LONGEST);
