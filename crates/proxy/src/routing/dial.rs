//! Dials: from the connection's start to what its server says first.

use super::{ConnectionRole, ReasonCode, Router, SessionInput, SessionState, TimerKey};
use crate::protocol::line;
use crate::protocol::server::{ServerLine, load_from_report, parse_server_line};
use crate::transport::poller::{Interest, ReadyEvent};
use crate::transport::{SlotKey, socket};
use asterramp_placement::event::{Load, Outcome, ServerId};
use rustix::io::Errno;
use std::time::Duration;

impl Router {
    pub(super) fn dial(&mut self, sess: SlotKey, server: ServerId) {
        if self.client_has_gone(sess) {
            return;
        }
        let Some(dial) = self.session_machine(sess).map(|life| life.dial()) else {
            return;
        };
        let connected = self
            .endpoints
            .address(server)
            .ok_or(Errno::ADDRNOTAVAIL)
            .and_then(socket::connect);
        let kept = match connected {
            Ok(fd) => self.register(
                fd,
                ConnectionRole::Server(sess),
                Interest {
                    read: false,
                    write: true,
                },
            ),
            Err(Errno::CONNREFUSED | Errno::NETUNREACH | Errno::HOSTUNREACH) => {
                return self.input(sess, SessionInput::Unreachable { dial });
            }
            Err(_) => None,
        };
        let Some(key) = kept else {
            return self.input(sess, SessionInput::NoSocket { dial });
        };
        let Some(own) = self.session_mut(sess) else {
            return;
        };
        own.server = Some(key);
        let alone = own.client.is_none();
        self.connection_counts.lone_servers += usize::from(alone);
    }

    /// Looks at a session's client once more, right before something is sent for it: its end may have come behind
    /// other events of this turn, or with what was read before. For one that has gone nothing is begun.
    fn client_has_gone(&mut self, sess: SlotKey) -> bool {
        let client = self
            .session_table
            .sessions
            .get(sess)
            .and_then(|held| held.driver_data.client);
        let Some(conn) = client.and_then(|key| self.connections.get_mut(key)) else {
            return false;
        };
        conn.stream.read_once(false);
        let input = match (conn.stream.inbound.is_empty(), conn.stream.ended) {
            (false, _) => SessionInput::ClientSpoke,
            (true, Some(_)) => SessionInput::ClientLeft,
            (true, None) => return false,
        };
        self.session_table.found_gone(self.now, sess, input)
    }

    /// Sends a session that was open before to the server that held it.
    pub(super) fn restore(&mut self, sess: SlotKey) {
        let Some(held) = self.session_table.sessions.get(sess) else {
            return;
        };
        let (dial, time_out) = (
            held.machine.dial(),
            held.machine.restored_until().saturating_sub(self.now),
        );
        let server = held
            .driver_data
            .open_at
            .as_deref()
            .and_then(|uid| self.endpoints.find(uid));
        let input = server.map_or(SessionInput::NoSocket { dial }, |server| {
            SessionInput::Dial {
                server,
                timeout: time_out,
                write_within: time_out,
            }
        });
        self.input(sess, input);
    }

    pub(super) fn server_ready(&mut self, sess: SlotKey, event: ReadyEvent) {
        let Some((stage, dial)) = self
            .session_machine(sess)
            .map(|life| (life.state, life.dial()))
        else {
            return;
        };
        let Some(conn) = self.connections.get_mut(event.key) else {
            return;
        };
        match stage {
            SessionState::Open => {
                conn.stream.read_once(event.failed);
                self.forward(sess);
            }
            SessionState::Connecting if !(event.writable || event.failed) => {}
            SessionState::Connecting if !conn.stream.is_connected() => {
                self.input(sess, SessionInput::Unreachable { dial })
            }
            SessionState::Connecting => self.input(sess, SessionInput::Connected { dial }),
            _ => {
                conn.stream.read_once(event.failed);
                self.answered(sess, event.key);
            }
        }
    }

    /// Writes the client's line, with the wait that this dial has, where the client's own stood.
    pub(super) fn send_request_line(&mut self, sess: SlotKey, wait: Option<Duration>) {
        if self.client_has_gone(sess) {
            return;
        }
        let Some(held) = self.session_table.sessions.get_mut(sess) else {
            return;
        };
        let own = &held.driver_data;
        let Some(key) = own.server else { return };
        let Some(conn) = self.connections.get_mut(key) else {
            return;
        };
        match wait {
            None => conn.stream.send(&[&own.request_line]),
            Some(wait) => {
                let (head, tail) = (
                    &own.request_line[..own.wait_at.start],
                    &own.request_line[own.wait_at.end..],
                );
                conn.stream
                    .send(&[head, wait.as_millis().to_string().as_bytes(), tail]);
            }
        }
        self.answered(sess, key);
    }

    /// Looks at what a server has said, once the line is written to its last byte.
    fn answered(&mut self, sess: SlotKey, key: SlotKey) {
        let (Some(conn), Some(life)) = (self.connections.get(key), self.session_machine(sess))
        else {
            return;
        };
        let (ended, sent) = (conn.stream.ended.is_some(), conn.stream.is_flushed());
        let (dial, asked) = (life.dial(), life.state == SessionState::SendingRequest);
        if sent && asked {
            self.metrics.count_attempt();
            self.input(sess, SessionInput::RequestWritten { dial });
        }
        let Some(conn) = self.connections.get(key) else {
            return;
        };
        let line = match line::first_line(conn.stream.inbound.bytes()) {
            Ok(Some((line, _))) if sent => line,
            Ok(_) if ended => return self.input(sess, SessionInput::ServerEnded { dial }),
            Ok(_) => return self.watch_own_io(key),
            Err(fault) => {
                self.log_event(
                    ReasonCode::ServerProtocolError,
                    format!("dial line={fault:?}"),
                );
                return self.input(sess, said_by(dial, Outcome::Erred, Load::default()));
            }
        };
        let load = |report| load_from_report(&self.settings.load_reports, report);
        let (outcome, load) = match parse_server_line(line) {
            ServerLine::Up => return self.input(sess, SessionInput::ServerAccepted { dial }),
            ServerLine::Busy(report) => (Outcome::Full, load(report)),
            ServerLine::Error(report) | ServerLine::Bye(report) => (Outcome::Erred, load(report)),
            ServerLine::Move => (Outcome::CalledOff, Load::default()),
            _ => {
                let line: String = line.chars().take(80).collect();
                self.log_event(
                    ReasonCode::ServerProtocolError,
                    format!("dial line={line:?}"),
                );
                (Outcome::Erred, Load::default())
            }
        };
        self.input(sess, said_by(dial, outcome, load));
    }

    pub(super) fn session_deadline(&mut self, sess: SlotKey) {
        match self.session_machine(sess).map(|life| life.state) {
            Some(SessionState::Open) => self.open_session_deadline(sess),
            Some(_) => self.input(sess, SessionInput::DeadlineReached),
            None => self.deadlines.clear(TimerKey::Session(sess)),
        }
    }
}

fn said_by(dial: u8, outcome: Outcome, load: Load) -> SessionInput {
    SessionInput::ServerDeclined {
        dial,
        outcome,
        load,
    }
}
