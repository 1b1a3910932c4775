//! Capacity as a token bucket, in which a token is one session setup.

use std::time::Duration;

/// Smallest size of the bucket, in tokens.
const MIN_SIZE: f64 = 4.0;
/// The bucket holds the tokens of this many seconds, if that is more than [`MIN_SIZE`]; a greater value admits larger
/// bursts.
const SIZE_SECONDS: f64 = 0.25;
/// Share of the bucket, not counting one token, that a request of the lowest rank must leave to higher ranks.
const RESERVED_SHARE: f64 = 0.8;

/// A token bucket whose rate may change. Without a rate there is no limit.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TokenBucket {
    /// Tokens per second; `None` while there is no limit.
    rate: Option<f64>,
    /// Tokens in the bucket as of `refilled_at`.
    tokens: f64,
    refilled_at: Duration,
}

impl TokenBucket {
    pub(crate) fn rate(&self) -> Option<f64> {
        self.rate
    }

    /// Sets the tokens with which a limit of this rate begins: those of [`SIZE_SECONDS`], and `extra_tokens`.
    pub(crate) fn start_limit(&mut self, now: Duration, rate: f64, extra_tokens: f64) {
        self.tokens = extra_tokens + rate.max(0.0) * SIZE_SECONDS;
        self.refilled_at = now;
    }

    /// Sets the rate from now on; a negative rate counts as zero. Until now the bucket fills at the previous rate.
    pub(crate) fn set_rate(&mut self, now: Duration, rate: Option<f64>) {
        self.refill(now);
        self.rate = rate.map(|rate| rate.max(0.0));
    }

    pub(crate) fn refill(&mut self, now: Duration) {
        let elapsed_seconds = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        let rate = self.rate.unwrap_or(0.0);
        self.tokens = (self.tokens + rate * elapsed_seconds).min(size(rate));
    }

    pub(crate) fn take_token(&mut self) {
        self.tokens -= 1.0;
    }

    /// Whether enough tokens are left for a request of this rank, from 0 (admitted first) to 1 (admitted last).
    pub(crate) fn admits(&self, rank: f64) -> bool {
        let rate = self.rate.unwrap_or(0.0);
        let needed = 1.0 + (size(rate) - 1.0) * RESERVED_SHARE * rank;
        self.tokens >= needed
    }
}

/// Size in tokens of a bucket that fills at `rate` tokens per second.
fn size(rate: f64) -> f64 {
    MIN_SIZE.max(rate * SIZE_SECONDS)
}
