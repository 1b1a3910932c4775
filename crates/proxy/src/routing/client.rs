//! Requests for sessions: checks them, asks admission control, begins sessions, sends final responses.

use super::Router;
use super::events::ReasonCode;
use super::metrics::SessionEnd;
use super::session_state::{SessionInput, SessionState};
use super::types::{ConnectionRole, SessionConnections, TimerKey};
use crate::protocol::client::{OpenRequest, busy_line};
use crate::protocol::line::LineError;
use crate::transport::SlotKey;
use asterramp_admission::{AdmissionRequest, Rejection};
use asterramp_placement::event::SessionRequest;
use asterramp_placement::settings::ProxySettings;
use std::time::Duration;

/// Longest Retry-After of a client that is rejected because no more connections can be held, or because the successor does
/// not respond.
const MAX_RETRY_AFTER_AT_LIMIT: Duration = Duration::from_secs(1);
/// A valid request for a session that is not there yet.
pub(super) struct ClientRequest {
    request: SessionRequest,
    /// The client says that an earlier attempt of its own failed.
    earlier_attempt_failed: bool,
    data: SessionConnections,
    /// Length of the request line in bytes, with its end.
    line_len: usize,
}

impl Router {
    /// Validates a request for a session against the settings and the ids of the current sessions.
    pub(super) fn validate_request(
        &self,
        client: SlotKey,
        bytes: &[u8],
        open: &OpenRequest<'_>,
        line_len: usize,
    ) -> Result<ClientRequest, LineError> {
        // A client must wait for its response before it sends more.
        if line_len < bytes.len() {
            return Err(LineError::Malformed("more than one line"));
        }
        // Each server that is tried would reject the duplicate id, and the errors would count against its health.
        if self.session_ids.contains(open.id) {
            return Err(LineError::Malformed("id: open already"));
        }
        if self.is_open_at_predecessor(open.id) {
            return Err(LineError::Malformed("id: open at the predecessor"));
        }
        if self.recent_session_ids.contains(self.now, open.id) {
            return Err(LineError::Malformed("id: may have run already"));
        }
        let Some((listener, tenant)) = listener_and_tenant(&self.settings, open) else {
            return Err(LineError::Malformed("name"));
        };
        Ok(ClientRequest {
            request: session_request(open, self.now, listener, tenant),
            earlier_attempt_failed: open.earlier_attempt_failed,
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

    /// Begins a session for a client, or rejects the client for lack of descriptors or capacity. A restored session is
    /// not subject to admission control.
    pub(super) fn admit(&mut self, key: SlotKey, client: ClientRequest) {
        let ClientRequest {
            request,
            earlier_attempt_failed,
            data,
            line_len,
        } = client;
        if !self.ensure_descriptors_for_session() {
            return self.reject_at_limit(key, request, &data);
        }
        let restored = data.restored_server_uid.is_some();
        if !restored && let Err(rejection) = self.check_admission(request, earlier_attempt_failed) {
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

    /// Asks admission control, which ranks clients while capacity is short, and rejects rather than queues.
    fn check_admission(
        &mut self,
        request: SessionRequest,
        earlier_attempt_failed: bool,
    ) -> Result<(), Rejection> {
        let admission_request = AdmissionRequest {
            listener: request.listener,
            tenant: request.tenant,
            reconnecting: request.reconnecting,
            failed_before: earlier_attempt_failed,
        };
        self.admission.admit(self.now, admission_request)
    }

    /// Rejects a client because no more connections can be held.
    fn reject_at_limit(
        &mut self,
        key: SlotKey,
        request: SessionRequest,
        data: &SessionConnections,
    ) {
        self.log_event(ReasonCode::AtConnectionLimit, format!("sess={}", data.id()));
        self.metrics
            .count_session_end(request.listener, SessionEnd::Rejected);
        let line = busy_line(self.retry_after_at_limit());
        self.close_gracefully(key, &[line.as_bytes()]);
    }

    /// Retry-After of a client that is rejected for a reason that passes soon.
    pub(super) fn retry_after_at_limit(&self) -> Duration {
        let longest = self.settings.deployment.max_retry_after;
        longest.min(MAX_RETRY_AFTER_AT_LIMIT)
    }

    /// Rejects a client because capacity is short and others rank before it.
    fn shed_load(
        &mut self,
        key: SlotKey,
        request: SessionRequest,
        data: &SessionConnections,
        rejection: Rejection,
    ) {
        let listener = &self.settings.listeners[usize::from(request.listener)];
        let details = format!(
            "sess={} listener={listener} why={}",
            data.id(),
            rejection.reason.name()
        );
        self.log_event(ReasonCode::LoadShed, details);
        self.metrics
            .count_session_end(request.listener, SessionEnd::Rejected);
        self.close_gracefully(key, &[busy_line(rejection.retry_after).as_bytes()]);
    }

    /// Handles input or an end on the connection of a session's client.
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

    /// Sends the final response to the client of a session that is not open, and closes its connection.
    pub(super) fn send_final_response(&mut self, session: SlotKey, text: &[u8], code: ReasonCode) {
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

    /// Logs how a session or one of its dials ended.
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
        let elapsed_ms = self.now.saturating_sub(machine.requested_at).as_millis();
        let details = format!(
            "sess={} listener={listener} server={server} dials={} ms={elapsed_ms}",
            slot.driver_data.id(),
            machine.dials_started
        );
        self.log_event(code, details);
    }
}

/// A client's request in the placement engine's terms, with its wait counted from `now`. The session table assigns the
/// session's id.
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

/// The indices of a request's listener and tenant in the settings, 0 for a request without a tenant; `None` if either
/// is unknown.
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
