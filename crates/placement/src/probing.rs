//! State of the probes of one server, and the sessions that wait for their answers.

use crate::event::SessionId;
use std::time::Duration;

/// Interval at which a server that holds enough of this proxy's connections is probed.
const PROBE_INTERVAL: Duration = Duration::from_millis(1000);
/// Open connections of this proxy at a server from which it is probed every [`PROBE_INTERVAL`]. With fewer, the
/// interval is longer in proportion.
const FULL_RATE_CONNECTIONS: f64 = 6.0;
/// Number of unanswered probes in a row that make a server unresponsive.
const UNRESPONSIVE_AFTER: u32 = 2;
/// Age up to which a probe answer is fresh enough to select a server by.
const MAX_ANSWER_AGE: Duration = Duration::from_millis(1500);
/// Time after which a probe without an answer is late.
const LATE_AFTER: Duration = Duration::from_millis(100);

/// The probes of one server. Times are since the clock began.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProbeState {
    /// When a probe was last requested, plus random jitter that keeps the probes of different proxies apart.
    sent_at: Duration,
    in_flight: bool,
    /// Number of unanswered probes in a row.
    unanswered: u32,
    /// When a probe was last answered; `None` for never since the server started.
    answered_at: Option<Duration>,
    /// Sessions that wait for the next answer.
    waiting: Vec<SessionId>,
}

impl ProbeState {
    /// The state after a restart of the server, which invalidates earlier answers and failures.
    pub(crate) fn after_restart(self) -> ProbeState {
        ProbeState {
            unanswered: 0,
            answered_at: None,
            ..self
        }
    }

    /// Records that a probe is wanted; returns whether it must be sent because none is in flight. `sent_at` is the
    /// present time plus jitter.
    pub(crate) fn request(&mut self, sent_at: Duration) -> bool {
        self.sent_at = sent_at;
        !std::mem::replace(&mut self.in_flight, true)
    }

    /// Whether the next regular probe is due at a server that holds `open_connections` of this proxy.
    pub(crate) fn is_due(&self, now: Duration, open_connections: u32) -> bool {
        let connections = f64::from(open_connections.max(1));
        let interval = PROBE_INTERVAL.mul_f64((FULL_RATE_CONNECTIONS / connections).max(1.0));
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

    /// Marks the server as unresponsive until a probe is answered.
    pub(crate) fn mark_unresponsive(&mut self) {
        self.unanswered = self.unanswered.max(UNRESPONSIVE_AFTER);
    }

    /// Whether the last probe that ended was answered, or none has ended.
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

    /// Adds a session that waits for the next answer; returns false if it is waiting already.
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
