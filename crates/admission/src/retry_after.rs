//! When rejected clients retry: spread over the time in which capacity for them opens, as all of them after the same time
//! would be the same burst again.

use crate::decaying_count::DecayingCount;
use std::time::Duration;

/// Time constant, in seconds, over which rejections count as clients that will retry.
const REJECTION_MEMORY: f64 = 1.0;
/// Shortest Retry-After, and least spread, in seconds.
const MIN_RETRY_AFTER: f64 = 0.2;
/// Setups per second that are assumed at least, so that a rate of zero gives a finite time.
const MIN_RATE: f64 = 0.1;

/// Spreads the retries of rejected clients.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetrySpreader {
    rejections: DecayingCount,
}

impl RetrySpreader {
    pub(crate) fn new() -> RetrySpreader {
        RetrySpreader {
            rejections: DecayingCount::new(REJECTION_MEMORY),
        }
    }

    pub(crate) fn record_rejection(&mut self, now: Duration) {
        self.rejections.increment(now);
    }

    /// Time for one rejected client: `position` (0 to 1, random) within the time in which `rate` setups per second serve
    /// all that were rejected lately. At most `max`.
    pub(crate) fn retry_after(
        &self,
        now: Duration,
        rate: f64,
        max: Duration,
        position: f64,
    ) -> Duration {
        let max = max.as_secs_f64();
        let time_to_serve = self.rejections.value(now) / rate.max(MIN_RATE);
        let spread = time_to_serve.clamp(MIN_RETRY_AFTER, max.max(MIN_RETRY_AFTER));
        let retry_after = MIN_RETRY_AFTER + spread * position;
        Duration::from_secs_f64(retry_after.min(max))
    }
}
