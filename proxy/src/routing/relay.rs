//! Open connections: whole lines both ways, and their ends.

use super::{Code, Due, Router};
use crate::protocol::client::MOVE;
use crate::protocol::line::{self, Fault};
use crate::protocol::server::{Said, figure, said};
use crate::transport::poll::Want;
use crate::transport::{Buffer, End, Key};
use asterramp::Event;
use asterramp::event::{Load, Note, Outcome};
use std::time::Duration;

/// How long a server may leave a client's line without any answer.
const SILENCE: Duration = Duration::from_secs(4);
/// How long the last lines of an end may take.
const LAST: Duration = Duration::from_millis(900);

/// How one side of a connection is ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Close {
    Fin,
    Reset,
    Move,
}

impl Router {
    /// Passes on what can be passed, both ways, and any end.
    pub(super) fn relay(&mut self, sess: Key) {
        let Some(s) = self.sessions.get(sess) else { return };
        let (Some(client), Some(server)) = (s.client, s.server) else { return };
        if let Err(fault) = self.take_from_server(sess, server) {
            self.line(Code::ServerBad, || format!("server line={fault:?}"));
            return self.end(sess, Code::ServerBad, Outcome::Reset, (Close::Move, Close::Fin));
        }
        if let Err(fault) = self.take_from_client(sess, client) {
            self.line(Code::ClientBad, || format!("client line={fault:?}"));
            return self.end(sess, Code::ClientBad, Outcome::Ok, (Close::Fin, Close::Fin));
        }
        self.pass(server, client);
        self.pass(client, server);
        self.pass_ends(sess, client, server);
    }

    /// Takes in the whole lines that a server sent.
    fn take_from_server(&mut self, sess: Key, server: Key) -> Result<(), Fault> {
        let (Some(conn), Some(s)) = (self.conns.get_mut(server), self.sessions.get_mut(sess)) else {
            return Ok(());
        };
        let (slot, to) = (sess.slot, s.to);
        while let Some((text, n)) = line::first(&conn.stream.inbound.bytes()[conn.whole..])? {
            conn.whole += n;
            let note = match said(text) {
                Said::Work(work) => Some(Note::Work(work)),
                Said::Bye(report) => {
                    let load = self.setup.reports.load(|_, name| figure(report, name));
                    s.farewell = Some((Outcome::Ok, load));
                    None
                }
                Said::Move => {
                    s.farewell = Some((Outcome::CalledOff, Load::default()));
                    None
                }
                _ => s.asked.map(|asked| Note::Delay(self.now.saturating_sub(asked))),
            };
            s.asked = None;
            let noted = note.map(|note| Event::Noted { sess: slot, server: to, note });
            self.events.extend(noted);
            if s.farewell.is_some() {
                conn.stream.ended = conn.stream.ended.or(Some(End::Fin));
                break;
            }
        }
        if s.asked.is_none() && s.moving.is_none() && !s.left {
            self.deadlines.clear(Due::Session(sess));
        }
        Ok(())
    }

    fn take_from_client(&mut self, sess: Key, client: Key) -> Result<(), Fault> {
        let (Some(conn), Some(s)) = (self.conns.get_mut(client), self.sessions.get_mut(sess)) else {
            return Ok(());
        };
        while let Some((_, n)) = line::first(&conn.stream.inbound.bytes()[conn.whole..])? {
            conn.whole += n;
            if s.asked.is_none() && s.moving.is_none() {
                s.asked = Some(self.now);
                self.deadlines.set(Due::Session(sess), self.now + SILENCE);
            }
        }
        Ok(())
    }

    /// Writes whole lines of one side to the other, as far as it takes them; the rest stays where it is, and
    /// no more is read than there is room for.
    fn pass(&mut self, from: Key, to: Key) {
        let Some(bytes) = self.conns.get(from).map(|conn| conn.stream.inbound.bytes()[..conn.whole].to_vec())
        else {
            return;
        };
        let done = self.conns.get_mut(to).map_or(0, |to| to.stream.pass(&bytes));
        if let Some(conn) = self.conns.get_mut(from).filter(|_| done > 0) {
            conn.mid = bytes[done - 1] != b'\n';
            conn.whole -= done;
            conn.stream.inbound.consume(done);
        }
    }

