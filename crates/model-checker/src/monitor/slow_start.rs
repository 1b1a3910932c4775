//! The limit on dials to a server that is warming up.

use asterramp_placement::deployment::SlowStartRule;
use std::time::Duration;

/// Fraction of a server's capacity that one connection takes, at the least, according to the load reports of the model. A
/// greater value lowers the budget.
const LOAD_PER_CONNECTION: f64 = 0.06;

/// The number of dials that a server may have had once it has been up for `uptime`: one, and those that the rule's multiple
/// of the rate that would fill the server's mean capacity so far within `warm_after` allows, with connections of
/// [`LOAD_PER_CONNECTION`] each.
pub(super) fn dial_budget(rule: &SlowStartRule, uptime: Duration) -> f64 {
    let uptime = uptime.as_secs_f64();
    let warm_after = rule.warm_after.as_secs_f64();
    let mean_capacity =
        rule.initial_capacity + (1.0 - rule.initial_capacity) * uptime / warm_after / 2.0;
    rule.overload_factor * mean_capacity / (LOAD_PER_CONNECTION * warm_after) * uptime + 1.0
}
