//! Cost of a listener's sessions, estimated from server reports.

use std::time::Duration;

/// Fewest reports from which the cost counts as known.
const MIN_REPORTS: f64 = 8.0;
/// Most reports that the running mean averages over. With more, each new report has a weight of one in this many; a
/// greater value follows changes of the cost more slowly.
const MAX_REPORTS: f64 = 50.0;
/// Oldest last report with which the cost still counts as known.
const MAX_AGE: Duration = Duration::from_secs(60);

/// Known cost of a listener's sessions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SessionCost {
    /// Mean work per second of one session, in the unit in which servers report it.
    pub mean: f64,
    /// Mean absolute deviation of the reports from the mean, in the same unit.
    pub mean_deviation: f64,
    /// Time since the last report.
    pub age: Duration,
}

/// Running mean of the reported cost of a listener's sessions.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CostEstimate {
    mean: f64,
    mean_deviation: f64,
    /// Reports recorded, at most [`MAX_REPORTS`].
    reports: f64,
    updated_at: Duration,
}

impl CostEstimate {
    /// Records a report of `work` per second. A value that is not a number, infinite or negative is ignored.
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

    /// The cost; `None` while there are too few reports, the last one is too old, or the mean is zero.
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
