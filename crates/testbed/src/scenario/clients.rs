//! The tables `listeners`, `members` and `traffic`: which sessions clients ask for, for whom, and how often.

use super::time_span::time_span;
use serde::Deserialize;
use std::time::Duration;

/// What may be done with a session that perhaps has run already.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(expecting = "enum Kind", rename_all = "kebab-case")]
pub enum RetrySafety {
    /// It is idempotent and may run again.
    #[serde(rename = "repeatable")]
    Idempotent,
    /// It has an idempotency key, by which hosts within its [`IdempotencyScope`] discard repeats.
    #[serde(rename = "referenced")]
    IdempotencyKey,
    /// It must not run twice.
    #[serde(rename = "once-only")]
    NotIdempotent,
}

/// Which hosts discard repeats with the same idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(expecting = "enum Circle", rename_all = "kebab-case")]
pub enum IdempotencyScope {
    /// All of them.
    All,
    /// Those of the zone.
    Zone,
    /// Those of the cell.
    Cell,
}

/// A kind of sessions.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listener {
    /// Its name on the wire.
    pub name: String,
    /// Whether its sessions may be retried.
    #[serde(rename = "kind")]
    pub retry_safety: RetrySafety,
    /// Where its idempotency keys count.
    #[serde(default = "default_scope", rename = "circle")]
    pub idempotency_scope: IdempotencyScope,
    /// How long a host keeps an idempotency key.
    #[serde(default = "default_key_ttl", deserialize_with = "time_span")]
    pub key_ttl: Duration,
    /// Latency objective of a set-up.
    #[serde(rename = "handshake_target", deserialize_with = "time_span")]
    pub set_up_target: Duration,
    /// How long a client waits for its answer.
    #[serde(rename = "dial_timeout", deserialize_with = "time_span")]
    pub answer_timeout: Duration,
    /// Latency objective of a message.
    #[serde(deserialize_with = "time_span")]
    pub message_target: Duration,
    /// Priority weight of its sessions.
    #[serde(default = "one", rename = "utility")]
    pub priority_weight: f64,
    /// Share of a standard host that a connection asks for, on average.
    pub work: f64,
    /// Its part of the sessions, beside the other listeners'.
    #[serde(default = "one", rename = "portion")]
    pub traffic_weight: f64,
}

/// A tenant.
#[derive(Clone, Debug, Deserialize)]
#[serde(expecting = "struct Member", deny_unknown_fields)]
pub struct Tenant {
    /// Its name on the wire.
    pub name: String,
    /// Its part of the sessions, and of the capacity, beside the other tenants'.
    #[serde(default = "one", rename = "portion")]
    pub weight: f64,
}

/// What clients do.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    /// New clients a second.
    pub rate: f64,
    /// Points between which the rate is a straight line, as multiples of it.
    #[serde(default)]
    pub curve: Vec<RatePoint>,
    /// How long sessions last.
    #[serde(rename = "life")]
    pub session_length: SessionLength,
    /// Groups that clients belong to.
    #[serde(default)]
    pub groups: u32,
    /// Share of clients that belong to a group.
    #[serde(default, rename = "grouped")]
    pub grouped_share: f64,
    /// Time between a client's messages.
    #[serde(
        default = "default_message_every",
        rename = "message_every",
        deserialize_with = "time_span"
    )]
    pub message_interval: Duration,
    /// What a client does that was not served.
    #[serde(default)]
    pub retries: Retries,
    /// Share of clients that leave before they are answered.
    #[serde(default, rename = "impatient")]
    pub impatient_share: f64,
    /// Clients connected before the run.
    #[serde(default)]
    pub inherited: u32,
}

/// The rate of new clients at a time.
#[derive(Clone, Debug, Deserialize)]
#[serde(expecting = "struct Point", deny_unknown_fields)]
pub struct RatePoint {
    /// Since the start.
    #[serde(deserialize_with = "time_span")]
    pub at: Duration,
    /// As a multiple of the traffic's rate.
    #[serde(rename = "times")]
    pub rate_multiple: f64,
}

/// The log-normal distribution of how long sessions last.
#[derive(Clone, Debug, Deserialize)]
#[serde(expecting = "struct Life", deny_unknown_fields)]
pub struct SessionLength {
    /// Half of them last longer.
    #[serde(deserialize_with = "time_span")]
    pub median: Duration,
    /// Standard deviation of the logarithm.
    #[serde(default)]
    pub sigma: f64,
}

/// What a client does that was not served.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Retries {
    /// How often it comes again, at most.
    #[serde(rename = "most")]
    pub max_retries: u32,
    /// How long it waits before that, unless it was told.
    #[serde(deserialize_with = "time_span")]
    pub pause: Duration,
}

impl Default for Retries {
    fn default() -> Self {
        Retries {
            max_retries: 4,
            pause: Duration::from_millis(300),
        }
    }
}

fn default_scope() -> IdempotencyScope {
    IdempotencyScope::All
}

fn default_key_ttl() -> Duration {
    Duration::from_secs(5)
}

fn default_message_every() -> Duration {
    Duration::from_secs(2)
}

fn one() -> f64 {
    1.0
}
