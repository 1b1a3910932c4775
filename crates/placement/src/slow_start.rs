//! Slow start: limits how many sessions a recently started server may be sent while it warms up.

use crate::deployment::SlowStartRule;
use std::time::Duration;

/// Fraction of the rule's overload factor that all proxies together use. Their dials vary at random around the sum of
/// their allowances; with the whole factor they would exceed the limit half of the time.
const USED_FRACTION_OF_OVERLOAD_FACTOR: f64 = 0.75;
/// Time for which an unused dial stays available, as a fraction of the rule's overload window. With a longer time, all
/// proxies could use their saved dials at once.
const UNUSED_DIAL_WINDOW_FRACTION: f64 = 2.0 / 3.0;

/// Dials that this proxy may still send one server while it warms up, as of a point in time.
#[derive(Clone, Debug, Default)]
pub(crate) struct DialAllowance {
    /// Negative if a dial was sent before a whole one was available.
    dials: f64,
    updated_at: Duration,
}

impl DialAllowance {
    pub(crate) fn starting_at(now: Duration, dials: f64) -> DialAllowance {
        DialAllowance {
            dials,
            updated_at: now,
        }
    }
}

/// The slow-start rule of the deployment, and the rate at which this proxy may fill a server while it warms up.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlowStart {
    rule: SlowStartRule,
    /// Connections per second from one proxy that would, with equal rates from all proxies, fill a warm server within
    /// the warm-up time.
    fill_rate: f64,
}

impl SlowStart {
    pub(crate) fn new(rule: SlowStartRule) -> SlowStart {
        SlowStart {
            rule,
            fill_rate: 0.0,
        }
    }

    /// Sets the fill rate. `load_per_connection` is the fraction of a warm server's capacity that one connection takes,
    /// and must be greater than 0.
    pub(crate) fn set_fill_rate(&mut self, load_per_connection: f64, proxy_count: f64) {
        let warm_after = self.rule.warm_after.as_secs_f64().max(1e-3);
        self.fill_rate = 1.0 / (warm_after * load_per_connection) / proxy_count;
    }

    /// Fraction of its full capacity that a server has at `now`. It grows linearly over the warm-up time; a server
    /// whose `started_at` is `None` started long ago and has all of it.
    pub(crate) fn capacity_share(&self, started_at: Option<Duration>, now: Duration) -> f64 {
        let rule = self.rule;
        let uptime = started_at.map_or(rule.warm_after, |at| now.saturating_sub(at));
        let warm_up_fraction = (uptime.as_secs_f64() / rule.warm_after.as_secs_f64()).min(1.0);
        rule.initial_capacity + (1.0 - rule.initial_capacity) * warm_up_fraction
    }

    /// Dials that a server may be sent now. The allowance grows at a rate proportional to the server's capacity, and
    /// whole dials that are not used in time are lost.
    fn available(
        &self,
        allowance: &DialAllowance,
        started_at: Option<Duration>,
        now: Duration,
    ) -> f64 {
        let elapsed = now.saturating_sub(allowance.updated_at).as_secs_f64();
        let previous_share = self.capacity_share(started_at, allowance.updated_at);
        let mean_share = (previous_share + self.capacity_share(started_at, now)) / 2.0;
        let rate = USED_FRACTION_OF_OVERLOAD_FACTOR
            * self.rule.overload_factor
            * mean_share
            * self.fill_rate;
        let accrued = allowance.dials + rate * elapsed;
        // An unused whole dial lapses once this much more has accrued.
        let lifetime_accrual =
            rate * self.rule.overload_window.as_secs_f64() * UNUSED_DIAL_WINDOW_FRACTION;
        if accrued < 1.0 || accrued.fract() < lifetime_accrual {
            accrued.min(1.0 + accrued.fract())
        } else {
            accrued.fract()
        }
    }

    /// Whether a server is still warming up and may not be sent a session now.
    pub(crate) fn is_exhausted(
        &self,
        allowance: &DialAllowance,
        started_at: Option<Duration>,
        now: Duration,
    ) -> bool {
        self.capacity_share(started_at, now) < 1.0
            && self.available(allowance, started_at, now) < 1.0
    }

    /// What is left of the allowance after one dial.
    pub(crate) fn after_dial(
        &self,
        allowance: &DialAllowance,
        started_at: Option<Duration>,
        now: Duration,
    ) -> DialAllowance {
        let available = self.available(allowance, started_at, now);
        DialAllowance::starting_at(now, available - 1.0)
    }
}
