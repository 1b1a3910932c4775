//! Operators' calls: their door, what each does, and callers that say little or read nothing. The door's slots and
//! descriptors are its own, so that a crowd of clients cannot keep operators out.

use super::metrics::GaugeValues;
use super::peers;
use super::{ConnectionRole, ReasonCode, Router, TimerKey};
use crate::protocol::http_server::{self, HttpStatus};
use crate::transport::poller::Interest;
use crate::transport::{SlotKey, socket};
use asterramp_admin_protocol::{AdminCommand, AdminRequest, CALLS};
use asterramp_drain::DrainState;
use asterramp_placement::event;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// Callers there may be at once; when more come, the one idle longest goes.
pub const CALLERS: usize = 32;
/// Callers taken in a turn.
const TURN: usize = 16;
/// How long a call may take to come, and how long its caller may take to read the answer and close.
const PATIENCE: Duration = Duration::from_secs(2);
/// Within how long a drain that is called for empties the proxy: those who call look after 4 s.
const EMPTY_IN: Duration = Duration::from_millis(3_300);

#[derive(Debug)]
pub struct AdminHttp {
    door: SlotKey,
    /// Those there are, the one idle longest first.
    callers: Vec<SlotKey>,
}

impl Router {
    /// Listens for operators. Only a start does; what the door holds is taken from what clients may have.
    pub(super) fn open_admin_http(&mut self, at: SocketAddr) -> io::Result<()> {
        let door = self.register(
            socket::listen(at, false)?,
            ConnectionRole::AdminHttpListener,
            Interest {
                read: true,
                write: false,
            },
        );
        let door = door.ok_or_else(|| io::Error::other("it cannot be watched"))?;
        self.resource_budget = self.resource_budget.without(CALLERS + 1);
        self.admin_http = Some(AdminHttp {
            door,
            callers: Vec::new(),
        });
        Ok(())
    }

    pub(super) fn accept_admin_http(&mut self) {
        for _ in 0..TURN {
            let Some(calls) = &self.admin_http else {
                return;
            };
            let Some(conn) = self.connections.get(calls.door) else {
                return;
            };
            let fd = match socket::accept(&conn.stream) {
                Ok(Some(fd)) => fd,
                Ok(None) => return,
                Err(e) => {
                    return self
                        .log_event(ReasonCode::AcceptFailed, format!("operators error={e}"));
                }
            };
            let oldest = calls
                .callers
                .first()
                .copied()
                .filter(|_| calls.callers.len() >= CALLERS);
            if let Some(oldest) = oldest {
                self.log_event(ReasonCode::AdminRequestFailed, "call why=\"crowded out\"");
                self.drop_caller(oldest);
            }
            let role = ConnectionRole::AdminHttp { answered: false };
            if let Some(key) = self.register(
                fd,
                role,
                Interest {
                    read: true,
                    write: false,
                },
            ) {
                self.admin_http
                    .iter_mut()
                    .for_each(|calls| calls.callers.push(key));
                self.deadlines
                    .set(TimerKey::Connection(key), self.now + PATIENCE);
                self.connection_ready(crate::transport::poller::ReadyEvent {
                    key,
                    writable: false,
                    failed: false,
                });
            }
        }
    }

