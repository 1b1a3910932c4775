//! The table `fleet`: the stand-in hosts, what they can do, and what they report.

use super::time_span::time_span;
use serde::Deserialize;
use std::time::Duration;

/// The stand-in hosts.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Groups of hosts alike.
    pub hosts: Vec<HostGroup>,
    /// Age of what a load report tells.
    #[serde(default = "default_report_age", deserialize_with = "time_span")]
    pub report_age: Duration,
    /// How far off the figures of a load report are, as a share of them.
    #[serde(default = "default_report_noise")]
    pub report_noise: f64,
    /// Fields of a load report.
    #[serde(default = "default_report_fields")]
    pub report_fields: Vec<String>,
    /// Share of its speed that a host has when it has just started.
    #[serde(default = "default_cold_share")]
    pub cold_share: f64,
    /// When a host that has started has all of its speed.
    #[serde(
        default = "default_warm_after",
        rename = "warm_after",
        deserialize_with = "time_span"
    )]
    pub warm_up_time: Duration,
    /// The multiple of its present capacity that a cold host may be sent for `overload_window` before it collapses.
    #[serde(default = "default_tip_multiple", rename = "tip_multiple")]
    pub overload_factor: f64,
    /// How long a cold host bears more than that.
    #[serde(
        default = "default_overload_for",
        rename = "overload_for",
        deserialize_with = "time_span"
    )]
    pub overload_window: Duration,
    /// Share of a standard host that each group of clients costs every host holding any of it.
    #[serde(default)]
    pub group_cost: f64,
    /// Work of a set-up, in seconds of a standard host.
    #[serde(default = "default_set_up_work", deserialize_with = "time_span")]
    pub set_up_work: Duration,
    /// What a message takes at a host at rest.
    #[serde(default = "default_message_time", deserialize_with = "time_span")]
    pub message_time: Duration,
    /// Longest time that a change takes to reach a proxy's discovery agent.
    #[serde(
        default = "default_told_within",
        rename = "told_within",
        deserialize_with = "time_span"
    )]
    pub max_propagation_delay: Duration,
}

/// Hosts that are alike.
#[derive(Clone, Debug, Deserialize)]
#[serde(expecting = "struct Hosts", deny_unknown_fields)]
pub struct HostGroup {
    /// How many there are.
    pub count: u32,
    /// Their zone. Absent: all zones in turn.
    #[serde(rename = "place")]
    pub zone: Option<String>,
    /// Their speed, as a multiple of a standard host's.
    #[serde(default = "standard")]
    pub speed: f64,
    /// The capacity that discovery tells of them, as a multiple of a standard host's.
    #[serde(default = "standard")]
    pub weight: f64,
    /// Connections that each serves at most.
    #[serde(default = "default_places", rename = "places")]
    pub max_sessions: u32,
    /// Sockets that each accepts at most, those of health checks among them.
    #[serde(default = "default_room", rename = "room")]
    pub max_connections: u32,
    /// The part of the zone in which they share idempotency keys.
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

fn default_warm_after() -> Duration {
    Duration::from_secs(9)
}

fn default_tip_multiple() -> f64 {
    4.0
}

fn default_overload_for() -> Duration {
    Duration::from_millis(1500)
}

fn default_set_up_work() -> Duration {
    Duration::from_millis(2)
}

fn default_message_time() -> Duration {
    Duration::from_millis(5)
}

fn default_told_within() -> Duration {
    Duration::from_millis(300)
}

fn standard() -> f64 {
    1.0
}

fn default_places() -> u32 {
    2_000
}

fn default_room() -> u32 {
    4_000
}
