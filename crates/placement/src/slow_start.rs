//! Slow start: how many sessions a freshly started server may be sent while it warms up.

use crate::deployment::SlowStartRule;
use std::time::Duration;

/// Part of the rule's multiple that all proxies together use. Their dials scatter by chance about the sum of
/// their allowances; at the whole multiple they would be over it half of the time.
const USED_PART_OF_MULTIPLE: f64 = 0.75;
/// For which part of the rule's span an unused dial is kept. If it were kept for longer, all proxies could
/// send at once what each has saved.
const KEPT_PART_OF_SPAN: f64 = 2.0 / 3.0;

/// Dials that one server may still be sent while it is cold.
#[derive(Clone, Debug, Default)]
pub(crate) struct DialAllowance {
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

/// The rule of the deployment, and the rate at which sessions fill a server while it warms up.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlowStart {
    rule: SlowStartRule,
    /// Connections each second that one proxy may send a server as it warms up: what fills the server in that
    /// time, divided by the proxies.
    fill_rate: f64,
}

impl SlowStart {
    pub(crate) fn new(rule: SlowStartRule) -> SlowStart {
        SlowStart {
            rule,
            fill_rate: 0.0,
        }
    }

    /// `load_per_connection` is the share of a warm server that one connection takes.
    pub(crate) fn set_fill_rate(&mut self, load_per_connection: f64, proxy_count: f64) {
        let warm_after = self.rule.warm_after.as_secs_f64().max(1e-3);
        self.fill_rate = 1.0 / (warm_after * load_per_connection) / proxy_count;
    }

    /// Share of its capacity that a server has at least, by the time since it started; `None` for long ago.
    pub(crate) fn capacity_share(&self, started_at: Option<Duration>, now: Duration) -> f64 {
        let rule = self.rule;
        let up = started_at.map_or(rule.warm_after, |at| now.saturating_sub(at));
        let part = (up.as_secs_f64() / rule.warm_after.as_secs_f64()).min(1.0);
        rule.initial_capacity + (1.0 - rule.initial_capacity) * part
    }

    /// Dials that a server may be sent now. The allowance grows at part of the rule's multiple of the server's
    /// warmth; what is not used is soon lost.
    fn available(
        &self,
        allowance: &DialAllowance,
        started_at: Option<Duration>,
        now: Duration,
    ) -> f64 {
        let span = now.saturating_sub(allowance.updated_at).as_secs_f64();
        let warmth_then = self.capacity_share(started_at, allowance.updated_at);
        let warmth = (warmth_then + self.capacity_share(started_at, now)) / 2.0;
        let rate = USED_PART_OF_MULTIPLE * self.rule.overload_factor * warmth * self.fill_rate;
        let saved = allowance.dials + rate * span;
        let kept = rate * self.rule.overload_window.as_secs_f64() * KEPT_PART_OF_SPAN;
        if saved < 1.0 || saved.fract() < kept {
            saved.min(1.0 + saved.fract())
        } else {
            saved.fract()
        }
    }

    /// Whether a server is cold and may be sent nothing now.
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
