//! The tables `listeners`, `members` (the tenants) and `traffic`: which sessions clients request, for which tenant, and
//! how often.

use super::time_span::time_span;
use serde::Deserialize;
use std::time::Duration;

/// Whether a session may be retried after an attempt that may have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(expecting = "enum Kind", rename_all = "kebab-case")]
pub enum RetrySafety {
    /// It is idempotent: any host may run it again.
    #[serde(rename = "repeatable")]
    Idempotent,
    /// It carries an idempotency key, by which the hosts of one [`IdempotencyScope`] discard repeats.
    #[serde(rename = "referenced")]
    IdempotencyKey,
    /// It must not run twice: no retry after an attempt that may have taken effect.
    #[serde(rename = "once-only")]
    NotIdempotent,
}

/// Which hosts share idempotency keys, and so discard a repeat that another of them has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(expecting = "enum Circle", rename_all = "kebab-case")]
pub enum IdempotencyScope {
    /// All hosts.
    All,
    /// The hosts of one zone.
    Zone,
    /// The hosts of one cell, a part of a zone.
    Cell,
}

/// A listener: a class of sessions with its own latency targets and retry rules.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listener {
    /// Its name in session requests.
    pub name: String,
    /// Whether its sessions may be retried.
    #[serde(rename = "kind")]
    pub retry_safety: RetrySafety,
    /// Which hosts share the idempotency keys of its sessions.
    #[serde(default = "default_idempotency_scope", rename = "circle")]
    pub idempotency_scope: IdempotencyScope,
    /// How long a host remembers an idempotency key; a repeat after that runs again.
    #[serde(default = "default_key_ttl", deserialize_with = "time_span")]
    pub key_ttl: Duration,
    /// Latency objective of setting a session up, from the request to the answer.
    #[serde(rename = "handshake_target", deserialize_with = "time_span")]
    pub set_up_target: Duration,
    /// How long a client waits for the answer to a session request.
    #[serde(rename = "dial_timeout", deserialize_with = "time_span")]
    pub answer_timeout: Duration,
    /// Latency objective of a message on an open session, from its sending to the answer.
    #[serde(deserialize_with = "time_span")]
    pub message_target: Duration,
    /// Priority weight of its sessions; those with a smaller weight are rejected first while capacity is short, if
    /// [`rejects_by_priority`](super::Proxies::rejects_by_priority) is set.
    #[serde(default = "default_weight", rename = "utility")]
    pub priority_weight: f64,
    /// The mean load of a session, as a share of a standard host's capacity.
    pub work: f64,
    /// Its part of all sessions, relative to the weights of the other listeners.
    #[serde(default = "default_weight", rename = "portion")]
    pub traffic_weight: f64,
}

/// A tenant, on whose behalf sessions are opened.
#[derive(Clone, Debug, Deserialize)]
#[serde(expecting = "struct Member", deny_unknown_fields)]
pub struct Tenant {
    /// Its name in session requests.
    pub name: String,
    /// Its part of all sessions and its share of the capacity, relative to the weights of the other tenants.
    #[serde(default = "default_weight", rename = "portion")]
    pub weight: f64,
}

/// How many clients arrive, how long they stay, and how they behave.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    /// New clients per second, before `curve` is applied.
    pub rate: f64,
    /// Changes of the rate over time, interpolated linearly between the points; empty: the rate is constant.
    #[serde(default)]
    pub curve: Vec<RatePoint>,
    /// How long clients want to be connected.
    #[serde(rename = "life")]
    pub session_length: SessionLength,
    /// The number of groups that clients may belong to; a host bears the cost of a group once for all its sessions.
    #[serde(default)]
    pub groups: u32,
    /// Share of clients that belong to a group.
    #[serde(default, rename = "grouped")]
    pub grouped_share: f64,
    /// Time between two messages of a client on an open session.
    #[serde(
        default = "default_message_interval",
        rename = "message_every",
        deserialize_with = "time_span"
    )]
    pub message_interval: Duration,
    /// How a client retries after a rejected or failed request.
    #[serde(default)]
    pub retries: Retries,
    /// The share of clients that may give up before they are answered. Clients of listeners that are not idempotent
    /// never do.
    #[serde(default, rename = "impatient")]
    pub impatient_share: f64,
    /// The number of clients that count as connected before the run, spread over the hosts.
    #[serde(default)]
    pub inherited: u32,
}

/// The rate of new clients at one time of the run.
#[derive(Clone, Debug, Deserialize)]
#[serde(expecting = "struct Point", deny_unknown_fields)]
pub struct RatePoint {
    /// Time since the start of the run.
    #[serde(deserialize_with = "time_span")]
    pub at: Duration,
    /// The rate then, as a multiple of [`Traffic::rate`].
    #[serde(rename = "times")]
    pub rate_multiple: f64,
}

/// The log-normal distribution of the time for which clients want to be connected.
#[derive(Clone, Debug, Deserialize)]
#[serde(expecting = "struct Life", deny_unknown_fields)]
pub struct SessionLength {
    /// The median of that time.
    #[serde(deserialize_with = "time_span")]
    pub median: Duration,
    /// Standard deviation of the length's natural logarithm; 0: always the median.
    #[serde(default)]
    pub sigma: f64,
}

/// How a client retries after a rejected or failed request.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Retries {
    /// The most retries in a row before a client gives up; a session that comes up resets the count.
    #[serde(rename = "most")]
    pub max_retries: u32,
    /// The mean wait before a retry when the answer has no Retry-After.
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

fn default_idempotency_scope() -> IdempotencyScope {
    IdempotencyScope::All
}

fn default_key_ttl() -> Duration {
    Duration::from_secs(5)
}

fn default_message_interval() -> Duration {
    Duration::from_secs(2)
}

fn default_weight() -> f64 {
    1.0
}
