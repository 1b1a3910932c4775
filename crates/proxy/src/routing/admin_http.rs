//! Operators' HTTP calls: a listener of their own, with one call per connection and a time limit for callers that send
//! or read nothing. Callers have descriptors of their own, so that many clients cannot keep operators out.

use super::metrics::{self, GaugeValues};
use super::peers;
use super::{ConnectionRole, ReasonCode, Router, TimerKey};
use crate::protocol::http_server::{self, HttpRequest, HttpStatus};
use crate::transport::poller::{Interest, ReadyEvent};
use crate::transport::{SlotKey, StreamEnd, socket};
use asterramp_admin_protocol::{AdminCommand, AdminRequest, HTTP_ROUTES};
use asterramp_drain::{DrainError, DrainState};
use asterramp_placement::event::EndpointState;
use rustix::fd::OwnedFd;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// Most callers connected at once. If another one connects, the one that has been idle longest is closed.
const MAX_CONNECTIONS: usize = 32;

/// Most callers accepted in one turn of the event loop, so that many callers at once do not delay clients.
const MAX_ACCEPTS_PER_TURN: usize = 16;

/// How long a call may take to arrive, and how long its caller may take afterwards to read the response and close.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Deadline of a drain that is called for by HTTP, which is binding: the platform checks 4 s after its call whether the
/// proxy is empty, and may end it.
const DRAIN_DEADLINE: Duration = Duration::from_millis(3_300);

const READABLE: Interest = Interest {
    read: true,
    write: false,
};

/// The listener and its callers.
#[derive(Debug)]
pub(super) struct AdminHttp {
    listener: SlotKey,
    /// Connections of callers, the one that has been idle longest first.
    callers: Vec<SlotKey>,
}

/// What a valid call asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Route {
    /// The endpoints that this proxy knows, for other proxies of its fleet.
    KnownEndpoints,
    /// The result of a command.
    Command(AdminCommand),
}

impl Router {
    /// Opens the listener, once at the start. The descriptors for it and its callers are deducted from those for
    /// clients.
    pub(super) fn open_admin_http(&mut self, address: SocketAddr) -> io::Result<()> {
        let socket = socket::listen(address, false)?;
        let listener = self
            .register(socket, ConnectionRole::AdminHttpListener, READABLE)
            .ok_or_else(|| io::Error::other("its listener cannot be registered with epoll"))?;
        self.resource_budget = self.resource_budget.reduced_by(MAX_CONNECTIONS + 1);
        self.admin_http = Some(AdminHttp {
            listener,
            callers: Vec::new(),
        });
        Ok(())
    }

