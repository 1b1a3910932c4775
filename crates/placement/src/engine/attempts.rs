//! Attempts to open a session: dialing, and updating scores, ejections and the setup time from their results.

use super::PlacementEngine;
use crate::action::PlacementAction;
use crate::event::{Outcome, ServerId, ServerLoad, SessionId};
use crate::session::{Attempt, SessionInput, SessionState};

impl PlacementEngine {
    /// Dials the session at the server if the attempt rules and session pacing allow it.
    pub(super) fn dial(
        &mut self,
        id: SessionId,
        server_id: ServerId,
        out: &mut Vec<PlacementAction>,
    ) -> SessionInput {
        let session = self.session(id);
        if !self.may_dial(session, server_id) || self.pacing.must_wait(session, self.now) {
            return SessionInput::NoServerAvailable;
        }
        let is_retry = session.attempts > 0;
        let timeout = self.attempt_timeout(id);
        self.record_dial_at_server(id, server_id);
        self.record_dial_of_session(id, server_id);
        let jittered_pause = self.pacing.jittered_pause(&mut self.random);
        if is_retry {
            self.retry_budget.record_retry(self.now);
        } else {
            self.pacing.record_first_dial(self.now, jittered_pause);
        }
        self.dial_rate.record(self.now);
        out.push(PlacementAction::Dial {
            session: id,
            server: server_id,
            timeout,
            write_timeout: self.write_deadline(self.session(id), timeout),
        });
        SessionInput::Dialed
    }

    fn record_dial_at_server(&mut self, id: SessionId, server_id: ServerId) {
        let now = self.now;
        let score_increment = self.score_increment(id);
        let server = &mut self.servers[server_id as usize];
        server.load.record_dial(now, score_increment);
        let started_at = server.endpoint.started_at;
        server.allowance = self
            .slow_start
            .after_dial(&server.allowance, started_at, now);
    }

    fn record_dial_of_session(&mut self, id: SessionId, server_id: ServerId) {
        let now = self.now;
        let session = self.session_mut(id);
        session.server = server_id;
        session.attempts += 1;
        session.dialed_at = now;
    }

    /// Takes the latest attempt, which opened no connection, out of its server's score.
    pub(super) fn revert_dial(&mut self, id: SessionId) {
        let now = self.now;
        let score_increment = self.score_increment(id);
        let session = self.session(id);
        let dialed_at = session.dialed_at;
        let server = session.server;
        self.server_mut(server)
            .load
            .revert_dial(now, dialed_at, score_increment);
    }

    /// Records how an attempt or a connection ended, and the load that its server reported. Results of earlier
    /// attempts are ignored.
    pub(super) fn record_attempt_end(
        &mut self,
        id: SessionId,
        attempt: u8,
        outcome: Outcome,
        load: ServerLoad,
    ) {
        if !self.is_latest_attempt(id, attempt) {
            return;
        }
        let session = self.session(id);
        let server = session.server;
        if session.state == SessionState::Dialing {
            self.record_failed_attempt(id, attempt, outcome);
            self.eject_by_outcome(id, server, outcome);
        }
        self.record_load(server, load);
    }

    fn record_failed_attempt(&mut self, id: SessionId, attempt: u8, outcome: Outcome) {
        let now = self.now;
        let session = self.session_mut(id);
        let elapsed = now.saturating_sub(session.dialed_at);
        let may_have_executed = !matches!(
            outcome,
            Outcome::Full | Outcome::Unreachable | Outcome::NotSent
        );
        if may_have_executed && session.first_execution.is_none() {
            session.first_execution = Some(Attempt {
                dialed_at: session.dialed_at,
                server: session.server,
            });
        }
        self.revert_dial(id);
        if outcome == Outcome::TimedOut {
            // Raised at once rather than averaged in: with little traffic an average would rise too late for the
            // next attempts.
            self.setup_time = self.setup_time.max(elapsed * 2);
        }
        let failed = matches!(
            outcome,
            Outcome::ServerError | Outcome::TimedOut | Outcome::Reset
        );
        if failed && (attempt > 0 || self.pacing.no_session_opened_yet()) {
            self.pace_after_failure(id);
        }
    }

    /// Ejects a server that failed an attempt. If another server failed the same session before with an error or a
    /// reset, the session is considered the cause: this server is not ejected and the other's ejection ends.
    fn eject_by_outcome(&mut self, id: SessionId, server: ServerId, outcome: Outcome) {
        let now = self.now;
        let failed_servers = &mut self.session_mut(id).failed_servers;
        let first_failed_server = failed_servers.first().copied();
        let is_error_or_reset = matches!(outcome, Outcome::ServerError | Outcome::Reset);
        if is_error_or_reset {
            failed_servers.push(server);
        }
        match outcome {
            Outcome::Ok | Outcome::Cancelled | Outcome::NotSent => {}
            Outcome::ServerError | Outcome::Reset if first_failed_server.is_some() => {
                if let Some(first_failed_server) = first_failed_server {
                    self.server_mut(first_failed_server).ejection.end(now);
                }
            }
            _ => self.server_mut(server).ejection.record_failure(now),
        }
    }
}
