//! The tables `proxies`, `platform` and `front`: the processes under test, what they may do, and the load balancer before
//! them.

use super::time_span::{optional_time_span, time_span};
use serde::Deserialize;
use std::time::Duration;

/// The proxies, which are processes of their own.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Proxies {
    /// How many there are.
    pub count: u32,
    /// Descriptors that each may use.
    #[serde(default = "default_sockets", rename = "sockets")]
    pub max_descriptors: u32,
    /// Memory that each may use.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: u32,
    /// Operators that ask each proxy for its status ten times a second, and a quarter more that ask and never read.
    #[serde(default, rename = "watchers")]
    pub status_pollers: u32,
    /// Operators that ask each proxy for its metrics over HTTP, again and again; where there are any, one more stalls.
    #[serde(default, rename = "callers")]
    pub metrics_callers: u32,
    /// When all are restarted in turn by the command `roll`.
    #[serde(default, deserialize_with = "optional_time_span")]
    pub roll_at: Option<Duration>,
    /// Whether each keeps snapshots of what it knows for its next start.
    #[serde(default, rename = "saves")]
    pub saves_snapshots: bool,
    /// Whether each starts by stages.
    #[serde(default, rename = "stages")]
    pub starts_by_stages: bool,
    /// The endpoint list that each is started with.
    #[serde(default, rename = "known")]
    pub initial_endpoints: InitialEndpointList,
    /// Whether each may ask the others what they know.
    #[serde(default, rename = "asks")]
    pub asks_peers: bool,
    /// Whether the priority weight decides who is rejected first while capacity is short.
    #[serde(default, rename = "by_worth")]
    pub rejects_by_priority: bool,
}

/// The endpoint list that a proxy's configuration has when it is started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(expecting = "enum Known", rename_all = "kebab-case")]
pub enum InitialEndpointList {
    /// As it is then.
    #[default]
    Fresh,
    /// As it was before the run.
    Old,
    /// Nobody.
    Empty,
}

/// What the platform permits, and the figures of the rules.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Platform {
    /// Attempts that a proxy may make for a session.
    pub max_dials: u32,
    /// Whether a proxy may send health checks.
    pub may_probe: bool,
    /// How long a proxy waits for a host's connection.
    #[serde(rename = "connect_within", deserialize_with = "time_span")]
    pub connect_timeout: Duration,
    /// Longest Retry-After that a proxy may give.
    #[serde(deserialize_with = "time_span")]
    pub max_retry_after: Duration,
    /// How long a proxy may go on with a host that drains.
    #[serde(deserialize_with = "time_span")]
    pub drain_grace: Duration,
    /// How late a final answer may be, beside what the testbed itself was late.
    #[serde(deserialize_with = "time_span")]
    pub answer_slack: Duration,
    /// Lateness of the testbed above which a run tells nothing.
    #[serde(rename = "void_above", deserialize_with = "time_span")]
    pub max_lateness: Duration,
}

impl Default for Platform {
    fn default() -> Self {
        Platform {
            max_dials: 4,
            may_probe: true,
            connect_timeout: Duration::from_millis(200),
            max_retry_after: Duration::from_secs(2),
            drain_grace: Duration::from_secs(1),
            answer_slack: Duration::from_millis(66),
            max_lateness: Duration::from_millis(250),
        }
    }
}

/// The load balancer before the proxies.
#[derive(Clone, Debug, Deserialize)]
#[serde(expecting = "struct Front", deny_unknown_fields, default)]
pub struct FrontSettings {
    /// Time between its health checks of a proxy.
    #[serde(rename = "check", deserialize_with = "time_span")]
    pub health_check_interval: Duration,
    /// How long a dead proxy goes on being used.
    #[serde(rename = "forget", deserialize_with = "time_span")]
    pub removal_delay: Duration,
}

impl Default for FrontSettings {
    fn default() -> Self {
        FrontSettings {
            health_check_interval: Duration::from_millis(250),
            removal_delay: Duration::from_millis(1500),
        }
    }
}

fn default_sockets() -> u32 {
    1_024
}

fn default_memory_mb() -> u32 {
    192
}
