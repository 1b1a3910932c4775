//! Configuration of a deployment that the placement engine decides by. It is fixed when a proxy starts.

use std::time::Duration;

/// Whether a session of a listener may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// It may, any number of times.
    Idempotent,
    /// The servers of the scope execute it once: they discard duplicates for this long, counted from the first attempt
    /// that may have been executed.
    IdempotencyKey(IdempotencyScope, Duration),
    /// It must not.
    NotIdempotent,
}

/// The set of servers that share their idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdempotencyScope {
    /// All servers of the deployment.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// Service targets and properties of a listener's sessions.
#[derive(Clone, Copy, Debug)]
pub struct Listener {
    /// Whether its sessions may be executed more than once.
    pub retry_safety: RetrySafety,
    /// Time within which a session should open, from its request.
    pub handshake_target: Duration,
    /// Time within which a message on an open connection should be handled; `None` where no target is set.
    pub message_target: Option<Duration>,
    /// Utility of its sessions as a fraction of the highest of all listeners, 0 to 1. Sessions of lower weight are
    /// rejected first when servers fill up.
    pub priority_weight: f64,
}

/// How a recently started server warms up, and how many sessions overload it meanwhile.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowStartRule {
    /// Fraction of its full capacity that a server has when it starts, 0 to 1.
    pub initial_capacity: f64,
    /// Time from a server's start until it has its full capacity.
    pub warm_after: Duration,
    /// Most that all proxies may send a server over `overload_window`, as a multiple of the rate that would fill its
    /// current capacity within `warm_after`.
    pub overload_factor: f64,
    /// Sliding window over which the sessions sent to a server are counted.
    pub overload_window: Duration,
}

/// How many retries (attempts after a session's first) a proxy may send within any `window`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetRule {
    /// Sliding window over which retries and sessions are counted.
    pub window: Duration,
    /// Retries that are allowed regardless of the number of sessions.
    pub min_retries: f64,
    /// Further retries that are allowed for each session requested within the window.
    pub retries_per_session: f64,
}

/// Configuration of a deployment, from the settings of one of its proxies.
#[derive(Clone, Debug, Default)]
pub struct Deployment {
    /// The listeners, by index.
    pub listeners: Vec<Listener>,
    /// Number of proxies of the deployment, including this one.
    pub proxy_count: u32,
    /// Index of this proxy among the proxies of the deployment, from 0.
    pub proxy_index: u32,
    /// Index of this proxy's zone.
    pub zone: u8,
    /// How servers warm up.
    pub slow_start: SlowStartRule,
    /// Sum of the tenants' quotas of open connections; 0 where that isn't known.
    pub total_connection_quota: f64,
    /// Time within which a proxy must learn of a change of the endpoint list, if the list must be polled; `None` where
    /// it is pushed.
    pub max_endpoint_list_age: Option<Duration>,
    /// Whether the weights on the endpoint list decrease as servers fill.
    pub weights_reflect_load: bool,
    /// Most attempts that a session may have, including the first; 0 counts as 1.
    pub max_attempts: u32,
    /// Limit on retries; `None` where they are not limited.
    pub retry_budget: Option<RetryBudgetRule>,
    /// Whether servers may be probed.
    pub may_probe: bool,
    /// Whether an attempt may be cancelled once its client has left.
    pub may_cancel: bool,
    /// Longest `retry_after` time that a client observes; zero where a rejection may not give one.
    pub max_retry_after: Duration,
    /// Whether the proxy forwards packets rather than connections, so that a connection outlives the proxy that placed
    /// it. Servers are then drawn by each flow's hash key, alike at every proxy.
    pub packet_passthrough: bool,
}
