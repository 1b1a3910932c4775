//! Health checks of one server, and the sessions that wait for their answers.

use crate::event::SessionId;
use std::time::Duration;

/// Pace at which a server in use is probed.
const PROBE_INTERVAL: Duration = Duration::from_millis(1000);
/// Open connections of this proxy from which a server is probed at that pace, and in proportion less often
/// below.
const FULL_PACE_CONNECTIONS: f64 = 6.0;
/// Unanswered probes in a row that make a server unresponsive.
const UNRESPONSIVE_AFTER: u32 = 2;
/// How old an answer may be to choose a server by it.
const MAX_ANSWER_AGE: Duration = Duration::from_millis(1500);
/// A probe that is not answered by then is late.
const LATE_AFTER: Duration = Duration::from_millis(100);

#[derive(Clone, Debug, Default)]
pub(crate) struct ProbeState {
    /// When the last one was sent, plus a delay by chance that keeps the proxies' probes apart.
    sent_at: Duration,
    in_flight: bool,
    /// Unanswered ones in a row.
    unanswered: u32,
    answered_at: Option<Duration>,
    waiting: Vec<SessionId>,
}

impl ProbeState {
    /// After a restart of the server, whose earlier answers no longer count.
    pub(crate) fn after_restart(self) -> ProbeState {
        ProbeState {
            unanswered: 0,
            answered_at: None,
            ..self
        }
    }

    /// Notes that a probe is wanted; whether one has to be sent, as none is in flight.
    pub(crate) fn request(&mut self, sent_at: Duration) -> bool {
        self.sent_at = sent_at;
        !std::mem::replace(&mut self.in_flight, true)
    }

    /// Whether the next regular one is due at a server with so many connections of ours.
    pub(crate) fn is_due(&self, now: Duration, open_connections: u32) -> bool {
        let connections = f64::from(open_connections.max(1));
        let interval = PROBE_INTERVAL.mul_f64((FULL_PACE_CONNECTIONS / connections).max(1.0));
        now.saturating_sub(self.sent_at) >= interval
    }

    pub(crate) fn record_answer(&mut self, now: Duration) {
        self.in_flight = false;
        self.unanswered = 0;
        self.answered_at = Some(now);
    }

    pub(crate) fn record_failure(&mut self) {
        self.in_flight = false;
        self.unanswered += 1;
    }

    pub(crate) fn is_unresponsive(&self) -> bool {
        self.unanswered >= UNRESPONSIVE_AFTER
    }

    /// Takes the server for unresponsive until a probe is answered.
    pub(crate) fn mark_unresponsive(&mut self) {
        self.unanswered = self.unanswered.max(UNRESPONSIVE_AFTER);
    }

    /// Whether the last one was answered, or none was sent.
    pub(crate) fn last_was_answered(&self) -> bool {
        self.unanswered == 0
    }

    pub(crate) fn has_fresh_answer(&self, now: Duration) -> bool {
        self.answered_at
            .is_some_and(|at| now.saturating_sub(at) <= MAX_ANSWER_AGE)
    }

    pub(crate) fn is_late(&self, now: Duration) -> bool {
        self.in_flight && now >= self.sent_at + LATE_AFTER
    }

    /// Lets the session wait for the next answer; whether it didn't wait already.
    pub(crate) fn add_waiting_session(&mut self, session: SessionId) -> bool {
        let is_new = !self.waiting.contains(&session);
        if is_new {
            self.waiting.push(session);
        }
        is_new
    }

    pub(crate) fn take_waiting_sessions(&mut self) -> Vec<SessionId> {
        std::mem::take(&mut self.waiting)
    }
}