    /// Accepts callers, at most [`MAX_ACCEPTS_PER_TURN`].
    pub(super) fn accept_admin_http(&mut self) {
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            let Some(admin_http) = &self.admin_http else {
                return;
            };
            let Some(listener) = self.connections.get(admin_http.listener) else {
                return;
            };
            let fd = match socket::accept(&listener.stream) {
                Ok(Some(fd)) => fd,
                Ok(None) => return,
                Err(error) => {
                    let text = format!("operators error={error}");
                    return self.log_event(ReasonCode::AcceptFailed, text);
                }
            };
            if admin_http.callers.len() >= MAX_CONNECTIONS {
                let longest_idle = admin_http.callers[0];
                self.log_event(ReasonCode::AdminRequestFailed, "call why=\"crowded out\"");
                self.close_caller(longest_idle);
            }
            self.add_caller(fd);
        }
    }

    fn add_caller(&mut self, fd: OwnedFd) {
        let role = ConnectionRole::AdminHttp { answered: false };
        let Some(key) = self.register(fd, role, READABLE) else {
            return;
        };
        if let Some(admin_http) = &mut self.admin_http {
            admin_http.callers.push(key);
        }
        self.deadlines
            .set(TimerKey::Connection(key), self.now + CALL_TIMEOUT);
        // Often the call has arrived already, so it is read without another turn of the event loop.
        self.connection_ready(ReadyEvent {
            key,
            writable: false,
            failed: false,
        });
    }

    /// Handles readiness of a caller's connection; `answered` says whether its call has been answered.
    pub(super) fn admin_http_ready(&mut self, key: SlotKey, answered: bool) {
        if answered {
            self.finish_caller(key);
        } else {
            self.read_call(key);
        }
    }

    /// Handles a caller's deadline: the call did not arrive in time, or the caller did not read the response and
    /// close.
    pub(super) fn admin_http_deadline(&mut self, key: SlotKey, answered: bool) {
        if answered {
            self.close_caller(key);
        } else {
            self.answer_call(key, HttpStatus::RequestTimeout, None);
        }
    }

    /// After the response: waits until it is sent and the caller has closed. Further input is discarded.
    fn finish_caller(&mut self, key: SlotKey) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let stream = &mut connection.stream;
        stream.inbound.consume(stream.inbound.bytes().len());
        let sent = stream.is_flushed();
        let is_over = stream.ended == Some(StreamEnd::Reset) || stream.ended.is_some() && sent;
        if is_over {
            return self.close_caller(key);
        }
        if sent {
            stream.shutdown_write();
        }
        self.update_interest(key);
    }

    /// Executes a call once it is complete, and responds to it.
    fn read_call(&mut self, key: SlotKey) {
        let serves_peer_queries = self.serves_peer_queries();
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let received = connection.stream.inbound.bytes();
        let has_ended = connection.stream.ended.is_some();
        let route = match http_server::parse(received) {
            Ok(Some(call)) => route(&call, serves_peer_queries),
            Ok(None) if !has_ended => return self.await_rest_of_call(key),
            Ok(None) if received.is_empty() => return self.close_caller(key),
            Ok(None) => Err(HttpStatus::BadRequest("the call is not whole")),
            Err(status) => Err(status),
        };
        let (status, text) = match route {
            Ok(Route::KnownEndpoints) => (HttpStatus::Ok, Some(self.known_endpoints_text())),
            Ok(Route::Command(command)) => {
                self.count_event(ReasonCode::AdminRequestServed);
                self.execute_call(command)
            }
            Err(status) => (status, None),
        };
        self.answer_call(key, status, text);
    }

    /// Waits for the rest of a call. A caller that has just sent something counts as the least idle.
    fn await_rest_of_call(&mut self, key: SlotKey) {
        if let Some(admin_http) = &mut self.admin_http {
            admin_http.callers.retain(|caller| *caller != key);
            admin_http.callers.push(key);
        }
        self.update_interest(key);
    }

    /// Responds to a call, and logs why if it is invalid or too late.
    fn answer_call(&mut self, key: SlotKey, status: HttpStatus, text: Option<String>) {
        if !matches!(status, HttpStatus::Ok | HttpStatus::ServiceUnavailable(_)) {
            self.log_event(
                ReasonCode::AdminRequestFailed,
                format!("call why={:?}", status.explanation()),
            );
        }
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let response = http_server::response_text(status, text.as_deref());
        connection.stream.send(&[response.as_bytes()]);
        self.set_role(key, ConnectionRole::AdminHttp { answered: true });
        self.deadlines
            .set(TimerKey::Connection(key), self.now + CALL_TIMEOUT);
        self.finish_caller(key);
    }

    fn close_caller(&mut self, key: SlotKey) {
        self.close(key);
        if let Some(admin_http) = &mut self.admin_http {
            admin_http.callers.retain(|caller| *caller != key);
        }
    }

    /// Executes a call's command. Stopping a drain while none is in progress succeeds without an effect.
    fn execute_call(&mut self, command: AdminCommand) -> (HttpStatus, Option<String>) {
        let is_serving = self.drain.state() == DrainState::Serving;
        match command {
            AdminCommand::Drain => return (self.start_drain_by_http(), None),
            AdminCommand::Undrain if is_serving => return (HttpStatus::Ok, None),
            _ => {}
        }
        match self.execute(&AdminRequest::new(command)) {
            Ok(reply) => (HttpStatus::Ok, reply.text),
            Err(error) => (HttpStatus::ServiceUnavailable(error.message()), None),
        }
    }

    /// Starts a drain, or brings the deadline of the one in progress forward. A shutdown in progress is as fast, so the
    /// call succeeds without an effect then.
    fn start_drain_by_http(&mut self) -> HttpStatus {
        match self.drain_with_binding_deadline(DRAIN_DEADLINE) {
            Ok(()) | Err(DrainError::Exiting) => HttpStatus::Ok,
            Err(error @ DrainError::NotDraining) => HttpStatus::ServiceUnavailable(error.message()),
        }
    }

    /// The metrics in the text format of scrapers.
    pub(super) fn metrics_text(&self) -> String {
        let listed = self
            .endpoints
            .known_endpoints()
            .filter(|endpoint| endpoint.state != EndpointState::Gone)
            .count();
        let gauges = GaugeValues {
            sessions_in_flight: self.connection_counts.clients(),
            listed_endpoints: listed,
            down_endpoints: self.session_table.engine.excluded_server_count(self.now),
        };
        let zones = self
            .session_table
            .zones
            .iter()
            .flat_map(|tracker| tracker.failover.zones());
        let mut text = self.metrics.text(&self.settings.listeners, gauges);
        text += &metrics::zones_text(self.settings.zones.iter().zip(zones));
        text += &metrics::load_shed_text(
            self.settings
                .listeners
                .iter()
                .zip(self.admission.rejection_counts()),
        );
        text += &metrics::warm_start_text(self.warm_start_state(), self.snapshot_counts());
        text
    }
}

/// What a call asks for, or why it is rejected. The call for known endpoints exists only if `serves_peer_queries`.
fn route(call: &HttpRequest<'_>, serves_peer_queries: bool) -> Result<Route, HttpStatus> {
    if call.path == peers::KNOWN_ENDPOINTS_PATH && serves_peer_queries {
        return match call.method {
            "GET" => Ok(Route::KnownEndpoints),
            _ => Err(HttpStatus::MethodNotAllowed("GET")),
        };
    }
    match HTTP_ROUTES.iter().find(|known| known.path == call.path) {
        None => Err(HttpStatus::NotFound),
        Some(known) if known.method != call.method => {
            Err(HttpStatus::MethodNotAllowed(known.method))
        }
        Some(known) => Ok(Route::Command(known.command)),
    }
}
