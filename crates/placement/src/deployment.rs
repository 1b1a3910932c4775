//! What a proxy is told once, when it starts.

use std::time::Duration;

/// Whether a session of a listener may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    Idempotent,
    /// Repeats are discarded within the circle, for as long as given, counted from the first that may have
    /// run.
    IdempotencyKey(IdempotencyScope, Duration),
    NotIdempotent,
}

/// The servers that recognise each other's referenced sessions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdempotencyScope {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Copy, Debug)]
pub struct Listener {
    pub retry_safety: RetrySafety,
    pub handshake_target: Duration,
    /// Longest that a message on an open connection may take; `None` where nobody said.
    pub message_target: Option<Duration>,
    /// Utility of its sessions, as a part of the highest of all listeners'; 1 where nobody said.
    pub priority_weight: f64,
}

/// How a freshly started server warms, and what pushes it over.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowStartRule {
    pub initial_capacity: f64,
    pub warm_after: Duration,
    /// How often its present capacity may be sent to it, over which span.
    pub max_multiple: f64,
    pub span: Duration,
}

/// How many dials beyond each session's first a proxy may make over any `over`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetRule {
    pub span: Duration,
    pub free_retries: f64,
    /// For each session that it took in that time.
    pub retries_per_session: f64,
}

/// The facts of a deployment that decisions rest on.
#[derive(Clone, Debug, Default)]
pub struct Deployment {
    pub listeners: Vec<Listener>,
    pub proxy_count: u32,
    /// The number of this proxy among them.
    pub proxy_index: u32,
    pub zone: u8,
    pub slow_start: SlowStartRule,
    /// Connections that all members together may have open within their shares; 0 where nobody said.
    pub planned_connections: f64,
    /// How late a roster that must be asked may be; `None` where it is pushed.
    pub endpoint_poll_delay: Option<Duration>,
    /// Members of the roster carry weights that sink as they fill.
    pub weights_reflect_load: bool,
    pub max_attempts: u32,
    /// `None` where nobody counts them.
    pub retry_budget: Option<RetryBudgetRule>,
    pub may_probe: bool,
    pub may_cancel: bool,
    /// Longest come-back time that a client heeds; zero where none may be given.
    pub max_retry_after: Duration,
    /// Packets pass through, so a connection outlives the proxy that placed it.
    pub packet_passthrough: bool,
}
