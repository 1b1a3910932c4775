//! Clients until their session is open: request lines, admission, answers.

use super::Router;
use super::events::ReasonCode;
use super::metrics::SessionEnd;
use super::session_state::{SessionInput, SessionState};
use super::types::{ConnectionRole, SessionConnections, TimerKey};
use crate::protocol::client::{
    ClientGreeting, ERROR_LINE, OpenRequest, PONG_LINE, busy_line, parse_greeting,
};
use crate::protocol::line::{self, LineError};
use crate::transport::poller::Interest;
use crate::transport::{SlotKey, StreamEnd};
use asterramp_admission::{AdmissionRequest, Rejection};
use asterramp_placement::event::SessionRequest;
use asterramp_placement::settings::ProxySettings;
use std::time::Duration;

/// How long a pending client may take to say what it wants, however often it asks for other things.
pub(super) const GREETING_TIMEOUT: Duration = Duration::from_secs(2);
/// Retry-After of a client that is rejected because no more connections can be held, at most.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Bytes of a malformed request line that are logged.
const LOGGED_LINE_BYTES: usize = 160;

/// A client's request that is well formed and new.
struct ClientRequest {
    request: SessionRequest,
    /// The client says that a session of its own has just failed.
    failed: bool,
    data: SessionConnections,
    /// Bytes of the request line.
    line_len: usize,
}

impl Router {
    /// Reads what a pending client wants.
    pub(super) fn read_greeting(&mut self, key: SlotKey) {
        let Some(connection) = self.connections.get(key) else {
            return;
        };
        let stream = &connection.stream;
        // One that asks and takes no answers would pile them up here.
        if !stream.is_flushed() && stream.ended.is_none() {
            return self.set_interest(key, Interest::WRITE);
        }
        let ended = stream.ended;
        let bytes = stream.inbound.bytes();
        let is_empty = bytes.is_empty();
        match parse_first_line(bytes) {
            Ok(None) if ended.is_none() => self.update_interest(key),
            Ok(None) if is_empty || ended == Some(StreamEnd::Reset) => {
                self.close(key);
                self.log_event(ReasonCode::ClosedBeforeRequest, "client said nothing more");
            }
            Ok(None) => self.reject_malformed(key, LineError::Malformed("end of line")),
            Err(fault) => self.reject_malformed(key, fault),
            Ok(Some((ClientGreeting::Ping, line_len))) => self.answer_ping(key, line_len),
            Ok(Some((ClientGreeting::Open(open), line_len))) => {
                match self.client_request(key, bytes, &open, line_len) {
                    Ok(request) => self.admit(key, request),
                    Err(fault) => self.reject_malformed(key, fault),
                }
            }
        }
    }

    /// Answers a front's ping, and reads on; a proxy that wants no sessions fails it.
    fn answer_ping(&mut self, key: SlotKey, line_len: usize) {
        let accepts_sessions = self.drain.answers_pings() && self.warm_start_admits_sessions();
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        connection.stream.inbound.consume(line_len);
        if !accepts_sessions {
            return self.close_gracefully(key, &[ERROR_LINE]);
        }
        connection.stream.send(&[PONG_LINE]);
        self.count_event(ReasonCode::PingAnswered);
        self.read_greeting(key);
    }

    /// A request to open a session, checked against the settings and the sessions there are.
    fn client_request(
        &self,
        client: SlotKey,
        bytes: &[u8],
        open: &OpenRequest<'_>,
        line_len: usize,
    ) -> Result<ClientRequest, LineError> {
        // A client waits for its answer before it says more, so this is none.
        if line_len < bytes.len() {
            return Err(LineError::Malformed("more than one line"));
        }
        // The servers would reject it one after the other, and look unsound by that.
        if self.session_ids.contains(open.id) {
            return Err(LineError::Malformed("id: open already"));
        }
        let Some((listener, tenant)) = listener_and_tenant(&self.settings, open) else {
            return Err(LineError::Malformed("name"));
        };
        Ok(ClientRequest {
            request: session_request(open, self.now, listener, tenant),
            failed: open.earlier_attempt_failed,
            data: SessionConnections {
                client: Some(client),
                server: None,
                request_line: bytes[..line_len].to_vec(),
                wait_range: open.wait_range.clone(),
                restored_server_uid: open.restored_server_uid.map(String::from),
                awaiting_response: false,
                response_overdue: false,
                announced_end: None,
            },
            line_len,
        })
    }

    fn reject_malformed(&mut self, key: SlotKey, fault: LineError) {
        let bytes = self
            .connections
            .get(key)
            .map(|connection| connection.stream.inbound.bytes())
            .unwrap_or_default();
        let line = bytes[..bytes.len().min(LOGGED_LINE_BYTES)]
            .escape_ascii()
            .to_string();
        self.log_event(
            ReasonCode::ClientProtocolError,
            format!("client fault=\"{fault}\" line=\"{line}\""),
        );
        self.close_gracefully(key, &[ERROR_LINE]);
    }

