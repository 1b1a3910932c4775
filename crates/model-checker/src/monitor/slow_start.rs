//! The budget of dials to a server that is warming up.

use asterramp_placement::deployment::SlowStartRule;
use std::time::Duration;

/// The smallest part of a server that any load report of the model shows one connection to take.
const LOAD_PER_CONNECTION: f64 = 0.06;

/// How many dials a server may have had when it has been up for `uptime`.
///
/// The budget fills by what fills the server as it warms up, at the rule's multiple of its mean capacity so far, in
/// connections of the size that load reports show.
pub(super) fn dial_budget(rule: &SlowStartRule, uptime: Duration) -> f64 {
    let uptime = uptime.as_secs_f64();
    let warm_after = rule.warm_after.as_secs_f64();
    let mean_capacity =
        rule.initial_capacity + (1.0 - rule.initial_capacity) * uptime / warm_after / 2.0;
    rule.overload_factor * mean_capacity / (LOAD_PER_CONNECTION * warm_after) * uptime + 1.0
}
