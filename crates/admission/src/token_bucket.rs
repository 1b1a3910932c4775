//! Capacity as a token bucket: a token is one session setup.

use std::time::Duration;

/// Least size of the bucket, in tokens.
const MIN_SIZE: f64 = 4.0;
/// Seconds of the rate that the bucket holds, where that is more.
const SIZE_SECONDS: f64 = 0.25;
/// Part of the bucket, beyond one token, that the lowest rank leaves to those above.
const RESERVE: f64 = 0.8;

/// A token bucket whose rate may change; without a rate there is no limit.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TokenBucket {
    /// Tokens per second; `None` while there is no limit.
    rate: Option<f64>,
    level: f64,
    refilled_at: Duration,
}

impl TokenBucket {
    pub(crate) fn rate(&self) -> Option<f64> {
        self.rate
    }

    /// Sets the level where a limit of this rate begins: `head_start` tokens more than come in [`SIZE_SECONDS`].
    pub(crate) fn start_limit(&mut self, now: Duration, rate: f64, head_start: f64) {
        self.level = head_start + rate.max(0.0) * SIZE_SECONDS;
        self.refilled_at = now;
    }

    /// Sets the rate from now on; a negative one is zero. Tokens up to now are those of the old rate.
    pub(crate) fn set_rate(&mut self, now: Duration, rate: Option<f64>) {
        self.refill(now);
        self.rate = rate.map(|rate| rate.max(0.0));
    }

    pub(crate) fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        let rate = self.rate.unwrap_or(0.0);
        self.level = (self.level + rate * elapsed).min(size(rate));
    }

    pub(crate) fn take_token(&mut self) {
        self.level -= 1.0;
    }

    /// Whether the level admits a request of this rank, 0 (first) to 1 (last).
    pub(crate) fn admits(&self, rank: f64) -> bool {
        let rate = self.rate.unwrap_or(0.0);
        let needed = 1.0 + (size(rate) - 1.0) * RESERVE * rank;
        self.level >= needed
    }
}

/// Size of a bucket that fills at this rate.
fn size(rate: f64) -> f64 {
    MIN_SIZE.max(rate * SIZE_SECONDS)
}
