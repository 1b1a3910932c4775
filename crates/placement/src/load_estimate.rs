//! Charon's load estimate for one server: a score that ages between the server's reports.
//!
//! After Rizzi, Yao, Desmouceaux, Townsley and Clausen, "Charon: Load-Aware Load-Balancing in P4" (NetPA 2021).
//! `docs/design.md` lists what differs from the paper.

use crate::event::ServerLoad;
use std::time::Duration;

/// Span over which rates are averaged, in seconds.
pub(crate) const RATE_WINDOW: f64 = 10.0;
/// How old a connection count may be when a probe brings it. Dials younger than that may be missing from it.
pub(crate) const MAX_REPORT_AGE: Duration = Duration::from_millis(1000);
/// Connections from which the load of one is computed from a report. Fewer carry a larger part of what their
/// groups share, and the server would look full.
const MIN_CONNECTIONS_TO_RATE: f64 = 8.0;
/// Utilization over which a report of fewer connections counts all the same.
const MIN_UTILIZATION_TO_RATE: f64 = 0.5;

/// Part of a rate, averaged over [`RATE_WINDOW`], that is left of what it was at `then`.
pub(crate) fn decay(now: Duration, then: Duration) -> f64 {
    (-now.saturating_sub(then).as_secs_f64() / RATE_WINDOW).exp()
}

#[derive(Clone, Copy, Debug)]
struct RecentDial {
    at: Duration,
    bump: f64,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct LoadEstimate {
    /// Charon's g: connections that the server is taken to hold, at `updated_at`.
    score: f64,
    /// Charon's v: connections that end there each second.
    completion_rate: f64,
    /// Charon's t.
    updated_at: Duration,
    /// Share of the server that one connection takes, by its reports.
    load_per_connection: Option<f64>,
    /// Connections that it last reported.
    reported_connections: Option<f64>,
    /// Dials too young to be in that count.
    recent_dials: Vec<RecentDial>,
}

impl LoadEstimate {
    /// The estimate for a server that has just been listed or restarted.
    pub(crate) fn starting_at(
        now: Duration,
        score: f64,
        completion_rate: f64,
        load_per_connection: Option<f64>,
    ) -> LoadEstimate {
        LoadEstimate {
            score,
            completion_rate,
            updated_at: now,
            load_per_connection,
            ..LoadEstimate::default()
        }
    }

    /// Charon's g' = max(0, g - v (now - t)), in connections.
    pub(crate) fn aged_score(&self, now: Duration) -> f64 {
        let span = now.saturating_sub(self.updated_at).as_secs_f64();
        (self.score - self.completion_rate * span).max(0.0)
    }

    /// Connections that end there each second, as of the last update.
    pub(crate) fn completion_rate(&self) -> f64 {
        self.completion_rate
    }

    /// Share of the server that one connection takes; `None` where no report gave it.
    pub(crate) fn load_per_connection(&self) -> Option<f64> {
        self.load_per_connection
    }

    /// Connections that the server last reported, of all proxies.
    pub(crate) fn reported_connections(&self) -> Option<f64> {
        self.reported_connections
    }

    fn age(&mut self, now: Duration) {
        self.score = self.aged_score(now);
        self.completion_rate *= decay(now, self.updated_at);
        self.updated_at = now;
    }

    /// A session is sent there, which raises the score by `bump`.
    pub(crate) fn record_dial(&mut self, now: Duration, bump: f64) {
        self.age(now);
        self.score += bump;
        self.recent_dials.push(RecentDial { at: now, bump });
    }

    /// The attempt that was dialed at `dialed_at` opened nothing.
    pub(crate) fn revert_dial(&mut self, now: Duration, dialed_at: Duration, bump: f64) {
        self.recent_dials.retain(|dial| dial.at != dialed_at);
        self.age(now);
        self.score = (self.score - bump).max(0.0);
    }

    /// A connection of this proxy ended there.
    pub(crate) fn record_completion(&mut self, now: Duration) {
        self.age(now);
        self.completion_rate += 1.0 / RATE_WINDOW;
    }

    /// The score becomes the last reported count and what was dialed since.
    pub(crate) fn reset_to_report(&mut self, now: Duration) {
        self.age(now);
        self.recent_dials
            .retain(|dial| now.saturating_sub(dial.at) < MAX_REPORT_AGE);
        if let Some(reported) = self.reported_connections {
            let unreported: f64 = self.recent_dials.iter().map(|dial| dial.bump).sum();
            self.score = reported + unreported;
        }
    }

    /// Takes in a report. A server whose report can't be rated drifts to `mean_load_per_connection`, so that
    /// a report from while it was slow doesn't keep sessions away for ever.
    pub(crate) fn record_report(
        &mut self,
        now: Duration,
        load: ServerLoad,
        mean_load_per_connection: Option<f64>,
    ) {
        let Some(connections) = load.connections else {
            return;
        };
        self.reported_connections = Some(connections);
        let reported = rated_load_per_connection(connections, load.utilization);
        let own = self.load_per_connection;
        let latest = reported.or(own.map(|own| mean_load_per_connection.unwrap_or(own)));
        if let Some(latest) = latest {
            let smoothed = own.map_or(latest, |before| (before + latest) / 2.0);
            self.load_per_connection = Some(smoothed);
        }
        self.reset_to_report(now);
    }
}

/// Share of the server that one connection takes, where the report counts enough of them.
fn rated_load_per_connection(connections: f64, utilization: Option<f64>) -> Option<f64> {
    let utilization = utilization?;
    let is_rated = connections >= MIN_CONNECTIONS_TO_RATE
        || connections >= 1.0 && utilization > MIN_UTILIZATION_TO_RATE;
    is_rated.then_some(utilization / connections)
}
