//! The table `fleet`: the emulated hosts, their load model, their load reports, and how fast discovery announces
//! changes.

use super::time_span::time_span;
use serde::Deserialize;
use std::time::Duration;

/// The emulated hosts. Speeds and loads are relative to a standard host, whose speed is 1.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// The hosts, in groups that share their properties.
    pub hosts: Vec<HostGroup>,
    /// How old the values in a load report are.
    #[serde(default = "default_report_age", deserialize_with = "time_span")]
    pub report_age: Duration,
    /// The greatest random error of the utilization in a load report, as a share of it; 0: exact.
    #[serde(default = "default_report_noise")]
    pub report_noise: f64,
    /// The fields of a load report: `x0` (utilization) and `outstanding` (open sessions). Empty: hosts report nothing.
    #[serde(default = "default_report_fields")]
    pub report_fields: Vec<String>,
    /// The share of its speed that a host has right after its start.
    #[serde(default = "default_cold_share")]
    pub cold_share: f64,
    /// How long after its start a host reaches its full speed; the speed grows linearly until then.
    #[serde(
        default = "default_warm_up_time",
        rename = "warm_after",
        deserialize_with = "time_span"
    )]
    pub warm_up_time: Duration,
    /// A host that is warming up collapses when the set-up work of the last `overload_window` exceeds this multiple
    /// of what its present capacity can do in that time. A greater value tolerates more.
    #[serde(default = "default_overload_factor", rename = "tip_multiple")]
    pub overload_factor: f64,
    /// The time over which the set-up work of a warming host is summed for `overload_factor`.
    #[serde(
        default = "default_overload_window",
        rename = "overload_for",
        deserialize_with = "time_span"
    )]
    pub overload_window: Duration,
    /// The load that each group of clients adds once to every host with a session of it, as a share of a standard
    /// host's capacity.
    #[serde(default)]
    pub group_cost: f64,
    /// How long a standard host without other load works to set a session up.
    #[serde(default = "default_set_up_work", deserialize_with = "time_span")]
    pub set_up_work: Duration,
    /// How long an idle host takes to answer a message.
    #[serde(default = "default_message_time", deserialize_with = "time_span")]
    pub message_time: Duration,
    /// The greatest delay between a change and its announcement by a proxy's discovery agent; delays are drawn
    /// uniformly from 0 to it.
    #[serde(
        default = "default_max_propagation_delay",
        rename = "told_within",
        deserialize_with = "time_span"
    )]
    pub max_propagation_delay: Duration,
}

/// A group of hosts with the same properties.
#[derive(Clone, Debug, Deserialize)]
#[serde(expecting = "struct Hosts", deny_unknown_fields)]
pub struct HostGroup {
    /// How many hosts the group has.
    pub count: u32,
    /// Their zone; absent: they are spread over all zones in turn.
    #[serde(rename = "place")]
    pub zone: Option<String>,
    /// The speed of each, as a multiple of a standard host's.
    #[serde(default = "standard_multiple")]
    pub speed: f64,
    /// The capacity that discovery announces for each, as a multiple of a standard host's; need not match `speed`.
    #[serde(default = "standard_multiple")]
    pub weight: f64,
    /// The most sessions that each serves at once; more are rejected with `BUSY`.
    #[serde(default = "default_max_sessions", rename = "places")]
    pub max_sessions: u32,
    /// The most connections that each accepts at once, including those of health checks; more are closed at once.
    #[serde(default = "default_max_connections", rename = "room")]
    pub max_connections: u32,
    /// The cell, a part of the zone, to which they belong; matters for
    /// [`IdempotencyScope::Cell`](super::IdempotencyScope).
    #[serde(default)]
    pub cell: u16,
}

fn default_report_age() -> Duration {
    Duration::from_millis(500)
}

fn default_report_noise() -> f64 {
    0.05
}

fn default_report_fields() -> Vec<String> {
    ["x0", "outstanding"].map(String::from).to_vec()
}

fn default_cold_share() -> f64 {
    0.3
}

fn default_warm_up_time() -> Duration {
    Duration::from_secs(9)
}

fn default_overload_factor() -> f64 {
    4.0
}

fn default_overload_window() -> Duration {
    Duration::from_millis(1500)
}

fn default_set_up_work() -> Duration {
    Duration::from_millis(2)
}

fn default_message_time() -> Duration {
    Duration::from_millis(5)
}

fn default_max_propagation_delay() -> Duration {
    Duration::from_millis(300)
}

fn standard_multiple() -> f64 {
    1.0
}

fn default_max_sessions() -> u32 {
    2_000
}

fn default_max_connections() -> u32 {
    4_000
}
