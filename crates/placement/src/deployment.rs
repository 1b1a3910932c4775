//! The facts of a deployment, as a proxy knows them at its start.

use std::time::Duration;

/// Whether a session of a listener may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// It may.
    Idempotent,
    /// The servers of the scope execute it once: they discard repeats for this long, counted from the first
    /// attempt that may have been executed.
    IdempotencyKey(IdempotencyScope, Duration),
    /// It must not.
    NotIdempotent,
}

/// The servers that know each other's idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdempotencyScope {
    /// All of the deployment.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// What is promised to the clients of a listener.
#[derive(Clone, Copy, Debug)]
pub struct Listener {
    /// Whether its sessions may be executed more than once.
    pub retry_safety: RetrySafety,
    /// Time in which a session should be open.
    pub handshake_target: Duration,
    /// Longest that a message on an open connection should take; `None` where no target is set.
    pub message_target: Option<Duration>,
    /// Utility of its sessions as a part of the highest of all listeners, 0 to 1.
    pub priority_weight: f64,
}

/// How a freshly started server warms up, and what overloads it meanwhile.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowStartRule {
    /// Part of its capacity that it has at its start, 0 to 1.
    pub initial_capacity: f64,
    /// Time from its start to its whole capacity.
    pub warm_after: Duration,
    /// How often its present capacity may be sent to it over `overload_window`, by all proxies.
    pub overload_factor: f64,
    /// Span over which that is counted.
    pub overload_window: Duration,
}

/// How many retries, which are attempts beyond a session's first, a proxy may make over any `window`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetRule {
    /// Span over which retries and sessions are counted.
    pub window: Duration,
    /// Retries that are allowed whatever the traffic.
    pub min_retries: f64,
    /// Further retries for each session that came in the span.
    pub retries_per_session: f64,
}

/// The facts that decisions rest on.
#[derive(Clone, Debug, Default)]
pub struct Deployment {
    /// By index.
    pub listeners: Vec<Listener>,
    /// Proxies of the deployment, this one included.
    pub proxy_count: u32,
    /// Index of this proxy among them.
    pub proxy_index: u32,
    /// Index of this proxy's zone.
    pub zone: u8,
    /// How servers warm up.
    pub slow_start: SlowStartRule,
    /// Connections that all tenants together may have open within their quotas; 0 where that isn't known.
    pub total_connection_quota: f64,
    /// Time after which a proxy is taken to know of a change of an endpoint list that must be polled; `None` where
    /// the list is pushed.
    pub max_endpoint_list_age: Option<Duration>,
    /// Whether the weights on the endpoint list sink as servers fill.
    pub weights_reflect_load: bool,
    /// Attempts that a session may have.
    pub max_attempts: u32,
    /// `None` where retries aren't counted.
    pub retry_budget: Option<RetryBudgetRule>,
    /// Whether servers may be probed.
    pub may_probe: bool,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// Longest time to come again that a client heeds; zero where none may be given.
    pub max_retry_after: Duration,
    /// Whether packets pass through, so that a connection outlives the proxy that placed it.
    pub packet_passthrough: bool,
}
