//! Ejection of a server that fails dials or probes: it gets no sessions for a time that doubles with each ejection.

use std::time::Duration;

/// Duration of a server's first ejection.
pub(crate) const BASE_EJECTION: Duration = Duration::from_millis(1000);
/// Longest ejection, as a multiple of [`BASE_EJECTION`].
const MAX_EJECTION_MULTIPLE: u32 = 8;

/// Ejection state of one server.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ejection {
    /// Duration of the next ejection; zero for a server that was never on the endpoint list.
    next_duration: Duration,
    /// End of the current or last ejection, as a time since the clock began.
    until: Duration,
}

impl Ejection {
    /// State of a server that has just been listed or restarted.
    pub(crate) fn listed() -> Ejection {
        Ejection {
            next_duration: BASE_EJECTION,
            until: Duration::ZERO,
        }
    }

    /// Whether the server has ever been on the endpoint list.
    pub(crate) fn was_listed(&self) -> bool {
        !self.next_duration.is_zero()
    }

    pub(crate) fn is_active(&self, now: Duration) -> bool {
        self.until > now
    }

    /// Ejects the server after a failed dial or probe, or because it was full. An active ejection is not extended.
    pub(crate) fn record_failure(&mut self, now: Duration) {
        if !self.is_active(now) {
            self.until = now + self.next_duration;
            self.next_duration =
                (self.next_duration * 2).min(BASE_EJECTION * MAX_EJECTION_MULTIPLE);
        }
    }

    /// Records that a session opened at the server: its next ejection is as short as the first.
    pub(crate) fn record_success(&mut self) {
        self.next_duration = BASE_EJECTION;
    }

    /// Ends the ejection, because the failure was not the server's.
    pub(crate) fn end(&mut self, now: Duration) {
        self.until = now;
    }
}
