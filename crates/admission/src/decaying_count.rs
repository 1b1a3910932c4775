//! A count of recent events.

use std::time::Duration;

/// A count of events in which each one weighs less the longer ago it was, falling to 1/e over the time constant.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DecayingCount {
    /// Seconds.
    time_constant: f64,
    count: f64,
    updated_at: Duration,
}

impl DecayingCount {
    /// Zero, with a time constant in seconds.
    pub(crate) fn new(time_constant: f64) -> DecayingCount {
        DecayingCount {
            time_constant,
            count: 0.0,
            updated_at: Duration::ZERO,
        }
    }

    pub(crate) fn value(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.count * (-elapsed / self.time_constant).exp()
    }

    pub(crate) fn increment(&mut self, now: Duration) {
        self.count = self.value(now) + 1.0;
        self.updated_at = now;
    }
}
