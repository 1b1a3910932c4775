//! A count of events that decays exponentially.

use std::time::Duration;

/// A count of events in which the weight of each event falls to 1/e over the time constant.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DecayingCount {
    time_constant_seconds: f64,
    /// The count as of `updated_at`.
    count: f64,
    updated_at: Duration,
}

impl DecayingCount {
    /// A count of zero.
    pub(crate) fn new(time_constant_seconds: f64) -> DecayingCount {
        DecayingCount {
            time_constant_seconds,
            count: 0.0,
            updated_at: Duration::ZERO,
        }
    }

    pub(crate) fn value(&self, now: Duration) -> f64 {
        let elapsed_seconds = now.saturating_sub(self.updated_at).as_secs_f64();
        self.count * (-elapsed_seconds / self.time_constant_seconds).exp()
    }

    pub(crate) fn increment(&mut self, now: Duration) {
        self.count = self.value(now) + 1.0;
        self.updated_at = now;
    }
}
