//! How fast sessions are migrated.

use crate::{ADVICE_INTERVAL, DrainSettings};
use std::time::Duration;

/// Seconds over which one proxy's drain may use up the capacity that endpoints report: reports are late, and other proxies
/// send sessions too.
const CAPACITY_USED_IN_S: f64 = 5.0;

/// Sessions per second where endpoints report no capacity: a drain must get somewhere.
const MIN_RATE: f64 = 2.0;

/// Sessions per second where no endpoint reports anything.
const UNREPORTED_RATE: f64 = 50.0;

/// Highest rate that is reckoned with, in sessions per second: a deadline that is over would need an infinite one.
const MAX_RATE: f64 = 1e9;

/// Shortest time to the deadline that is reckoned with, in seconds.
const MIN_TIME_LEFT_S: f64 = 1e-9;

/// Lowest rate by which the end of a drain is predicted, in sessions per second, and the longest prediction, in seconds.
const MIN_PREDICTED_RATE: f64 = 1e-3;
const MAX_PREDICTION_S: f64 = 1e6;

/// The deadline is at risk if it needs over 5 % more than the rate, and safe if it needs over 5 % less. What lies between
/// changes nothing, so that a drain does not flap.
const AT_RISK: f64 = 1.05;
const SAFE: f64 = 0.95;

/// The rate of a drain in sessions per second: the requested one, or what endpoints can absorb, up to the operator's
/// maximum.
pub(crate) fn migration_rate(
    requested: Option<f64>,
    spare_capacity: Option<f64>,
    settings: &DrainSettings,
) -> f64 {
    let absorbable = spare_capacity.map_or(UNREPORTED_RATE, |capacity| {
        (capacity / CAPACITY_USED_IN_S).max(MIN_RATE)
    });
    requested
        .unwrap_or(absorbable)
        .min(settings.max_migrations_per_second)
}

/// How long it takes to migrate so many sessions.
pub(crate) fn predicted_duration(open_sessions: usize, rate: f64) -> Duration {
    let rate = rate.max(MIN_PREDICTED_RATE);
    Duration::from_secs_f64((open_sessions as f64 / rate).min(MAX_PREDICTION_S))
}

/// The rate that a deadline needs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequiredRate(f64);

impl RequiredRate {
    /// For so many sessions in so much time.
    pub(crate) fn new(open_sessions: usize, time_left: Duration) -> Self {
        // A rate that only just meets the deadline meets it a step late.
        let time_left = time_left.as_secs_f64() - ADVICE_INTERVAL.as_secs_f64();
        RequiredRate(open_sessions as f64 / time_left.max(MIN_TIME_LEFT_S))
    }

    /// Whether it is clearly above a rate.
    pub(crate) fn clearly_exceeds(self, rate: f64) -> bool {
        self.0 > rate * AT_RISK
    }

    /// Whether it is clearly below a rate.
    pub(crate) fn is_clearly_below(self, rate: f64) -> bool {
        self.0 < rate * SAFE
    }

    /// The higher one of it and a rate.
    pub(crate) fn at_least(self, rate: f64) -> f64 {
        rate.max(self.0.min(MAX_RATE))
    }
}

/// Migrations that time has allowed and that have not been made yet.
#[derive(Clone, Debug, Default)]
pub(crate) struct MigrationBudget {
    allowed: f64,
    updated_at: Duration,
}

impl MigrationBudget {
    /// Starts anew, with none allowed.
    pub(crate) fn reset(&mut self, now: Duration) {
        self.allowed = 0.0;
        self.updated_at = now;
    }

    /// Starts counting time anew; what was allowed stays.
    pub(crate) fn restart_clock(&mut self, now: Duration) {
        self.updated_at = now;
    }

    /// Drops what was allowed: nobody is there to be migrated.
    pub(crate) fn clear(&mut self) {
        self.allowed = 0.0;
    }

    /// Time since the last call of this.
    pub(crate) fn take_elapsed(&mut self, now: Duration) -> Duration {
        let elapsed = now.saturating_sub(self.updated_at);
        self.updated_at = now;
        elapsed
    }

    /// Adds what a time at a rate allows, up to the sessions there are: what endpoints had no capacity for a moment ago is
    /// not made up for in one burst.
    pub(crate) fn add(&mut self, rate: f64, elapsed: Duration, open_sessions: usize) {
        let allowed = self.allowed + rate * elapsed.as_secs_f64();
        self.allowed = allowed.min(open_sessions as f64);
    }

    /// The whole sessions that are allowed.
    pub(crate) fn available(&self) -> usize {
        self.allowed as usize
    }

    /// Takes out the sessions that are migrated.
    pub(crate) fn spend(&mut self, sessions: usize) {
        self.allowed -= sessions as f64;
        self.allowed = self.allowed.max(0.0);
    }
}
