//! What operators' commands do, whether they come over the admin socket or as HTTP calls.

use super::{ReasonCode, Router};
use asterramp_admin_protocol::{AdminCommand, AdminReply, AdminRequest, LeaderToken};
use asterramp_drain::{DrainError, DrainState};
use asterramp_leader_lease::{FencingToken, OrderRejection};
use std::time::Duration;

/// Why a command was not carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}", self.message())]
pub(super) enum AdminError {
    /// A leader's order that is too late or for another process.
    Fenced(OrderRejection),
    /// A drain that cannot be started or cancelled now.
    Drain(DrainError),
    /// The proxy takes no new sessions.
    NotReady,
}

impl AdminError {
    /// The text that the operator sees.
    pub(super) fn message(self) -> &'static str {
        match self {
            AdminError::Fenced(rejection) => rejection.reason(),
            AdminError::Drain(error) => error.message(),
            AdminError::NotReady => "no clients are taken in",
        }
    }

    /// The reply that says so.
    pub(super) fn into_reply(self) -> AdminReply {
        AdminReply::error(self.message())
    }
}

impl From<DrainError> for AdminError {
    fn from(error: DrainError) -> AdminError {
        AdminError::Drain(error)
    }
}

impl Router {
    /// Carries a command out and answers it.
    pub(super) fn execute(&mut self, request: &AdminRequest) -> Result<AdminReply, AdminError> {
        if let Some(token) = request.leader {
            self.check_leader(request.command, token)?;
        }
        match request.command {
            AdminCommand::Status | AdminCommand::AnnounceTerm => {}
            AdminCommand::Shutdown => self.begin_shutdown(self.now),
            AdminCommand::Drain => {
                let deadline = request
                    .deadline_ms
                    .map_or(self.default_drain_deadline(), Duration::from_millis);
                self.drain(deadline, request.migrations_per_second)?;
            }
            AdminCommand::Undrain => self.undrain()?,
            AdminCommand::Readiness => {
                return if self.accepts_sessions() {
                    Ok(AdminReply::text("yes\n".to_string()))
                } else {
                    Err(AdminError::NotReady)
                };
            }
            AdminCommand::Stats => return Ok(AdminReply::text(self.metrics_text())),
        }
        Ok(AdminReply::status(self.status()))
    }

    /// Whether new sessions are taken and may stay for as long as they like.
    pub(super) fn accepts_sessions(&self) -> bool {
        self.serving
            && self.warm_start_admits_sessions()
            && self.drain.state() == DrainState::Serving
    }

    fn default_drain_deadline(&self) -> Duration {
        match &self.admin_socket {
            Some(admin_socket) => admin_socket.default_drain_deadline,
            None => Duration::ZERO,
        }
    }

    /// Rejects a leader's order that does not count any more, and records a new leader's term.
    fn check_leader(
        &mut self,
        command: AdminCommand,
        token: LeaderToken,
    ) -> Result<(), AdminError> {
        let order = FencingToken {
            term: token.term,
            incarnation: token.incarnation,
            expires_at: Duration::from_micros(token.expires_at_us),
        };
        let highest_before = self.fencing_guard.highest_term();
        if let Err(rejection) = self.fencing_guard.check(self.now, &order) {
            let text = format!(
                "order={} term={} heard={highest_before} why={:?}",
                command.log_name(),
                token.term,
                rejection.reason()
            );
            self.log_event(ReasonCode::CommandFenced, text);
            return Err(AdminError::Fenced(rejection));
        }
        if self.fencing_guard.highest_term() > highest_before {
            self.log_event(ReasonCode::LeaderAccepted, format!("term={}", token.term));
            self.record_term(token.term);
        }
        Ok(())
    }
}
