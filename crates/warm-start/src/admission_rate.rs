//! The rate at which clients are admitted while endpoints have just started.

use std::time::Duration;

/// How the capacity of an endpoint that has just started grows, and how much load it accepts meanwhile.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartProfile {
    /// Share of its full capacity that an endpoint has when it starts (0 to 1).
    pub initial_capacity: f64,
    /// Time after its start from which it has its full capacity; the capacity grows linearly until then.
    pub warm_after: Duration,
    /// Load at which an endpoint is overloaded, as a multiple of its present capacity.
    pub overload_factor: f64,
}

/// Share of the endpoints' capacity that all proxies together use. The rest is a reserve, because proxies do not coordinate
/// and may by chance set up their sessions at the same moments.
const USED_SHARE: f64 = 0.75;
/// Fewest connections of an endpoint from which its load report gives a usable load per connection.
pub const MIN_CONNECTIONS_FOR_LOAD: f64 = 8.0;
/// Share of an endpoint's full capacity that one connection takes, assumed if no load report has ever shown it.
const DEFAULT_LOAD_PER_CONNECTION: f64 = 0.05;
/// Lowest and highest plausible share of an endpoint's full capacity that one connection takes. A reported value outside
/// of these bounds is an error of the endpoint, and is replaced by the nearer bound.
const LOAD_PER_CONNECTION_RANGE: (f64, f64) = (1e-3, 1.0);
/// Shortest warm-up that is assumed, in seconds; the rate is divided by it, so it must not be zero.
const MIN_WARM_UP_SECONDS: f64 = 1e-3;

/// Sessions per second that one of `proxies` proxies (zero counts as one) may set up on `endpoints` endpoints that started
/// `uptime` ago. At the rate for full capacity, endpoints fill within one warm-up.
///
/// `load_per_connection` is the share of an endpoint's full capacity that one connection takes. `None`, or a value that is
/// not positive and finite, means that it is not known.
pub fn admission_rate(
    profile: SlowStartProfile,
    endpoints: usize,
    load_per_connection: Option<f64>,
    proxies: u32,
    uptime: Duration,
) -> f64 {
    let warm_after = profile.warm_after.as_secs_f64().max(MIN_WARM_UP_SECONDS);
    let warm_up_progress = (uptime.as_secs_f64() / warm_after).min(1.0);
    let capacity = profile.initial_capacity + (1.0 - profile.initial_capacity) * warm_up_progress;
    let (lowest, highest) = LOAD_PER_CONNECTION_RANGE;
    let load_per_connection = load_per_connection
        .filter(|load| load.is_finite() && *load > 0.0)
        .unwrap_or(DEFAULT_LOAD_PER_CONNECTION)
        .clamp(lowest, highest);
    endpoints as f64 * USED_SHARE * profile.overload_factor * capacity
        / (warm_after * load_per_connection)
        / f64::from(proxies.max(1))
}
