//! What the other proxies are taken to send while a server's connection count is as old as it may be.

use crate::load_estimate::{MAX_REPORT_AGE, RATE_WINDOW, decay};
use std::time::Duration;

/// Rate of this proxy's own dials, averaged over [`RATE_WINDOW`]; the others dial alike.
#[derive(Clone, Debug, Default)]
pub(crate) struct DialRate {
    per_second: f64,
    updated_at: Duration,
}

impl DialRate {
    pub(crate) fn record(&mut self, now: Duration) {
        self.per_second = self.per_second * decay(now, self.updated_at) + 1.0 / RATE_WINDOW;
        self.updated_at = now;
    }

    /// Dials of so many other proxies at each server that no report shows yet.
    pub(crate) fn unreported_per_server(
        &self,
        now: Duration,
        other_proxies: f64,
        server_count: usize,
    ) -> f64 {
        let rate = self.per_second * decay(now, self.updated_at);
        let own = rate * MAX_REPORT_AGE.as_secs_f64();
        other_proxies * own / server_count.max(1) as f64
    }
}
