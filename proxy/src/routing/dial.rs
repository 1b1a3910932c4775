//! Dials: from the connection's start to its outcome.

use super::{Code, Due, Role, Router, Stage};
use crate::protocol::client::FAILED;
use crate::protocol::line;
use crate::protocol::server::{Said, load, said};
use crate::transport::poll::{Ready, Want};
use crate::transport::{Key, socket};
use asterramp::Event;
use asterramp::event::{Load, Outcome, ServerId};
use rustix::io::Errno;
use std::time::Duration;

/// Pace at which a connection that was open before is tried again, and until when.
const AGAIN: Duration = Duration::from_millis(250);
const RESTORED: Duration = Duration::from_secs(38);

/// Outcome, whether it proves that the dial never ran, code.
const ENDS: &[(Outcome, bool, Code)] = &[
    (Outcome::Erred, false, Code::DialErred),
    (Outcome::Full, true, Code::DialFull),
    (Outcome::TimedOut, false, Code::DialTimedOut),
    (Outcome::Unreachable, true, Code::DialUnreachable),
    (Outcome::Reset, false, Code::DialReset),
    (Outcome::CalledOff, false, Code::DialCalledOff),
    (Outcome::NeverSent, true, Code::DialUnsent),
];

impl Router {
    pub(super) fn dial(&mut self, sess: Key, server: ServerId, time_out: Duration) {
        let Some(s) = self.sessions.get_mut(sess) else { return };
        (s.to, s.dials, s.dial_ends) = (server, s.dials.saturating_add(1), self.now + time_out);
        s.stage = Stage::Connecting;
        let by = (self.now + self.setup.connect_within).min(s.dial_ends);
        let connected = self.roster.address(server).ok_or(Errno::ADDRNOTAVAIL).and_then(socket::connect);
        let kept = match connected {
            Ok(fd) => self.keep(fd, Role::Server(sess), Want { read: false, write: true }),
            Err(Errno::CONNREFUSED | Errno::NETUNREACH | Errno::HOSTUNREACH) => {
                return self.dial_over(sess, Outcome::Unreachable, Load::default());
            }
            Err(_) => None,
        };
        let Some(key) = kept else { return self.dial_over(sess, Outcome::NeverSent, Load::default()) };
        self.sessions.get_mut(sess).into_iter().for_each(|s| s.server = Some(key));
        self.deadlines.set(Due::Session(sess), by);
    }

    /// Sends a session that was open before to the server that held it.
    pub(super) fn restore(&mut self, sess: Key) {
        let Some(s) = self.sessions.get(sess) else { return };
        let until = s.arrived + RESTORED;
        let server = s.open_at.as_deref().and_then(|uid| self.roster.find(uid));
        match server {
            Some(server) => self.dial(sess, server, until.saturating_sub(self.now)),
            None => self.dial_over(sess, Outcome::NeverSent, Load::default()),
        }
    }

    pub(super) fn server_woken(&mut self, sess: Key, event: Ready) {
        let Some(s) = self.sessions.get(sess) else { return };
        let stage = s.stage;
        let Some(conn) = self.conns.get_mut(event.key) else { return };
        match stage {
            Stage::Open => {
                conn.stream.fill(event.broken);
                self.relay(sess);
            }
            Stage::Connecting if !(event.write || event.broken) => {}
            Stage::Connecting if !conn.stream.is_up() => {
                self.dial_over(sess, Outcome::Unreachable, Load::default());
            }
            Stage::Connecting => self.ask(sess, event.key),
            Stage::Asked | Stage::Waiting => {
                conn.stream.fill(event.broken);
                self.answered(sess, event.key);
            }
        }
    }

    /// Writes the client's line, with the wait that this dial has, where the client's own stood.
    fn ask(&mut self, sess: Key, key: Key) {
        let (Some(s), Some(conn)) = (self.sessions.get_mut(sess), self.conns.get_mut(key)) else { return };
        s.stage = Stage::Asked;
        let (head, tail) = (&s.line[..s.wait_at.start], &s.line[s.wait_at.end..]);
        let wait = s.dial_ends.saturating_sub(self.now).as_millis().max(1).to_string();
        if s.open_at.is_some() {
            conn.stream.send(&[&s.line]);
        } else {
            conn.stream.send(&[head, wait.as_bytes(), tail]);
        }
        let dial_ends = s.dial_ends;
        self.deadlines.set(Due::Session(sess), dial_ends);
        self.count(Code::Dialled);
        self.answered(sess, key);
    }