    pub(super) fn admin_http_ready(&mut self, key: SlotKey, answered: bool) {
        let tells = self.answers_peers();
        let Some(conn) = self.connections.get_mut(key) else {
            return;
        };
        if answered {
            // What comes behind the call is not looked at.
            let n = conn.stream.inbound.bytes().len();
            conn.stream.inbound.consume(n);
            let sent = conn.stream.is_flushed();
            if conn.stream.ended.is_some() && sent
                || conn.stream.ended == Some(crate::transport::StreamEnd::Reset)
            {
                return self.drop_caller(key);
            }
            if sent {
                conn.stream.shutdown_write();
            }
            return self.watch_own_io(key);
        }
        let (bytes, ended) = (conn.stream.inbound.bytes(), conn.stream.ended);
        let (status, text) = match http_server::parse(bytes) {
            Ok(None) if ended.is_none() => {
                // Who said more is idle since now.
                self.admin_http.iter_mut().for_each(|calls| {
                    calls.callers.retain(|caller| *caller != key);
                    calls.callers.push(key);
                });
                return self.watch_own_io(key);
            }
            Ok(None) if bytes.is_empty() => return self.drop_caller(key),
            Ok(None) => (HttpStatus::BadRequest("the call is not whole"), None),
            Err(status) => (status, None),
            Ok(Some(call)) if call.path == peers::PATH && tells => match call.method {
                "GET" => (HttpStatus::Ok, Some(self.known_endpoints_text())),
                _ => (HttpStatus::MethodNotAllowed("GET"), None),
            },
            Ok(Some(call)) => match CALLS.iter().find(|known| known.1 == call.path) {
                None => (HttpStatus::NotFound, None),
                Some(known) if known.0 != call.method => {
                    (HttpStatus::MethodNotAllowed(known.0), None)
                }
                Some(known) => {
                    let verb = known.2;
                    self.count_event(ReasonCode::AdminRequestServed);
                    self.called(verb)
                }
            },
        };
        self.answer_call(key, status, text);
    }

    /// A call did not come in time, or its answer was not read.
    pub(super) fn admin_http_deadline(&mut self, key: SlotKey, answered: bool) {
        if answered {
            self.drop_caller(key);
        } else {
            self.answer_call(key, HttpStatus::RequestTimeout, None);
        }
    }

    fn answer_call(&mut self, key: SlotKey, status: HttpStatus, text: Option<String>) {
        if !matches!(status, HttpStatus::Ok | HttpStatus::ServiceUnavailable(_)) {
            self.log_event(
                ReasonCode::AdminRequestFailed,
                format!("call why={:?}", status.explanation()),
            );
        }
        let Some(conn) = self.connections.get_mut(key) else {
            return;
        };
        conn.stream
            .send(&[http_server::response_text(status, text.as_deref()).as_bytes()]);
        self.set_role(key, ConnectionRole::AdminHttp { answered: true });
        self.deadlines
            .set(TimerKey::Connection(key), self.now + PATIENCE);
        self.admin_http_ready(key, true);
    }

    fn drop_caller(&mut self, key: SlotKey) {
        self.close(key);
        self.admin_http
            .iter_mut()
            .for_each(|calls| calls.callers.retain(|caller| *caller != key));
    }

    /// Does what is called for. A start or stop said again is a yes, and changes nothing.
    fn called(&mut self, verb: AdminCommand) -> (HttpStatus, Option<String>) {
        let deadline_ms = Some(EMPTY_IN.as_millis() as u64);
        let request = match (verb, self.drain.state()) {
            (AdminCommand::Drain, DrainState::Serving) => AdminRequest {
                deadline_ms,
                ..AdminRequest::new(verb)
            },
            (AdminCommand::Drain, _) | (AdminCommand::Undrain, DrainState::Serving) => {
                return (HttpStatus::Ok, None);
            }
            _ => AdminRequest::new(verb),
        };
        match self.execute(&request) {
            Ok(reply) => (HttpStatus::Ok, reply.text),
            Err(why) => (HttpStatus::ServiceUnavailable(why), None),
        }
    }

    /// Whether clients are taken in for as long as they like.
    pub(super) fn accepts_sessions(&self) -> bool {
        self.serving && self.warm_start_serves() && self.drain.state() == DrainState::Serving
    }

    pub(super) fn metrics_text(&self) -> String {
        let listed = self
            .endpoints
            .known_endpoints()
            .filter(|host| host.state != event::EndpointState::Gone)
            .count();
        let standing = GaugeValues {
            inflight: self.connection_counts.clients(),
            listed,
            down: self.session_table.engine.avoided(self.now),
        };
        let mut text = self.metrics.text(&self.settings.listeners, standing);
        let places = self
            .session_table
            .zones
            .iter()
            .flat_map(|places| places.failover.zones());
        text += &super::metrics::zones_text(self.settings.zones.iter().zip(places));
        text += &super::metrics::load_shed_text(
            self.settings
                .listeners
                .iter()
                .zip(self.admission.rejection_counts()),
        );
        text += &super::metrics::warm_start_text(self.warm_start_state(), self.snapshot_counts());
        text
    }
}
