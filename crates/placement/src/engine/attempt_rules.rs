//! The rules that every attempt keeps: which server a session may be sent, for how long, and its final answer.

use super::PlacementEngine;
use crate::action::PlacementAction;
use crate::deployment::{IdempotencyScope, Listener, RetrySafety};
use crate::event::{ServerId, SessionId};
use crate::outlier_ejection::BASE_EJECTION;
use crate::server::Server;
use crate::session::{Attempt, Session, SessionState};
use std::time::Duration;

/// How much sooner than the servers forget an idempotency key its session is sent no more: the slack that the
/// platform gives.
const KEY_EXPIRY_MARGIN: Duration = Duration::from_millis(50);
/// Most doublings of an attempt's timeout.
const MAX_TIMEOUT_DOUBLINGS: u32 = 8;
/// Servers that may fail a session at once, before it is taken to be at fault itself.
const MAX_FAILED_SERVERS: usize = 1;

impl PlacementEngine {
    /// The one gate that every attempt passes. Each rule stands here.
    pub(super) fn may_dial(&self, session: &Session, id: ServerId) -> bool {
        let server = self.server(id);
        self.awaits_answer(session)
            && self.has_attempts_left(session)
            && server.is_ready()
            && !self.is_cold_and_exhausted(server)
            && !self.could_execute_twice(session, server)
    }

    fn awaits_answer(&self, session: &Session) -> bool {
        session.state == SessionState::Selecting && self.now < session.request.answer_deadline
    }

    fn has_attempts_left(&self, session: &Session) -> bool {
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

    fn is_cold_and_exhausted(&self, server: &Server) -> bool {
        let started_at = server.endpoint.started_at;
        self.slow_start
            .is_exhausted(&server.allowance, started_at, self.now)
    }

    /// Whether a server may have executed the session already, and this one wouldn't know.
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

    /// Half the handshake target at first, so that a second attempt can meet it, then twice as long each time;
    /// the last may take what is left. Where sessions open slowly everywhere it is longer, or retries would jam
    /// the servers with work that nobody awaits.
    pub(super) fn attempt_timeout(&self, id: SessionId) -> Duration {
        let session = self.session(id);
        let left = session.request.answer_deadline.saturating_sub(self.now);
        let is_last = session.attempts + 1 >= self.deployment.max_attempts
            || self.pacing.allows_long_attempts()
            || self.pacing.no_session_opened_since_failure(session);
        if is_last {
            return left;
        }
        let doublings = session.attempts.min(MAX_TIMEOUT_DOUBLINGS);
        let timeout = self.half_handshake_target(id) * (1 << doublings);
        timeout.max(self.setup_time * 2).min(left)
    }

    /// By when an attempt's last byte has to be written: a retry has to be on its way before the servers forget
    /// the session's key.
    pub(super) fn write_deadline(&self, session: &Session, timeout: Duration) -> Duration {
        match (self.retry_safety(session), session.first_execution) {
            (RetrySafety::IdempotencyKey(_, key_lifetime), Some(Attempt { dialed_at, .. })) => {
                (dialed_at + key_lifetime).saturating_sub(self.now + KEY_EXPIRY_MARGIN)
            }
            _ => timeout,
        }
    }

    /// The final answer to a session that is given up: a rejection where it is safe to say that nothing was
    /// done, else a failure.
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
