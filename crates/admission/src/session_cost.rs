//! Cost of a listener's sessions, estimated from what servers report.

use std::time::Duration;

/// Reports from which the cost counts as known.
const MIN_REPORTS: f64 = 8.0;
/// Reports that the mean goes back at most; each later one weighs one part in so many.
const MAX_REPORTS: f64 = 50.0;
/// Age of the last report from which the cost no longer counts as known.
const MAX_AGE: Duration = Duration::from_secs(60);

/// Known cost of a listener's sessions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SessionCost {
    /// Mean work per second, in the unit in which servers report it.
    pub mean: f64,
    /// Mean absolute deviation from the mean.
    pub mean_deviation: f64,
    /// Time since the last report.
    pub age: Duration,
}

/// Running mean of the reported cost of a listener's sessions.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CostEstimate {
    mean: f64,
    mean_deviation: f64,
    reports: f64,
    updated_at: Duration,
}

impl CostEstimate {
    /// Takes in a report of `work` per second. One that is not a number, infinite or negative is ignored.
    pub(crate) fn record(&mut self, now: Duration, work: f64) {
        if !work.is_finite() || work < 0.0 {
            return;
        }
        self.reports = (self.reports + 1.0).min(MAX_REPORTS);
        self.updated_at = now;
        self.mean_deviation += ((work - self.mean).abs() - self.mean_deviation) / self.reports;
        self.mean += (work - self.mean) / self.reports;
    }

    pub(crate) fn mean(&self) -> f64 {
        self.mean
    }

    /// The cost; `None` while there are too few reports, or they are too old.
    pub(crate) fn known_cost(&self, now: Duration) -> Option<SessionCost> {
        let age = now.saturating_sub(self.updated_at);
        let is_known = self.reports >= MIN_REPORTS && self.mean > 0.0 && age <= MAX_AGE;
        if !is_known {
            return None;
        }
        Some(SessionCost {
            mean: self.mean,
            mean_deviation: self.mean_deviation,
            age,
        })
    }
}