    fn answered(&mut self, sess: Key, key: Key) {
        let Some(conn) = self.conns.get(key) else { return };
        let (ended, sent) = (conn.stream.ended.is_some(), conn.stream.sent());
        let line = match line::first(conn.stream.inbound.bytes()) {
            Ok(Some((line, _))) if sent => line,
            Ok(None) if ended && sent => return self.dial_over(sess, Outcome::Reset, Load::default()),
            // The line's last byte was never written.
            Ok(_) if ended => return self.dial_over(sess, Outcome::Unreachable, Load::default()),
            Ok(_) => return self.want_own(key),
            Err(fault) => {
                self.line(Code::ServerBad, format!("dial line={fault:?}"));
                return self.dial_over(sess, Outcome::Erred, Load::default());
            }
        };
        let load = |report| load(&self.setup.reports, report);
        let (outcome, load) = match said(line) {
            Said::Up => return self.came_up(sess, key),
            Said::Full(report) => (Outcome::Full, load(report)),
            Said::Erred(report) | Said::Bye(report) => (Outcome::Erred, load(report)),
            Said::Move => (Outcome::CalledOff, Load::default()),
            _ => {
                let line: String = line.chars().take(80).collect();
                self.line(Code::ServerBad, format!("dial line={line:?}"));
                (Outcome::Erred, Load::default())
            }
        };
        self.dial_over(sess, outcome, load);
    }

    fn came_up(&mut self, sess: Key, key: Key) {
        let Some(s) = self.sessions.get_mut(sess) else { return };
        self.deadlines.clear(Due::Session(sess));
        // A client that left while its dial could not be called off.
        if s.client.is_none() {
            s.server = None;
            self.close(key);
            return self.ended(sess, Outcome::Ok, true, Load::default());
        }
        s.stage = Stage::Open;
        let (arrival, dial) = (s.arrival, s.dials.saturating_sub(1));
        if s.open_at.is_some() {
            s.dials = 1;
            self.events.push_back(Event::Inherited(arrival, s.to));
            self.count(Code::Restored);
        } else {
            self.events.push_back(Event::Began { sess: sess.slot, dial });
            self.count(Code::Up);
        }
        self.relay(sess);
    }

    /// Closes a dial that is not up, before anything else is sent for its session, and tells what it came to.
    pub(super) fn dial_over(&mut self, sess: Key, outcome: Outcome, load: Load) {
        let Some(s) = self.sessions.get_mut(sess).filter(|s| s.stage != Stage::Open) else { return };
        s.stage = Stage::Waiting;
        let server = s.server.take();
        let (over, restored, until) = (s.client.is_none(), s.open_at.is_some(), s.arrived + RESTORED);
        server.into_iter().for_each(|key| drop(self.close(key)));
        self.deadlines.clear(Due::Session(sess));
        let Some((_, unrun, code)) = ENDS.iter().find(|end| end.0 == outcome) else { return };
        self.log_end(sess, *code);
        if !restored {
            self.ended(sess, outcome, over, load);
        } else if *unrun && self.now + AGAIN < until {
            self.deadlines.set(Due::Session(sess), self.now + AGAIN);
        } else {
            self.answer(sess, FAILED, Code::TornDown);
            self.forget(sess);
        }
    }

    pub(super) fn session_due(&mut self, sess: Key) {
        let Some(s) = self.sessions.get(sess) else { return };
        let sent = s.server.and_then(|key| self.conns.get(key)).is_some_and(|conn| conn.stream.sent());
        match s.stage {
            Stage::Open => self.open_due(sess),
            Stage::Waiting => self.restore(sess),
            Stage::Asked if sent => self.dial_over(sess, Outcome::TimedOut, Load::default()),
            Stage::Asked | Stage::Connecting => self.dial_over(sess, Outcome::Unreachable, Load::default()),
        }
    }
}
