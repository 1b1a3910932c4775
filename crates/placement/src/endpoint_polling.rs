//! Backoff between failing polls of the endpoint list.
//!
//! Discovery serves all proxies in turn; polls of many, over and over, would keep it jammed.

use crate::random::RandomSource;
use std::time::Duration;

/// Failing polls of all proxies in the poll delay, the time after which a proxy is taken to know of a change.
const FLEET_POLLS: f64 = 125.0;
/// Longest mean wait of a small fleet, as a part of the poll delay.
const SMALL_FLEET_WAIT: f64 = 0.32;
/// Half the first mean wait, as a part of the poll delay; the wait doubles with each failure.
const HALF_FIRST_WAIT: f64 = 0.1;
/// Failures after which the wait grows no more.
const MAX_DOUBLINGS: u32 = 4;

#[derive(Clone, Debug, Default)]
pub(crate) struct PollBackoff {
    failures: u32,
}

impl PollBackoff {
    /// A poll failed; returns how long to wait, as a part of the poll delay.
    pub(crate) fn record_failure(&mut self, proxy_count: u32, random: &mut RandomSource) -> f64 {
        self.failures = (self.failures + 1).min(MAX_DOUBLINGS);
        let longest = (f64::from(proxy_count) / FLEET_POLLS).max(SMALL_FLEET_WAIT);
        let mean = (HALF_FIRST_WAIT * f64::from(1 << self.failures)).min(longest);
        mean * (0.5 + random.next_unit())
    }

    pub(crate) fn record_success(&mut self) {
        self.failures = 0;
    }
}

/// The wait as a time; none where the list is pushed.
pub(crate) fn poll_wait(poll_delay: Option<Duration>, part: f64) -> Duration {
    poll_delay.unwrap_or_default().mul_f64(part)
}
