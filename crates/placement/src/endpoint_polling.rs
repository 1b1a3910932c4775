//! Backoff between failed polls of the endpoint list.
//!
//! Discovery serves all proxies one after another; frequent retries by many proxies would keep it overloaded.

use crate::random::RandomSource;
use std::time::Duration;

/// Failed polls of all proxies together within the maximum age of the endpoint list, once the backoff of a large fleet
/// has reached its limit. A greater value polls more often.
const FLEET_POLLS_PER_LIST_AGE: f64 = 125.0;
/// Longest mean wait of a small fleet, as a fraction of the maximum age of the endpoint list.
const SMALL_FLEET_MAX_WAIT: f64 = 0.32;
/// Half the mean wait after the first failure, as a fraction of the maximum age of the endpoint list. The wait doubles
/// with each failure.
const HALF_INITIAL_WAIT: f64 = 0.1;
/// Number of failures after which the wait no longer grows.
const MAX_COUNTED_FAILURES: u32 = 4;

/// Number of polls that failed since the last success.
#[derive(Clone, Debug, Default)]
pub(crate) struct PollBackoff {
    failures: u32,
}

impl PollBackoff {
    /// Records a failed poll; returns how long to wait, as a fraction of the maximum age of the endpoint list, with
    /// random jitter of up to a half either way.
    pub(crate) fn record_failure(&mut self, proxy_count: u32, random: &mut RandomSource) -> f64 {
        self.failures = (self.failures + 1).min(MAX_COUNTED_FAILURES);
        let longest_mean =
            (f64::from(proxy_count) / FLEET_POLLS_PER_LIST_AGE).max(SMALL_FLEET_MAX_WAIT);
        let mean = (HALF_INITIAL_WAIT * f64::from(1 << self.failures)).min(longest_mean);
        mean * (0.5 + random.next_unit())
    }

    pub(crate) fn record_success(&mut self) {
        self.failures = 0;
    }
}

/// Converts a wait from a fraction of the maximum age of the endpoint list; zero where the list is pushed.
pub(crate) fn poll_wait(max_list_age: Option<Duration>, fraction: f64) -> Duration {
    max_list_age.unwrap_or_default().mul_f64(fraction)
}
