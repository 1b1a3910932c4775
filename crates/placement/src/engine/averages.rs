//! Averages over all ready servers, and estimates of the sessions that other proxies send.

use super::PlacementEngine;
use crate::event::SessionId;
use crate::server::Server;
use crate::timers::Timer;
use std::time::Duration;

/// Interval at which the averages are recomputed.
const REFRESH_INTERVAL: Duration = Duration::from_millis(1000);
/// Lower bound on the load of one connection, as a fraction of a server's capacity, when the slow-start fill rate
/// is computed from it. It bounds that rate where servers report next to no load.
const MIN_LOAD_FOR_FILL_RATE: f64 = 1e-3;

impl PlacementEngine {
    /// Mean of `value` over the ready servers for which it is known; `None` where there are none.
    pub(super) fn mean_over_ready(&self, value: impl Fn(&Server) -> Option<f64>) -> Option<f64> {
        let mut sum = 0.0;
        let mut count = 0.0;
        for server in self.servers.iter().filter(|server| server.is_ready()) {
            if let Some(value) = value(server) {
                sum += value;
                count += 1.0;
            }
        }
        (count > 0.0).then_some(sum / count)
    }

    /// Fraction of its full capacity that a server is assumed to have at `now`; below 1 while it warms up.
    pub(super) fn capacity_share(&self, server: &Server, now: Duration) -> f64 {
        self.slow_start
            .capacity_share(server.endpoint.started_at, now)
    }

    /// Recomputes the averages and the slow-start fill rate, and schedules the next refresh.
    pub(super) fn refresh_averages(&mut self) {
        self.mean_load_per_connection = self
            .mean_over_ready(|server| server.load.load_per_connection())
            .or(self.mean_load_per_connection);
        let open_if_warm = |server: &Server| {
            let is_warm = self.capacity_share(server, self.now) >= 1.0;
            is_warm.then_some(f64::from(server.open_connections))
        };
        self.connections_per_warm_server = self
            .mean_over_ready(open_if_warm)
            .unwrap_or(self.connections_per_warm_server);
        let proxy_count = f64::from(self.deployment.proxy_count);
        let load_per_connection = self
            .mean_load_per_connection
            .unwrap_or_else(|| 1.0 / self.connections_per_server(proxy_count));
        self.slow_start
            .set_fill_rate(load_per_connection.max(MIN_LOAD_FOR_FILL_RATE), proxy_count);
        self.timers
            .schedule(self.now + REFRESH_INTERVAL, Timer::RefreshAverages);
    }

    /// Estimate of the connections that a server can hold, used while no server reports its utilization. It is the
    /// number that a warm server holds from all proxies or, if greater, the tenants' total connection quota divided by
    /// the number of server ids so far.
    fn connections_per_server(&self, proxy_count: f64) -> f64 {
        let quota_per_server =
            self.deployment.total_connection_quota / self.servers.len().max(1) as f64;
        (self.connections_per_warm_server * proxy_count)
            .max(quota_per_server)
            .max(1.0)
    }

    /// Number of other proxies, in units of this proxy's traffic, estimated from the connections that servers
    /// report. Counting proxies by the settings would include those that are shutting down and send no more sessions.
    fn active_other_proxies(&self) -> f64 {
        let mut reported_total = 0.0;
        let mut own_total = 0.0;
        for server in &self.servers {
            if let Some(reported) = server.load.reported_connections() {
                reported_total += reported;
                own_total += f64::from(server.open_connections);
            }
        }
        let active_others = if reported_total > 0.0 {
            (reported_total - own_total) / own_total.max(1.0)
        } else {
            // Without reports, all configured proxies count.
            f64::MAX
        };
        active_others.clamp(0.0, f64::from(self.deployment.proxy_count) - 1.0)
    }

    /// Estimate of the sessions that the other proxies have sent each server and that its last report may
    /// not include.
    pub(super) fn unreported_sessions_per_server(&self) -> f64 {
        self.unreported_sessions_from(self.active_other_proxies())
    }

    fn unreported_sessions_from(&self, other_proxies: f64) -> f64 {
        self.dial_rate
            .unreported_per_server(self.now, other_proxies, self.servers.len())
    }

    /// By how much a dial raises its server's score, in connections: one for the session, plus the sessions that the
    /// other proxies are expected to send to one of two candidates. A reconnecting client adds only itself: it is
    /// still in the count of the server that it left, and often came from another proxy.
    pub(super) fn score_increment(&self, session: SessionId) -> f64 {
        let other_proxies = if self.session(session).request.reconnecting {
            0.0
        } else {
            self.active_other_proxies()
        };
        1.0 + (2.0 * self.unreported_sessions_from(other_proxies)).min(other_proxies)
    }
}
