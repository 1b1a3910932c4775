//! Settings of admission.

use std::time::Duration;

/// Settings of admission. The index of a listener or tenant is its position in these lists.
#[derive(Clone, Debug, Default)]
pub struct AdmissionSettings {
    /// Priority weight of each listener's sessions, relative to the highest weight of all listeners (0 to 1).
    pub priority_weights: Vec<f64>,
    /// Quota of each tenant, as a share of all admissions (0 to 1); zero for a tenant without a quota.
    pub quotas: Vec<f64>,
    /// Longest Retry-After that clients respect; zero if none may be given.
    pub max_retry_after: Duration,
    /// Whether listeners rank by priority weight alone while the cost of sessions is not known; otherwise all rank equally
    /// then. Favours the wrong listeners if the cost of sessions grows faster than their weight.
    pub rank_by_weight_alone: bool,
}
