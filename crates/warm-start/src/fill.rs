//! How many set-ups a second hosts can take that have just started, for one proxy of many that do not talk.

use std::time::Duration;

/// How a host that has just started warms, and what pushes it over.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartFigures {
    /// Part of its capacity that it has at once.
    pub share: f64,
    pub warm_after: Duration,
    /// How often its present capacity may be sent to it.
    pub multiple: f64,
}

/// Part of that which all proxies together use: when each uses its own is chance.
const PART: f64 = 0.75;
/// Connections from which a host's report tells what one takes.
pub const FEW: f64 = 8.0;
/// What a connection takes of a host where nobody has ever told.
const UNKNOWN: f64 = 0.05;

/// Set-ups a second for one of `proxies`, of what so many hosts that started `up` ago can take together. A host at full strength
/// is filled in the time that it takes to warm; `unit` is what a connection takes of it.
pub fn pace(
    cold: SlowStartFigures,
    hosts: usize,
    unit: Option<f64>,
    proxies: u32,
    up: Duration,
) -> f64 {
    let warm_after = cold.warm_after.as_secs_f64().max(1e-3);
    let warm = cold.share + (1.0 - cold.share) * (up.as_secs_f64() / warm_after).min(1.0);
    let unit = unit
        .filter(|unit| unit.is_finite() && *unit > 0.0)
        .unwrap_or(UNKNOWN)
        .clamp(1e-3, 1.0);
    hosts as f64 * PART * cold.multiple * warm / (warm_after * unit) / f64::from(proxies.max(1))
}
