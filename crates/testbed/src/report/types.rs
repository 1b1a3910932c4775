//! The contents of a report. Serde attributes keep the keys of `report.json` as they were in its first version.

use crate::judge::Tally;
use serde::Serialize;

/// The results of a run. It serializes to `report.json`.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Name of the scenario.
    pub scenario: String,
    /// Name of the proxy program under test.
    pub program: String,
    /// Seed of the run's plan.
    pub seed: u64,
    /// Seed of the random faults that were added; `None` if only the scenario's faults were played.
    pub chaos: Option<u64>,
    /// Always true, because the load of hosts is computed by a model.
    pub simulated: bool,
    /// The testbed was so far behind its schedule that the results say nothing about the proxy.
    pub void: bool,
    /// By how much the testbed was behind its schedule at worst, in milliseconds.
    #[serde(rename = "rig_late_ms")]
    pub testbed_late_ms: f64,
    /// No rule was broken.
    pub rules_held: bool,
    /// The violations, up to a fixed number.
    #[serde(rename = "breaches")]
    pub violations: Vec<ReportedViolation>,
    /// Sessions and misbehaving clients, counted by outcome.
    pub tally: Tally,
    /// How well clients were served.
    pub service: ServiceShares,
    /// Set-up times of each listener.
    pub set_ups: Vec<SetUpLatency>,
    /// Time from writing the `OPEN` line to reading `UP`, in milliseconds.
    pub answer_ms: LatencySummary,
    /// Time from a message over an open connection to its `ACK`, in milliseconds.
    pub message_ms: LatencySummary,
    /// Clients that gave up after the scenario's maximum of retries.
    pub clients_gave_up: u64,
    /// Attempts that found no proxy or could not connect to it.
    pub no_proxy: u64,
    /// Utilization of the hosts.
    #[serde(rename = "hosts")]
    pub host_utilization: HostUtilization,
    /// CPU time, memory and descriptors of each proxy, by its number.
    pub proxies: Vec<ProxyUsage>,
    /// The service of each second of the run.
    pub seconds: Vec<ServiceSecond>,
}

/// A violation as a report shows it.
#[derive(Debug, Serialize)]
pub struct ReportedViolation {
    /// Name of the rule.
    pub rule: &'static str,
    /// What happened, as one sentence.
    #[serde(rename = "what")]
    pub description: String,
    /// The events that led to the violation, one line each.
    pub timeline: Vec<String>,
}

/// Shares of the clients' wanted time that were well served, from 0 to 1; 1 if no time was wanted.
#[derive(Debug, Serialize)]
pub struct ServiceShares {
    /// Over the whole run.
    #[serde(rename = "whole")]
    pub overall: f64,
    /// Over the worst ten seconds in a row.
    pub worst_ten_seconds: f64,
    /// The listener with the lowest share.
    pub worst_listener: NamedShare,
    /// The tenant with the lowest share.
    #[serde(rename = "worst_member")]
    pub worst_tenant: NamedShare,
}

/// The share of one listener or tenant. It serializes to a pair of name and share.
#[derive(Clone, Debug, Default, Serialize)]
#[serde(into = "(String, f64)")]
pub struct NamedShare {
    /// Name of the listener or tenant.
    pub name: String,
    /// Share of its clients' wanted time that was well served, from 0 to 1.
    pub share: f64,
}

impl From<NamedShare> for (String, f64) {
    fn from(named: NamedShare) -> (String, f64) {
        (named.name, named.share)
    }
}

/// The set-up times of one listener.
#[derive(Debug, Serialize)]
pub struct SetUpLatency {
    /// Name of the listener.
    pub listener: String,
    /// Share of set-ups within the listener's target.
    pub within_target: f64,
    /// Time from when a client wanted to be connected to `UP`, in milliseconds.
    pub ms: LatencySummary,
}

/// Quantiles of a latency, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct LatencySummary {
    /// Number of measurements.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 90th percentile.
    pub p90: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Highest value.
    #[serde(rename = "most")]
    pub max: f64,
}

/// Utilization of the hosts: the load asked of a host over its capacity. `min`, `mean` and `max` compare the hosts'
/// means over the run.
#[derive(Debug, Serialize)]
pub struct HostUtilization {
    /// Lowest mean of a host.
    #[serde(rename = "least")]
    pub min: f64,
    /// Mean over all hosts.
    pub mean: f64,
    /// Highest mean of a host.
    #[serde(rename = "most")]
    pub max: f64,
    /// Highest utilization of any host in any second.
    pub peak: f64,
}

/// Resources that the processes of one proxy used.
#[derive(Debug, Serialize)]
pub struct ProxyUsage {
    /// CPU time per second, in cores, on average.
    pub cpu_share: f64,
    /// CPU time in the worst second, in cores.
    #[serde(rename = "cpu_share_most")]
    pub cpu_share_max: f64,
    /// CPU time per second over the last third of the run, in cores: by then the clients that count as connected since
    /// before the run have connected.
    pub cpu_share_late: f64,
    /// Highest resident memory, in KiB.
    pub resident_kb: u64,
    /// Highest number of open descriptors.
    pub descriptors: u64,
}

/// Time of all clients within one second of the run, in seconds. It serializes to a pair of wanted and served time.
#[derive(Clone, Copy, Debug, Default, Serialize)]
#[serde(into = "(f64, f64)")]
pub struct ServiceSecond {
    /// Time in which clients wanted to be connected.
    pub wanted: f64,
    /// Time within `wanted` in which they were well served.
    pub served: f64,
}

impl From<ServiceSecond> for (f64, f64) {
    fn from(second: ServiceSecond) -> (f64, f64) {
        (second.wanted, second.served)
    }
}
