//! Ejection of a server that fails dials or probes: it gets no sessions for a while, longer each time.

use std::time::Duration;

/// How long a server is ejected at first.
pub(crate) const BASE_EJECTION: Duration = Duration::from_millis(1000);
/// How often the first ejection the longest one takes.
const MAX_EJECTION_MULTIPLE: u32 = 8;

#[derive(Clone, Debug, Default)]
pub(crate) struct Ejection {
    /// How long the next one lasts; zero for a server that the endpoint list never named.
    next_span: Duration,
    until: Duration,
}

impl Ejection {
    /// For a server that has just been listed or restarted.
    pub(crate) fn listed() -> Ejection {
        Ejection {
            next_span: BASE_EJECTION,
            until: Duration::ZERO,
        }
    }

    pub(crate) fn was_listed(&self) -> bool {
        !self.next_span.is_zero()
    }

    pub(crate) fn is_active(&self, now: Duration) -> bool {
        self.until > now
    }

    /// A dial or probe failed, or met a full server. It doesn't prolong an ejection that is active.
    pub(crate) fn record_failure(&mut self, now: Duration) {
        if !self.is_active(now) {
            self.until = now + self.next_span;
            self.next_span = (self.next_span * 2).min(BASE_EJECTION * MAX_EJECTION_MULTIPLE);
        }
    }

    /// A session opened there, so the next ejection is a first one.
    pub(crate) fn record_success(&mut self) {
        self.next_span = BASE_EJECTION;
    }

    /// The failure turned out to be another's.
    pub(crate) fn end(&mut self, now: Duration) {
        self.until = now;
    }
}
