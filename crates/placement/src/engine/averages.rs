//! Averages over all servers, and what the other proxies are taken to send.

use super::PlacementEngine;
use crate::event::SessionId;
use crate::server::Server;
use crate::timers::Timer;
use std::time::Duration;

/// How often the averages are computed anew.
const REFRESH_INTERVAL: Duration = Duration::from_millis(1000);
/// Least share of a server that a connection is taken to need, where a fill rate is computed from it.
const MIN_LOAD_PER_CONNECTION: f64 = 1e-3;

impl PlacementEngine {
    /// Mean of `value` over the ready servers for which it is known.
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

    /// Share of its capacity that a server has at least.
    pub(super) fn capacity_share(&self, server: &Server, now: Duration) -> f64 {
        self.slow_start
            .capacity_share(server.endpoint.started_at, now)
    }

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
        let load = self
            .mean_load_per_connection
            .unwrap_or_else(|| 1.0 / self.connections_per_server(proxy_count));
        self.slow_start
            .set_fill_rate(load.max(MIN_LOAD_PER_CONNECTION), proxy_count);
        self.timers
            .schedule(self.now + REFRESH_INTERVAL, Timer::RefreshAverages);
    }

    /// Estimate of the connections that a server can hold, for when no server reports its utilization: what a warm
    /// one holds of all proxies, or, if more, what the settings plan for each server ever listed.
    fn connections_per_server(&self, proxy_count: f64) -> f64 {
        let planned = self.deployment.total_connection_quota / self.servers.len().max(1) as f64;
        (self.connections_per_warm_server * proxy_count)
            .max(planned)
            .max(1.0)
    }

    /// How many other proxies are as busy as this one, by the connections that they hold. One that shuts down
    /// sends no more.
    fn active_other_proxies(&self) -> f64 {
        let mut all = 0.0;
        let mut own = 0.0;
        for server in &self.servers {
            if let Some(reported) = server.load.reported_connections() {
                all += reported;
                own += f64::from(server.open_connections);
            }
        }
        let others = if all > 0.0 {
            (all - own) / own.max(1.0)
        } else {
            // No counts are known, so all of them count.
            f64::MAX
        };
        others.clamp(0.0, f64::from(self.deployment.proxy_count) - 1.0)
    }

    /// Sessions that the other proxies are taken to have sent each server, unseen by its last report.
    pub(super) fn unreported_sessions_per_server(&self) -> f64 {
        self.unreported_from(self.active_other_proxies())
    }

    fn unreported_from(&self, other_proxies: f64) -> f64 {
        self.dial_rate
            .unreported_per_server(self.now, other_proxies, self.servers.len())
    }

    /// By how much a dial raises the score: a connection, and what the others send to one of two candidates. A
    /// client that reconnects is still in the counts of where it was, and often came from another proxy.
    pub(super) fn score_increment(&self, session: SessionId) -> f64 {
        let other_proxies = if self.session(session).request.reconnecting {
            0.0
        } else {
            self.active_other_proxies()
        };
        1.0 + (2.0 * self.unreported_from(other_proxies)).min(other_proxies)
    }
}
