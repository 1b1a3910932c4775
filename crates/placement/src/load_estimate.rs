//! Charon's load estimate for one server: a connection score that decays between the server's load reports.
//!
//! After Rizzi, Yao, Desmouceaux, Townsley and Clausen, "Charon: Load-Aware Load-Balancing in P4" (NetPA 2021).
//! `docs/design.md` lists what differs from the paper.

use crate::event::ServerLoad;
use std::time::Duration;

/// Time constant of the moving averages of rates, in seconds. A greater value reacts more slowly.
pub(crate) const RATE_WINDOW_SECONDS: f64 = 10.0;
/// How old a connection count may be when a probe answer brings it. More recent dials may be missing from it.
pub(crate) const MAX_REPORT_AGE: Duration = Duration::from_millis(1000);
/// Connections that a report must count for the load per connection to be computed from it. With fewer, each bears
/// more of the cost that a group shares, and the server would look full.
const MIN_CONNECTIONS_TO_MEASURE: f64 = 8.0;
/// Utilization above which a report of fewer connections, but at least one, is used as well.
const MIN_UTILIZATION_TO_MEASURE: f64 = 0.5;

/// Factor by which a rate, averaged over [`RATE_WINDOW_SECONDS`], has decayed since `then`.
pub(crate) fn decay(now: Duration, then: Duration) -> f64 {
    (-now.saturating_sub(then).as_secs_f64() / RATE_WINDOW_SECONDS).exp()
}

/// A dial that the last report may not include, and by how much it raised the score.
#[derive(Clone, Copy, Debug)]
struct RecentDial {
    at: Duration,
    score_increment: f64,
}

/// Estimate of one server's connections and of the load of each.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadEstimate {
    /// Charon's g: estimated connections at the server, of all proxies, as of `updated_at`.
    score: f64,
    /// Charon's v: connections of this proxy that end at the server per second.
    completion_rate: f64,
    /// Charon's t: when the score was last updated.
    updated_at: Duration,
    /// Fraction of the server's capacity that one connection takes, from its reports.
    load_per_connection: Option<f64>,
    /// Connections in the server's last report.
    reported_connections: Option<f64>,
    /// Dials that may be too recent to be included in that count.
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
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        (self.score - self.completion_rate * elapsed).max(0.0)
    }

    /// Connections of this proxy that end at the server per second, as of the last update.
    pub(crate) fn completion_rate(&self) -> f64 {
        self.completion_rate
    }

    /// Fraction of the server's capacity that one connection takes; `None` where no report gave it.
    pub(crate) fn load_per_connection(&self) -> Option<f64> {
        self.load_per_connection
    }

    /// Connections of all proxies in the server's last report; `None` before the first.
    pub(crate) fn reported_connections(&self) -> Option<f64> {
        self.reported_connections
    }

    /// Brings the score and the completion rate up to `now`.
    fn age(&mut self, now: Duration) {
        self.score = self.aged_score(now);
        self.completion_rate *= decay(now, self.updated_at);
        self.updated_at = now;
    }

    /// Records a dial to the server, which raises the score by `score_increment`.
    pub(crate) fn record_dial(&mut self, now: Duration, score_increment: f64) {
        self.age(now);
        self.score += score_increment;
        self.recent_dials.push(RecentDial {
            at: now,
            score_increment,
        });
    }

    /// Reverts the dial at `dialed_at`, which opened no connection.
    pub(crate) fn revert_dial(&mut self, now: Duration, dialed_at: Duration, score_increment: f64) {
        self.recent_dials.retain(|dial| dial.at != dialed_at);
        self.age(now);
        self.score = (self.score - score_increment).max(0.0);
    }

    /// Records that a connection of this proxy ended at the server.
    pub(crate) fn record_completion(&mut self, now: Duration) {
        self.age(now);
        self.completion_rate += 1.0 / RATE_WINDOW_SECONDS;
    }

    /// Sets the score to the last reported connections plus the dials that the report may not include.
    pub(crate) fn reset_to_report(&mut self, now: Duration) {
        self.age(now);
        self.recent_dials
            .retain(|dial| now.saturating_sub(dial.at) < MAX_REPORT_AGE);
        if let Some(reported) = self.reported_connections {
            let unreported: f64 = self
                .recent_dials
                .iter()
                .map(|dial| dial.score_increment)
                .sum();
            self.score = reported + unreported;
        }
    }

    /// Records a report. If its load per connection can't be measured, the estimate moves toward
    /// `mean_load_per_connection`, so that an old report from while the server was slow doesn't keep sessions away for
    /// ever. A report without a connection count is ignored.
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
        let reported = measured_load_per_connection(connections, load.utilization);
        let previous = self.load_per_connection;
        let latest =
            reported.or(previous.map(|previous| mean_load_per_connection.unwrap_or(previous)));
        if let Some(latest) = latest {
            let smoothed = previous.map_or(latest, |previous| (previous + latest) / 2.0);
            self.load_per_connection = Some(smoothed);
        }
        self.reset_to_report(now);
    }
}

/// Fraction of the server's capacity that one connection takes; `None` where the report counts too few to tell.
fn measured_load_per_connection(connections: f64, utilization: Option<f64>) -> Option<f64> {
    let utilization = utilization?;
    let is_measurable = connections >= MIN_CONNECTIONS_TO_MEASURE
        || connections >= 1.0 && utilization > MIN_UTILIZATION_TO_MEASURE;
    is_measurable.then_some(utilization / connections)
}
