//! Settings of admission.

use std::time::Duration;

/// Settings of admission.
#[derive(Clone, Debug, Default)]
pub struct AdmissionSettings {
    /// Priority weight of each listener's sessions, relative to the highest (0 to 1).
    pub priority_weights: Vec<f64>,
    /// Quota of each tenant, as a part of all admissions (0 to 1); zero for a tenant without one.
    pub quotas: Vec<f64>,
    /// Longest Retry-After that clients respect; zero where none may be given.
    pub max_retry_after: Duration,
    /// Whether listeners rank by priority weight alone while the cost of sessions is not known. Wrong where sessions of
    /// higher weight cost more than in proportion.
    pub rank_by_weight_alone: bool,
}
