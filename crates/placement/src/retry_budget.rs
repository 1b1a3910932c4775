//! The budget of further dials: over any span, only so many, and so many more for each session taken.

use crate::deployment::RetryBudgetRule;
use std::time::Duration;

/// Parts that the span is counted in, and one more for the edge.
const STEPS: u64 = 16;
const KEPT: usize = STEPS as usize + 1;

#[derive(Clone, Copy, Debug, Default)]
struct Step {
    nth: u64,
    dials: f64,
    taken: f64,
}

/// A ring of counts, whose size does not grow with traffic. Its edges err on the strict side: a dial
/// counts up to a step too long, a session up to a step too short.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    rule: Option<RetryBudgetRule>,
    ring: [Step; KEPT],
}

impl RetryBudget {
    pub fn new(rule: Option<RetryBudgetRule>) -> RetryBudget {
        RetryBudget {
            rule,
            ring: Default::default(),
        }
    }

    fn step(&self, now: Duration) -> Option<(RetryBudgetRule, u64)> {
        let rule = self.rule?;
        Some((
            rule,
            (now.as_nanos() * u128::from(STEPS) / rule.span.as_nanos().max(1)) as u64,
        ))
    }

    fn at(&mut self, now: Duration) -> Option<&mut Step> {
        let (_, nth) = self.step(now)?;
        let step = &mut self.ring[(nth % KEPT as u64) as usize];
        *step = if step.nth == nth {
            *step
        } else {
            Step {
                nth,
                ..Step::default()
            }
        };
        Some(step)
    }

    /// A session came, whatever becomes of it.
    pub fn record_session(&mut self, now: Duration) {
        self.at(now).into_iter().for_each(|step| step.taken += 1.0);
    }

    /// A further dial was sent.
    pub fn record_retry(&mut self, now: Duration) {
        self.at(now).into_iter().for_each(|step| step.dials += 1.0);
    }

    /// Whether one more may be sent.
    pub fn allows(&self, now: Duration) -> bool {
        let Some((rule, nth)) = self.step(now) else {
            return true;
        };
        let since = |steps: u64| {
            self.ring
                .iter()
                .filter(move |step| step.nth + steps >= nth && step.nth <= nth)
        };
        let dials: f64 = since(STEPS).map(|step| step.dials).sum();
        let taken: f64 = since(STEPS - 1).map(|step| step.taken).sum();
        dials + 1.0 <= rule.free_retries + rule.retries_per_session * taken + 1e-9
    }
}
