//! The retry budget: limits the retries within any time window to a minimum plus a share of the window's sessions.

use crate::deployment::RetryBudgetRule;
use std::time::Duration;

/// Number of buckets into which the window is divided. More buckets count more precisely and take more memory.
const BUCKETS_PER_WINDOW: u64 = 16;
/// Number of buckets that are stored: those of the window, and the current one, which is not over yet.
const BUCKET_COUNT: usize = BUCKETS_PER_WINDOW as usize + 1;
/// Rounding error of the sums, in retries.
const ROUNDING_MARGIN: f64 = 1e-9;

/// Counts of one bucket.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    /// Number of the bucket, counted from when the clock began.
    number: u64,
    retries: f64,
    sessions: f64,
}

/// Counts retries and sessions in a ring of buckets, whose size doesn't grow with traffic. Rounding to buckets errs on
/// the strict side: a retry counts for up to one bucket too long, a session for up to one bucket too short.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    /// `None` where retries aren't limited.
    rule: Option<RetryBudgetRule>,
    buckets: [Bucket; BUCKET_COUNT],
}

impl RetryBudget {
    /// Creates an empty budget. Without a rule it allows every retry.
    pub fn new(rule: Option<RetryBudgetRule>) -> RetryBudget {
        RetryBudget {
            rule,
            buckets: Default::default(),
        }
    }

    /// Records a requested session, whether or not it opens. `now` is the time since the clock began.
    pub fn record_session(&mut self, now: Duration) {
        if let Some(bucket) = self.bucket_mut(now) {
            bucket.sessions += 1.0;
        }
    }

    /// Records a retry that was sent.
    pub fn record_retry(&mut self, now: Duration) {
        if let Some(bucket) = self.bucket_mut(now) {
            bucket.retries += 1.0;
        }
    }

    /// Whether one more retry may be sent at `now`.
    pub fn allows_retry(&self, now: Duration) -> bool {
        let Some(rule) = self.rule else {
            return true;
        };
        let current = bucket_number(rule, now);
        let mut retries = 0.0;
        let mut sessions = 0.0;
        for bucket in self
            .buckets
            .iter()
            .filter(|bucket| bucket.number <= current)
        {
            if bucket.number + BUCKETS_PER_WINDOW >= current {
                retries += bucket.retries;
            }
            if bucket.number + BUCKETS_PER_WINDOW > current {
                sessions += bucket.sessions;
            }
        }
        let allowed = rule.min_retries + rule.retries_per_session * sessions;
        retries + 1.0 <= allowed + ROUNDING_MARGIN
    }

    /// The bucket of `now`, emptied if it holds an earlier bucket's counts; `None` without a rule.
    fn bucket_mut(&mut self, now: Duration) -> Option<&mut Bucket> {
        let number = bucket_number(self.rule?, now);
        let bucket = &mut self.buckets[(number % BUCKET_COUNT as u64) as usize];
        if bucket.number != number {
            *bucket = Bucket {
                number,
                ..Bucket::default()
            };
        }
        Some(bucket)
    }
}

fn bucket_number(rule: RetryBudgetRule, now: Duration) -> u64 {
    let window_nanos = rule.window.as_nanos().max(1);
    (now.as_nanos() * u128::from(BUCKETS_PER_WINDOW) / window_nanos) as u64
}
