//! The budget of retries: over any span only so many, and so many more for each session.

use crate::deployment::RetryBudgetRule;
use std::time::Duration;

/// Parts that the span is counted in.
const PARTS_PER_SPAN: u64 = 16;
/// Parts that are kept: those of the span, and the one that is not over yet.
const KEPT_PARTS: usize = PARTS_PER_SPAN as usize + 1;
/// Rounding error of the sums, in retries.
const ROUNDING_MARGIN: f64 = 1e-9;

/// What was counted in one part of the span.
#[derive(Clone, Copy, Debug, Default)]
struct PartCount {
    /// Number of the part since the clock began.
    number: u64,
    retries: f64,
    sessions: f64,
}

/// Counts retries and sessions in a ring whose size doesn't grow with traffic. Its edges err on the strict side:
/// a retry counts for up to a part of the span too long, a session for up to a part too short.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    /// `None` where retries aren't limited.
    rule: Option<RetryBudgetRule>,
    parts: [PartCount; KEPT_PARTS],
}

impl RetryBudget {
    /// A budget with nothing counted yet; one that allows every retry without a rule.
    pub fn new(rule: Option<RetryBudgetRule>) -> RetryBudget {
        RetryBudget {
            rule,
            parts: Default::default(),
        }
    }

    /// A session came, whatever becomes of it. `now` is the time since the clock began.
    pub fn record_session(&mut self, now: Duration) {
        if let Some(part) = self.part_mut(now) {
            part.sessions += 1.0;
        }
    }

    /// A retry was sent.
    pub fn record_retry(&mut self, now: Duration) {
        if let Some(part) = self.part_mut(now) {
            part.retries += 1.0;
        }
    }

    /// Whether one more retry may be sent.
    pub fn allows_retry(&self, now: Duration) -> bool {
        let Some(rule) = self.rule else {
            return true;
        };
        let current = part_number(rule, now);
        let mut retries = 0.0;
        let mut sessions = 0.0;
        for part in self.parts.iter().filter(|part| part.number <= current) {
            if part.number + PARTS_PER_SPAN >= current {
                retries += part.retries;
            }
            if part.number + PARTS_PER_SPAN > current {
                sessions += part.sessions;
            }
        }
        let allowed = rule.min_retries + rule.retries_per_session * sessions;
        retries + 1.0 <= allowed + ROUNDING_MARGIN
    }

    /// The part that `now` falls in, empty if it has just begun; `None` without a rule.
    fn part_mut(&mut self, now: Duration) -> Option<&mut PartCount> {
        let number = part_number(self.rule?, now);
        let part = &mut self.parts[(number % KEPT_PARTS as u64) as usize];
        if part.number != number {
            *part = PartCount {
                number,
                ..PartCount::default()
            };
        }
        Some(part)
    }
}

fn part_number(rule: RetryBudgetRule, now: Duration) -> u64 {
    let span = rule.window.as_nanos().max(1);
    (now.as_nanos() * u128::from(PARTS_PER_SPAN) / span) as u64
}
