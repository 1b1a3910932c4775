//! Executes operators' commands, from the admin socket as well as from HTTP calls.

use super::{ReasonCode, Router};
use asterramp_admin_protocol::{AdminCommand, AdminReply, AdminRequest, LeaderToken};
use asterramp_drain::{DrainError, DrainState};
use asterramp_leader_lease::{FencingToken, OrderRejection};
use std::time::Duration;

/// Why a command was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}", self.message())]
pub(super) enum AdminError {
    /// A leader's order that is of an earlier term or of none, has expired, or was made for another process.
    Fenced(OrderRejection),
    /// The drain cannot be started or cancelled now.
    Drain(DrainError),
    /// The proxy does not accept new sessions, in reply to the readiness query.
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

    /// The reply with this error.
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
    /// Executes a command and returns the reply. An order of a leader is checked against the highest term first.
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

    /// Whether the proxy accepts new sessions and does not intend to migrate them: it serves, and no drain or shutdown
    /// is in progress.
    pub(super) fn accepts_sessions(&self) -> bool {
        self.serving
            && self.warm_start_admits_sessions()
            && self.drain.state() == DrainState::Serving
    }

    /// Time that a drain may take if the command gives no deadline; zero without an admin socket.
    fn default_drain_deadline(&self) -> Duration {
        match &self.admin_socket {
            Some(admin_socket) => admin_socket.default_drain_deadline,
            None => Duration::ZERO,
        }
    }

    /// Rejects a leader's order that is no longer valid, and records the term of a new leader.
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
