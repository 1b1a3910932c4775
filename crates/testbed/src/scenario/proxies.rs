//! The tables `proxies`, `platform` and `front`: the processes under test, their limits, and the load balancer in front
//! of them.

use super::time_span::{optional_time_span, time_span};
use serde::Deserialize;
use std::time::Duration;

/// The proxy processes under test.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Proxies {
    /// The number of proxies.
    pub count: u32,
    /// The most file descriptors that each may use.
    #[serde(default = "default_max_descriptors", rename = "sockets")]
    pub max_descriptors: u32,
    /// The most memory that each may use, in MB.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: u32,
    /// The number of operators per proxy that request its status ten times a second; a quarter as many more send
    /// requests and never read the responses.
    #[serde(default, rename = "watchers")]
    pub status_pollers: u32,
    /// The number of operators per proxy that request its metrics over HTTP, one request after the other; if not 0, one
    /// more opens requests and stalls.
    #[serde(default, rename = "callers")]
    pub metrics_callers: u32,
    /// When the command `roll` restarts all proxies in turn, since the start of the run; absent: never.
    #[serde(default, deserialize_with = "optional_time_span")]
    pub roll_at: Option<Duration>,
    /// Whether each writes snapshots of its state, which it reads at its next start.
    #[serde(default, rename = "saves")]
    pub saves_snapshots: bool,
    /// Whether each goes through the stages of a warm start before it admits sessions without limit.
    #[serde(default, rename = "stages")]
    pub starts_by_stages: bool,
    /// The endpoint list that each is started with.
    #[serde(default, rename = "known")]
    pub initial_endpoints: InitialEndpointList,
    /// Whether each may request endpoint records from the other proxies during a warm start; needs `starts_by_stages`.
    #[serde(default, rename = "asks")]
    pub asks_peers: bool,
    /// Whether sessions of listeners with a smaller priority weight are rejected first while capacity is short.
    #[serde(default, rename = "by_worth")]
    pub rejects_by_priority: bool,
}

/// The endpoint list in a proxy's configuration file at its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(expecting = "enum Known", rename_all = "kebab-case")]
pub enum InitialEndpointList {
    /// The present list.
    #[default]
    Fresh,
    /// The list as it was before the run.
    Old,
    /// A list without endpoints.
    Empty,
}

/// Limits of the platform that the proxies must keep, and tolerances of the judge's rules.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Platform {
    /// The most attempts that a proxy may make for a session.
    pub max_dials: u32,
    /// Whether a proxy may probe hosts.
    pub may_probe: bool,
    /// How long a proxy waits for a connection to a host.
    #[serde(rename = "connect_within", deserialize_with = "time_span")]
    pub connect_timeout: Duration,
    /// The longest Retry-After that a proxy may send.
    #[serde(deserialize_with = "time_span")]
    pub max_retry_after: Duration,
    /// How long after a host's draining was announced a proxy may still dial it.
    #[serde(deserialize_with = "time_span")]
    pub drain_grace: Duration,
    /// How late a final answer may be, in addition to the measured lateness of the testbed itself.
    #[serde(deserialize_with = "time_span")]
    pub answer_slack: Duration,
    /// The lateness of the testbed above which a run's results are void.
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

/// The load balancer in front of the proxies.
#[derive(Clone, Debug, Deserialize)]
#[serde(expecting = "struct Front", deny_unknown_fields, default)]
pub struct FrontSettings {
    /// Time between two health checks of a proxy.
    #[serde(rename = "check", deserialize_with = "time_span")]
    pub health_check_interval: Duration,
    /// How long after its last good health check a proxy still receives clients.
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

fn default_max_descriptors() -> u32 {
    1_024
}

fn default_memory_mb() -> u32 {
    192
}
