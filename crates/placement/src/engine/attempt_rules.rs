//! Rules for every attempt: which servers a session may be dialed at, the attempt's time limits, and the final
//! answer to a session that cannot be placed.

use super::PlacementEngine;
use crate::action::PlacementAction;
use crate::deployment::{IdempotencyScope, Listener, RetrySafety};
use crate::event::{ServerId, SessionId};
use crate::outlier_ejection::BASE_EJECTION;
use crate::server::Server;
use crate::session::{Attempt, Session, SessionState};
use std::time::Duration;

/// How long before the servers forget an idempotency key its session is no longer retried. A greater value allows
/// fewer retries. 50 ms is the timing tolerance that the platform allows.
const KEY_EXPIRY_MARGIN: Duration = Duration::from_millis(50);
/// Upper bound on the number of times that an attempt's timeout is doubled.
const MAX_TIMEOUT_DOUBLINGS: u32 = 8;
/// Servers that may fail a session with an error or a reset. Once more servers have done so and no session has
/// opened since, the session itself is considered the cause and is not retried.
const MAX_FAILED_SERVERS: usize = 1;

impl PlacementEngine {
    /// Whether the session may be dialed at the server now. Every attempt is checked here.
    pub(super) fn may_dial(&self, session: &Session, id: ServerId) -> bool {
        let server = self.server(id);
        self.awaits_answer(session)
            && self.is_within_attempt_limits(session)
            && server.is_ready()
            && !self.is_limited_by_slow_start(server)
            && !self.could_execute_twice(session, server)
    }

    fn awaits_answer(&self, session: &Session) -> bool {
        session.state == SessionState::Selecting && self.now < session.request.answer_deadline
    }

    /// Whether the attempt limit, the failures so far, the retry budget and session pacing allow another attempt.
    fn is_within_attempt_limits(&self, session: &Session) -> bool {
        let max_attempts = self.deployment.max_attempts.max(1);
        if session.attempts >= max_attempts {
            return false;
        }
        let is_at_fault = session.failed_servers.len() > MAX_FAILED_SERVERS
            && self.pacing.no_session_opened_since_failure(session);
        if is_at_fault {
            return false;
        }
        let is_first = session.attempts == 0;
        is_first || self.retry_budget.allows_retry(self.now) && !self.pacing.forbids_retries()
    }

    fn is_limited_by_slow_start(&self, server: &Server) -> bool {
        let started_at = server.endpoint.started_at;
        self.slow_start
            .is_exhausted(&server.allowance, started_at, self.now)
    }

    /// Whether an earlier attempt may have been executed and this server could not recognize the session as a
    /// duplicate.
    fn could_execute_twice(&self, session: &Session, server: &Server) -> bool {
        let Some(first) = session.first_execution else {
            return false;
        };
        let first_endpoint = &self.server(first.server).endpoint;
        match self.retry_safety(session) {
            RetrySafety::Idempotent => false,
            RetrySafety::NotIdempotent => true,
            RetrySafety::IdempotencyKey(scope, key_lifetime) => {
                let is_expired = self.now + KEY_EXPIRY_MARGIN >= first.dialed_at + key_lifetime;
                is_expired
                    || match scope {
                        IdempotencyScope::All => false,
                        IdempotencyScope::Zone => first_endpoint.zone != server.endpoint.zone,
                        IdempotencyScope::Cell => first_endpoint.cell != server.endpoint.cell,
                    }
            }
        }
    }

    pub(super) fn listener(&self, session: &Session) -> &Listener {
        &self.deployment.listeners[usize::from(session.request.listener)]
    }

    pub(super) fn retry_safety(&self, session: &Session) -> RetrySafety {
        self.listener(session).retry_safety
    }

    pub(super) fn half_handshake_target(&self, id: SessionId) -> Duration {
        self.listener(self.session(id)).handshake_target / 2
    }

    /// How long the session's next attempt may take. The first gets half the handshake target, so that a second
    /// attempt can still meet the target. The timeout doubles with each attempt; the last attempt, and any attempt
    /// while no session opens anywhere, may use all the time that is left. The timeout is at least twice the average
    /// setup time: with shorter ones, retries would fill slow servers with work for clients that no longer wait for
    /// it.
    pub(super) fn attempt_timeout(&self, id: SessionId) -> Duration {
        let session = self.session(id);
        let remaining = session.request.answer_deadline.saturating_sub(self.now);
        let is_last = session.attempts + 1 >= self.deployment.max_attempts
            || self.pacing.allows_long_attempts()
            || self.pacing.no_session_opened_since_failure(session);
        if is_last {
            return remaining;
        }
        let doublings = session.attempts.min(MAX_TIMEOUT_DOUBLINGS);
        let timeout = self.half_handshake_target(id) * (1 << doublings);
        timeout.max(self.setup_time * 2).min(remaining)
    }

    /// How long an attempt may take to write its last byte. A retry must be written before the servers forget the
    /// session's idempotency key.
    pub(super) fn write_deadline(&self, session: &Session, timeout: Duration) -> Duration {
        match (self.retry_safety(session), session.first_execution) {
            (RetrySafety::IdempotencyKey(_, key_lifetime), Some(Attempt { dialed_at, .. })) => {
                (dialed_at + key_lifetime).saturating_sub(self.now + KEY_EXPIRY_MARGIN)
            }
            _ => timeout,
        }
    }

    /// The final answer to a session that is not attempted any further: a rejection where the client may safely
    /// send it again, else a failure.
    pub(super) fn final_answer(&self, id: SessionId) -> PlacementAction {
        let session = self.session(id);
        let is_repeatable = matches!(
            self.retry_safety(session),
            RetrySafety::Idempotent | RetrySafety::IdempotencyKey(IdempotencyScope::All, _)
        );
        if is_repeatable || session.first_execution.is_none() {
            PlacementAction::Reject {
                session: id,
                retry_after: self.deployment.max_retry_after.min(BASE_EJECTION),
            }
        } else {
            PlacementAction::Fail { session: id }
        }
    }
}
