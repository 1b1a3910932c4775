//! Decides when rejected clients retry: spread over the time in which there will be capacity for them. If all of them
//! retried after the same time, the burst would repeat.

use crate::decaying_count::DecayingCount;
use std::time::Duration;

/// Time constant over which rejections count as clients that will retry.
const REJECTION_TIME_CONSTANT_SECONDS: f64 = 1.0;
/// Shortest Retry-After, and shortest time over which retries are spread, unless clients respect only a shorter one.
const MIN_RETRY_AFTER_SECONDS: f64 = 0.2;
/// Lowest rate that is assumed, in session setups per second, so that a rate of zero gives a finite time.
const MIN_ASSUMED_RATE: f64 = 0.1;

/// Spreads the retries of rejected clients.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetrySpreader {
    rejections: DecayingCount,
}

impl RetrySpreader {
    pub(crate) fn new() -> RetrySpreader {
        RetrySpreader {
            rejections: DecayingCount::new(REJECTION_TIME_CONSTANT_SECONDS),
        }
    }

    pub(crate) fn record_rejection(&mut self, now: Duration) {
        self.rejections.increment(now);
    }

    /// The Retry-After of one rejected client, at most `max`. `position` (0 to 1, random) is its place in the time in which
    /// `rate` setups per second serve all clients that were rejected recently.
    pub(crate) fn retry_after(
        &self,
        now: Duration,
        rate: f64,
        max: Duration,
        position: f64,
    ) -> Duration {
        let max_seconds = max.as_secs_f64();
        let seconds_to_serve = self.rejections.value(now) / rate.max(MIN_ASSUMED_RATE);
        let spread = seconds_to_serve.clamp(
            MIN_RETRY_AFTER_SECONDS,
            max_seconds.max(MIN_RETRY_AFTER_SECONDS),
        );
        let retry_after = MIN_RETRY_AFTER_SECONDS + spread * position;
        Duration::from_secs_f64(retry_after.min(max_seconds))
    }
}
