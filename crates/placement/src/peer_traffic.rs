//! Estimates the sessions that the other proxies have dialed and that servers' load reports may not include yet.

use crate::load_estimate::{MAX_REPORT_AGE, RATE_WINDOW_SECONDS, decay};
use std::time::Duration;

/// Rate of this proxy's own dials, averaged over [`RATE_WINDOW_SECONDS`]. The other proxies are assumed to dial at the
/// same rate.
#[derive(Clone, Debug, Default)]
pub(crate) struct DialRate {
    per_second: f64,
    updated_at: Duration,
}

impl DialRate {
    pub(crate) fn record(&mut self, now: Duration) {
        self.per_second = self.per_second * decay(now, self.updated_at) + 1.0 / RATE_WINDOW_SECONDS;
        self.updated_at = now;
    }

    /// Mean number of dials by `other_proxies` proxies at each server within [`MAX_REPORT_AGE`].
    pub(crate) fn unreported_per_server(
        &self,
        now: Duration,
        other_proxies: f64,
        server_count: usize,
    ) -> f64 {
        let rate = self.per_second * decay(now, self.updated_at);
        let own_unreported = rate * MAX_REPORT_AGE.as_secs_f64();
        other_proxies * own_unreported / server_count.max(1) as f64
    }
}
