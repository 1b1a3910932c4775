//! Dials: from the connection's start to what its server says first.

use super::{Code, Due, Input, Role, Router, Stage};
use crate::protocol::line;
use crate::protocol::server::{Said, load, said};
use crate::transport::poll::{Ready, Want};
use crate::transport::{Key, socket};
use asterramp_placement::event::{Load, Outcome, ServerId};
use rustix::io::Errno;
use std::time::Duration;

impl Router {
    pub(super) fn dial(&mut self, sess: Key, server: ServerId) {
        if self.client_has_gone(sess) {
            return;
        }
        let Some(dial) = self.life(sess).map(|life| life.dial()) else {
            return;
        };
        let connected = self
            .roster
            .address(server)
            .ok_or(Errno::ADDRNOTAVAIL)
            .and_then(socket::connect);
        let kept = match connected {
            Ok(fd) => self.keep(
                fd,
                Role::Server(sess),
                Want {
                    read: false,
                    write: true,
                },
            ),
            Err(Errno::CONNREFUSED | Errno::NETUNREACH | Errno::HOSTUNREACH) => {
                return self.input(sess, Input::Unreachable { dial });
            }
            Err(_) => None,
        };
        let Some(key) = kept else {
            return self.input(sess, Input::NoSocket { dial });
        };
        let Some(own) = self.own(sess) else { return };
        own.server = Some(key);
        let alone = own.client.is_none();
        self.tally.lone += usize::from(alone);
    }

    /// Looks at a session's client once more, right before something is sent for it: its end may have come behind
    /// other events of this turn, or with what was read before. For one that has gone nothing is begun.
    fn client_has_gone(&mut self, sess: Key) -> bool {
        let client = self
            .exchange
            .sessions
            .get(sess)
            .and_then(|held| held.own.client);
        let Some(conn) = client.and_then(|key| self.conns.get_mut(key)) else {
            return false;
        };
        conn.stream.fill(false);
        let input = match (conn.stream.inbound.is_empty(), conn.stream.ended) {
            (false, _) => Input::Spoke,
            (true, Some(_)) => Input::Left,
            (true, None) => return false,
        };
        self.exchange.found_gone(self.now, sess, input)
    }

    /// Sends a session that was open before to the server that held it.
    pub(super) fn restore(&mut self, sess: Key) {
        let Some(held) = self.exchange.sessions.get(sess) else {
            return;
        };
        let (dial, time_out) = (
            held.life.dial(),
            held.life.restored_until().saturating_sub(self.now),
        );
        let server = held
            .own
            .open_at
            .as_deref()
            .and_then(|uid| self.roster.find(uid));
        let input = server.map_or(Input::NoSocket { dial }, |server| Input::Dial {
            server,
            time_out,
            within: time_out,
        });
        self.input(sess, input);
    }

    pub(super) fn server_woken(&mut self, sess: Key, event: Ready) {
        let Some((stage, dial)) = self.life(sess).map(|life| (life.stage, life.dial())) else {
            return;
        };
        let Some(conn) = self.conns.get_mut(event.key) else {
            return;
        };
        match stage {
            Stage::Open => {
                conn.stream.fill(event.broken);
                self.relay(sess);
            }
            Stage::Connecting if !(event.write || event.broken) => {}
            Stage::Connecting if !conn.stream.is_up() => {
                self.input(sess, Input::Unreachable { dial })
            }
            Stage::Connecting => self.input(sess, Input::Connected { dial }),
            _ => {
                conn.stream.fill(event.broken);
                self.answered(sess, event.key);
            }
        }
    }

    /// Writes the client's line, with the wait that this dial has, where the client's own stood.
    pub(super) fn ask(&mut self, sess: Key, wait: Option<Duration>) {
        if self.client_has_gone(sess) {
            return;
        }
        let Some(held) = self.exchange.sessions.get_mut(sess) else {
            return;
        };
        let own = &held.own;
        let Some(key) = own.server else { return };
        let Some(conn) = self.conns.get_mut(key) else {
            return;
        };
        match wait {
            None => conn.stream.send(&[&own.line]),
            Some(wait) => {
                let (head, tail) = (&own.line[..own.wait_at.start], &own.line[own.wait_at.end..]);
                conn.stream
                    .send(&[head, wait.as_millis().to_string().as_bytes(), tail]);
            }
        }
        self.answered(sess, key);
    }

    /// Looks at what a server has said, once the line is written to its last byte.
    fn answered(&mut self, sess: Key, key: Key) {
        let (Some(conn), Some(life)) = (self.conns.get(key), self.life(sess)) else {
            return;
        };
        let (ended, sent) = (conn.stream.ended.is_some(), conn.stream.sent());
        let (dial, asked) = (life.dial(), life.stage == Stage::Asked);
        if sent && asked {
            self.figures.written();
            self.input(sess, Input::Written { dial });
        }
        let Some(conn) = self.conns.get(key) else {
            return;
        };
        let line = match line::first(conn.stream.inbound.bytes()) {
            Ok(Some((line, _))) if sent => line,
            Ok(_) if ended => return self.input(sess, Input::Ended { dial }),
            Ok(_) => return self.want_own(key),
            Err(fault) => {
                self.line(Code::ServerBad, format!("dial line={fault:?}"));
                return self.input(sess, said_by(dial, Outcome::Erred, Load::default()));
            }
        };
        let load = |report| load(&self.setup.reports, report);
        let (outcome, load) = match said(line) {
            Said::Up => return self.input(sess, Input::Up { dial }),
            Said::Full(report) => (Outcome::Full, load(report)),
            Said::Erred(report) | Said::Bye(report) => (Outcome::Erred, load(report)),
            Said::Move => (Outcome::CalledOff, Load::default()),
            _ => {
                let line: String = line.chars().take(80).collect();
                self.line(Code::ServerBad, format!("dial line={line:?}"));
                (Outcome::Erred, Load::default())
            }
        };
        self.input(sess, said_by(dial, outcome, load));
    }

    pub(super) fn session_due(&mut self, sess: Key) {
        match self.life(sess).map(|life| life.stage) {
            Some(Stage::Open) => self.open_due(sess),
            Some(_) => self.input(sess, Input::Due),
            None => self.deadlines.clear(Due::Session(sess)),
        }
    }
}

fn said_by(dial: u8, outcome: Outcome, load: Load) -> Input {
    Input::Said {
        dial,
        outcome,
        load,
    }
}
