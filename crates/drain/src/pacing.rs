//! Rate at which a drain migrates sessions, and the budget that turns it into whole sessions.

use crate::{ADVICE_INTERVAL, DrainSettings};
use std::time::Duration;

/// Seconds over which one proxy's drain uses up the spare capacity that endpoints report. Reports are late, and other
/// proxies send sessions too. A greater value makes drains slower.
const SPARE_CAPACITY_USE_TIME_S: f64 = 5.0;

/// Lowest rate derived from load reports, in sessions per second: a drain makes progress even if endpoints report no
/// spare capacity.
const MIN_ABSORBABLE_RATE: f64 = 2.0;

/// Rate if no endpoint has reported its load, in sessions per second.
const RATE_WITHOUT_REPORTS: f64 = 50.0;

/// Upper bound of the rate that a deadline requires, in sessions per second: at the deadline it would be infinite.
const MAX_REQUIRED_RATE: f64 = 1e9;

/// Lower bound of the time to the deadline, in seconds, against a division by zero.
const MIN_TIME_LEFT_S: f64 = 1e-9;

/// Lowest rate by which the duration of a drain is predicted, in sessions per second, against a division by zero.
const MIN_RATE_OF_PREDICTION: f64 = 1e-3;

/// Longest predicted duration of a drain, in seconds.
const MAX_PREDICTION_S: f64 = 1e6;

/// The deadline is at risk if it requires more than this multiple of the rate.
const AT_RISK_FACTOR: f64 = 1.05;

/// The deadline is safe if it requires less than this multiple of the rate. Between this and [`AT_RISK_FACTOR`] the
/// state does not change, so that a drain does not flap.
const SAFE_FACTOR: f64 = 0.95;

/// Rate of a drain in sessions per second: the requested one, or without one what endpoints can absorb; at most
/// [`DrainSettings::max_migrations_per_second`].
pub(crate) fn migration_rate(
    requested: Option<f64>,
    spare_capacity: Option<f64>,
    settings: &DrainSettings,
) -> f64 {
    let absorbable = spare_capacity.map_or(RATE_WITHOUT_REPORTS, |capacity| {
        (capacity / SPARE_CAPACITY_USE_TIME_S).max(MIN_ABSORBABLE_RATE)
    });
    requested
        .unwrap_or(absorbable)
        .min(settings.max_migrations_per_second)
}

/// How long it takes to migrate the sessions at a rate in sessions per second.
pub(crate) fn predicted_duration(open_sessions: usize, rate: f64) -> Duration {
    let rate = rate.max(MIN_RATE_OF_PREDICTION);
    Duration::from_secs_f64((open_sessions as f64 / rate).min(MAX_PREDICTION_S))
}

/// Rate in sessions per second that meets the deadline.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequiredRate(f64);

impl RequiredRate {
    /// The rate that migrates `open_sessions` in `time_left`.
    pub(crate) fn new(open_sessions: usize, time_left: Duration) -> Self {
        // Sessions are migrated once per interval, so without this the last ones would be an interval late.
        let time_left = time_left.as_secs_f64() - ADVICE_INTERVAL.as_secs_f64();
        RequiredRate(open_sessions as f64 / time_left.max(MIN_TIME_LEFT_S))
    }

    /// Whether the deadline is at risk at `rate`; see [`AT_RISK_FACTOR`].
    pub(crate) fn clearly_exceeds(self, rate: f64) -> bool {
        self.0 > rate * AT_RISK_FACTOR
    }

    /// Whether the deadline is safe at `rate`; see [`SAFE_FACTOR`].
    pub(crate) fn is_clearly_below(self, rate: f64) -> bool {
        self.0 < rate * SAFE_FACTOR
    }

    /// The higher of the required rate and `rate`.
    pub(crate) fn at_least(self, rate: f64) -> f64 {
        rate.max(self.0.min(MAX_REQUIRED_RATE))
    }
}

/// Migrations that the rate has allowed since the drain began and that have not been made yet.
#[derive(Clone, Debug, Default)]
pub(crate) struct MigrationBudget {
    /// Number of migrations, with the fraction of the next one.
    allowed: f64,
    updated_at: Duration,
}

impl MigrationBudget {
    /// Allows no migrations, and counts time from `now`.
    pub(crate) fn reset(&mut self, now: Duration) {
        self.allowed = 0.0;
        self.updated_at = now;
    }

    /// Counts time from `now`, without a change of the allowed migrations.
    pub(crate) fn restart_clock(&mut self, now: Duration) {
        self.updated_at = now;
    }

    /// Allows no migrations, because there is no session to migrate.
    pub(crate) fn clear(&mut self) {
        self.allowed = 0.0;
    }

    /// Returns the time since the clock was last read or set, and counts from `now`.
    pub(crate) fn take_elapsed(&mut self, now: Duration) -> Duration {
        let elapsed = now.saturating_sub(self.updated_at);
        self.updated_at = now;
        elapsed
    }

    /// Adds the migrations that `rate` allows in `elapsed`. The budget never exceeds the number of open sessions, so
    /// that unused migrations do not add up to a later burst.
    pub(crate) fn add(&mut self, rate: f64, elapsed: Duration, open_sessions: usize) {
        let allowed = self.allowed + rate * elapsed.as_secs_f64();
        self.allowed = allowed.min(open_sessions as f64);
    }

    /// How many sessions may be migrated now.
    pub(crate) fn available(&self) -> usize {
        self.allowed as usize
    }

    /// Subtracts the sessions that are migrated now; the budget does not fall below zero.
    pub(crate) fn spend(&mut self, sessions: usize) {
        self.allowed -= sessions as f64;
        self.allowed = self.allowed.max(0.0);
    }
}