    /// Begins a session for a client, or rejects it for want of descriptors or capacity.
    fn admit(&mut self, key: SlotKey, client: ClientRequest) {
        let ClientRequest {
            request,
            failed,
            data,
            line_len,
        } = client;
        if !self.ensure_descriptors_for_session() {
            return self.reject_at_limit(key, request, &data);
        }
        let restored = data.restored_server_uid.is_some();
        if !restored && let Err(rejection) = self.ask_admission(request, failed) {
            return self.shed_load(key, request, &data, rejection);
        }
        if let Some(connection) = self.connections.get_mut(key) {
            connection.stream.inbound.consume(line_len);
        }
        self.deadlines.clear(TimerKey::Connection(key));
        if !restored {
            self.count_event(ReasonCode::SessionAccepted);
        }
        self.last_arrival = self.now;
        self.sessions_accepted += 1;
        self.session_ids.insert(data.id().to_string());
        let session = self
            .session_table
            .start_session(self.now, request, restored, data);
        self.set_role(key, ConnectionRole::Client(session));
        self.client_ready(session);
    }

    /// Asks admission control, which ranks clients while capacity is short; it queues none.
    fn ask_admission(&mut self, request: SessionRequest, failed: bool) -> Result<(), Rejection> {
        let admission_request = AdmissionRequest {
            listener: request.listener,
            tenant: request.tenant,
            reconnecting: request.reconnecting,
            failed_before: failed,
        };
        self.admission.admit(self.now, admission_request)
    }

    /// No more connections can be held.
    fn reject_at_limit(
        &mut self,
        key: SlotKey,
        request: SessionRequest,
        data: &SessionConnections,
    ) {
        self.log_event(ReasonCode::AtConnectionLimit, format!("sess={}", data.id()));
        self.metrics
            .count_session_end(request.listener, SessionEnd::Rejected);
        let retry_after = self
            .settings
            .deployment
            .max_retry_after
            .min(FULL_RETRY_AFTER);
        self.close_gracefully(key, &[busy_line(retry_after).as_bytes()]);
    }

    /// Capacity is short, and others go first.
    fn shed_load(
        &mut self,
        key: SlotKey,
        request: SessionRequest,
        data: &SessionConnections,
        rejection: Rejection,
    ) {
        let listener = &self.settings.listeners[usize::from(request.listener)];
        let about = format!(
            "sess={} listener={listener} why={}",
            data.id(),
            rejection.reason.name()
        );
        self.log_event(ReasonCode::LoadShed, about);
        self.metrics
            .count_session_end(request.listener, SessionEnd::Rejected);
        self.close_gracefully(key, &[busy_line(rejection.retry_after).as_bytes()]);
    }

    /// Something came on the connection of a session's client.
    pub(super) fn client_ready(&mut self, session: SlotKey) {
        let Some(slot) = self.session_table.sessions.get(session) else {
            return;
        };
        if slot.machine.state == SessionState::Open {
            return self.forward(session);
        }
        let Some(key) = slot.driver_data.client else {
            return;
        };
        let Some(connection) = self.connections.get(key) else {
            return;
        };
        if !connection.stream.inbound.is_empty() {
            self.handle_session_input(session, SessionInput::ClientSentEarlyData);
        } else if connection.stream.ended.is_some() {
            self.handle_session_input(session, SessionInput::ClientLeft);
        } else {
            self.update_interest(key);
        }
    }

    /// Sends the final answer to the client of a session that is not open.
    pub(super) fn answer_client(&mut self, session: SlotKey, text: &[u8], code: ReasonCode) {
        let Some(client) = self.take_client(session) else {
            return;
        };
        let end = if code == ReasonCode::Rejected {
            SessionEnd::Rejected
        } else {
            SessionEnd::Failure
        };
        self.count_session_end(session, end);
        self.log_session_end(session, code);
        self.close_gracefully(client, &[text]);
    }

    /// Logs an end that a session or one of its dials has come to.
    pub(super) fn log_session_end(&mut self, session: SlotKey, code: ReasonCode) {
        let Some(slot) = self.session_table.sessions.get(session) else {
            return;
        };
        let machine = &slot.machine;
        let listener = &self.settings.listeners[usize::from(machine.request.listener)];
        let server = if machine.dials_started > 0 {
            self.endpoints.uid(machine.server)
        } else {
            "-"
        };
        let ms = self.now.saturating_sub(machine.requested_at).as_millis();
        let about = format!(
            "sess={} listener={listener} server={server} dials={} ms={ms}",
            slot.driver_data.id(),
            machine.dials_started
        );
        self.log_event(code, about);
    }
}

/// The first line of what a client sent, read, and its length in bytes; `None` if the line is not complete.
fn parse_first_line(bytes: &[u8]) -> Result<Option<(ClientGreeting<'_>, usize)>, LineError> {
    let Some((text, line_len)) = line::first_line(bytes)? else {
        return Ok(None);
    };
    Ok(Some((parse_greeting(text)?, line_len)))
}

/// A client's request in the placement engine's terms, its wait counted from `now`; the session has no number yet.
pub(super) fn session_request(
    open: &OpenRequest<'_>,
    now: Duration,
    listener: u8,
    tenant: u16,
) -> SessionRequest {
    SessionRequest {
        session: 0,
        listener,
        tenant,
        group: open.group,
        hash_key: open.key,
        reconnecting: open.reconnecting,
        answer_deadline: now + open.wait,
    }
}

/// The indices of a request's listener and tenant in the settings; `None` if either is unknown.
pub(super) fn listener_and_tenant(
    settings: &ProxySettings,
    open: &OpenRequest<'_>,
) -> Option<(u8, u16)> {
    let listener = index_of(&settings.listeners, open.listener)?;
    let tenant = match open.tenant {
        Some(name) => index_of(&settings.tenants, name)?,
        None => 0,
    };
    Some((listener as u8, tenant as u16))
}

fn index_of(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}