    fn pass_ends(&mut self, sess: Key, client: Key, server: Key) {
        let (Some(s), Some(c), Some(v)) =
            (self.sessions.get(sess), self.conns.get(client), self.conns.get(server))
        else {
            return;
        };
        let (code, outcome) = match s.farewell {
            Some((Outcome::Ok, _)) => (Code::Served, Outcome::Ok),
            Some(_) => (Code::ServerMoved, Outcome::CalledOff),
            None => (Code::ServerClosed, Outcome::Reset),
        };
        match (c.stream.ended, v.stream.ended) {
            (Some(End::Reset), _) => {
                self.events.push_back(Event::Left { sess: sess.slot });
                return self.end(sess, Code::ClientReset, Outcome::Ok, (Close::Reset, Close::Reset));
            }
            (_, Some(End::Reset)) => {
                return self.end(sess, Code::ServerReset, Outcome::Reset, (Close::Reset, Close::Reset));
            }
            (_, Some(End::Fin)) if s.left && v.whole == 0 => {
                return self.end(sess, Code::ClientLeft, Outcome::Ok, (Close::Fin, Close::Fin));
            }
            (_, Some(End::Fin)) if v.whole == 0 => {
                return self.end(sess, code, outcome, (Close::Fin, Close::Fin));
            }
            (Some(End::Fin), None) if !s.left && c.whole == 0 => {
                v.stream.end_sending();
                self.events.push_back(Event::Left { sess: sess.slot });
                self.sessions.get_mut(sess).into_iter().for_each(|s| s.left = true);
                self.deadlines.set(Due::Session(sess), self.now + LAST);
            }
            _ => {}
        }
        let Some(s) = self.sessions.get(sess) else { return };
        let Some((c, v)) = self.conns.get(client).zip(self.conns.get(server)) else { return };
        if let Some(code) = s.moving.filter(|_| v.whole == 0 && !v.mid && c.stream.sent()) {
            let outcome = if code == Code::ServerSilent { Outcome::Reset } else { Outcome::CalledOff };
            return self.end(sess, code, outcome, (Close::Move, Close::Fin));
        }
        let read = |conn: &super::Conn| conn.stream.ended.is_none() && conn.stream.inbound.room() > 0;
        let write = |conn: &super::Conn, other: &super::Conn| !conn.stream.sent() || other.whole > 0;
        let (for_client, for_server) =
            (Want { read: read(c), write: write(c, v) }, Want { read: read(v), write: write(v, c) });
        self.want(client, for_client);
        self.want(server, for_server);
    }

    /// Asks a client to come again; the line that is under way to it is finished first.
    pub(super) fn move_away(&mut self, sess: Key, code: Code) {
        let Some(s) = self.sessions.get_mut(sess).filter(|s| s.moving.is_none() && !s.left) else { return };
        s.moving = Some(code);
        self.deadlines.set(Due::Session(sess), self.now + LAST);
        self.relay(sess);
    }

    /// An open connection has kept somebody waiting too long.
    pub(super) fn open_due(&mut self, sess: Key) {
        let Some(s) = self.sessions.get(sess) else { return };
        if s.left {
            self.end(sess, Code::ClientLeft, Outcome::Ok, (Close::Fin, Close::Fin));
        } else if s.moving.is_some() {
            // It has not taken a line for a second, and will not take another.
            self.end(sess, Code::ClientStalled, Outcome::CalledOff, (Close::Reset, Close::Fin));
        } else {
            self.move_away(sess, Code::ServerSilent);
        }
    }

    /// Ends both sides of an open connection and tells the module.
    fn end(&mut self, sess: Key, code: Code, outcome: Outcome, (to_client, to_server): (Close, Close)) {
        self.log_end(sess, code);
        let Some(s) = self.sessions.get_mut(sess) else { return };
        let load = s.farewell.map(|farewell| farewell.1).unwrap_or_default();
        let (client, server, dial) = (s.client.take(), s.server.take(), s.dials.saturating_sub(1));
        self.deadlines.clear(Due::Session(sess));
        if let Some(stream) = server.and_then(|key| self.close(key)).filter(|_| to_server == Close::Reset) {
            stream.reset();
        }
        if let Some(client) = client {
            match to_client {
                Close::Fin => self.dismiss(client, b""),
                Close::Move => self.dismiss(client, MOVE),
                Close::Reset => self.close(client).into_iter().for_each(|stream| stream.reset()),
            }
        }
        self.events.push_back(Event::Ended { sess: sess.slot, dial, outcome, over: true, load });
    }
}

/// A whole line always fits beside one that waits.
const _: () = assert!(Buffer::LIMIT >= 2 * line::LONGEST);
