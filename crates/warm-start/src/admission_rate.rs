//! How fast clients are admitted to endpoints that have just started.

use std::time::Duration;

/// How an endpoint that has just started gains capacity, and how much load it can take meanwhile.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartProfile {
    /// Share of its full capacity that it has at once, between 0 and 1.
    pub initial_capacity: f64,
    /// How long until it has all of it.
    pub warm_after: Duration,
    /// How many times its present capacity may be sent to it before it is overloaded.
    pub overload_factor: f64,
}

/// Share of the endpoints' capacity that all proxies together use: they do not coordinate, so the moments at which each
/// uses its own coincide by chance.
const USED_SHARE: f64 = 0.75;
/// Least connections of an endpoint from whose load report the share of one connection is computed.
pub const MIN_CONNECTIONS_FOR_LOAD: f64 = 8.0;
/// Share of an endpoint that a connection takes where no report has ever shown it.
const DEFAULT_LOAD_PER_CONNECTION: f64 = 0.05;
/// Bounds of the share that a connection takes; a report outside of them is an error of the endpoint's.
const LOAD_PER_CONNECTION_RANGE: (f64, f64) = (1e-3, 1.0);
/// Shortest warm-up in seconds, since it divides the rate.
const MIN_WARM_UP_SECONDS: f64 = 1e-3;

/// Sessions per second that one of `proxies` proxies may set up on `endpoints` endpoints that started `uptime` ago, such
/// that an endpoint at full capacity fills within its warm-up.
///
/// `load_per_connection` is the share of an endpoint that a connection takes; `None`, or a value that is not positive and
/// finite, where it is not known.
pub fn admission_rate(
    profile: SlowStartProfile,
    endpoints: usize,
    load_per_connection: Option<f64>,
    proxies: u32,
    uptime: Duration,
) -> f64 {
    let warm_after = profile.warm_after.as_secs_f64().max(MIN_WARM_UP_SECONDS);
    let warmed_up = (uptime.as_secs_f64() / warm_after).min(1.0);
    let capacity = profile.initial_capacity + (1.0 - profile.initial_capacity) * warmed_up;
    let (least, most) = LOAD_PER_CONNECTION_RANGE;
    let load_per_connection = load_per_connection
        .filter(|load| load.is_finite() && *load > 0.0)
        .unwrap_or(DEFAULT_LOAD_PER_CONNECTION)
        .clamp(least, most);
    endpoints as f64 * USED_SHARE * profile.overload_factor * capacity
        / (warm_after * load_per_connection)
        / f64::from(proxies.max(1))
}
