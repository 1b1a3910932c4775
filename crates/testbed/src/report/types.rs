//! What a report holds. The JSON keys are those that `report.json` has had since its first version.

use crate::judge::Tally;
use serde::Serialize;

/// The results of a run. It serializes to `report.json`.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Name of the scenario.
    pub scenario: String,
    /// Name of the proxy's program.
    pub program: String,
    /// Seed that the run's plan was drawn from.
    pub seed: u64,
    /// Seed of the faults that were added, if any.
    pub chaos: Option<u64>,
    /// Always true: the hosts' load is a model's.
    pub simulated: bool,
    /// The testbed ran too late to tell anything of the proxy.
    pub void: bool,
    /// How late the testbed was at worst, in milliseconds.
    #[serde(rename = "rig_late_ms")]
    pub testbed_late_ms: f64,
    /// No rule was broken.
    pub rules_held: bool,
    /// The first violations.
    #[serde(rename = "breaches")]
    pub violations: Vec<ReportedViolation>,
    /// What became of the sessions.
    pub tally: Tally,
    /// How well clients were served.
    pub service: ServiceShares,
    /// How long set-ups took, by listener.
    pub set_ups: Vec<SetUpLatency>,
    /// From a session's request to its `UP`, in milliseconds.
    pub answer_ms: LatencySummary,
    /// From a client's line to its answer over an open connection, in milliseconds.
    pub message_ms: LatencySummary,
    /// How often a client gave up.
    pub clients_gave_up: u64,
    /// How often a client found no proxy.
    pub no_proxy: u64,
    /// Utilization of the hosts.
    #[serde(rename = "hosts")]
    pub host_utilization: HostUtilization,
    /// What each proxy used.
    pub proxies: Vec<ProxyUsage>,
    /// Service of each second.
    pub seconds: Vec<ServiceSecond>,
}

/// A violation as a report shows it.
#[derive(Debug, Serialize)]
pub struct ReportedViolation {
    /// Text of the rule.
    pub rule: &'static str,
    /// What broke it, in a sentence.
    #[serde(rename = "what")]
    pub description: String,
    /// The events that led there, a line each.
    pub timeline: Vec<String>,
}

/// Shares of the wanted seconds that were well served.
#[derive(Debug, Serialize)]
pub struct ServiceShares {
    /// Of all seconds.
    #[serde(rename = "whole")]
    pub overall: f64,
    /// Of the worst ten seconds in a row.
    pub worst_ten_seconds: f64,
    /// Of the listener that was served worst.
    pub worst_listener: NamedShare,
    /// Of the tenant that was served worst.
    #[serde(rename = "worst_member")]
    pub worst_tenant: NamedShare,
}

/// The share of one listener or tenant. It serializes to a pair.
#[derive(Clone, Debug, Default, Serialize)]
#[serde(into = "(String, f64)")]
pub struct NamedShare {
    /// Name of the listener or tenant.
    pub name: String,
    /// Its share.
    pub share: f64,
}

impl From<NamedShare> for (String, f64) {
    fn from(named: NamedShare) -> (String, f64) {
        (named.name, named.share)
    }
}

/// How long the set-ups of one listener took.
#[derive(Debug, Serialize)]
pub struct SetUpLatency {
    /// Name of the listener.
    pub listener: String,
    /// Share of set-ups within the listener's target.
    pub within_target: f64,
    /// From when a client wanted to be connected, in milliseconds.
    pub ms: LatencySummary,
}

/// Quantiles of a latency.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct LatencySummary {
    /// Number of values.
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

/// Utilization of the hosts: load that is asked of a host over what it can do, each host's mean over the run.
#[derive(Debug, Serialize)]
pub struct HostUtilization {
    /// Of the host with the least.
    #[serde(rename = "least")]
    pub min: f64,
    /// Over all hosts.
    pub mean: f64,
    /// Of the host with the most.
    #[serde(rename = "most")]
    pub max: f64,
    /// The highest that any host had in any second.
    pub peak: f64,
}

/// What the processes of one proxy used.
#[derive(Debug, Serialize)]
pub struct ProxyUsage {
    /// Share of a core, on average.
    pub cpu_share: f64,
    /// Share of a core, in the worst second.
    #[serde(rename = "cpu_share_most")]
    pub cpu_share_max: f64,
    /// Share of a core over the last third of the run, when the clients that were there before the run have connected.
    pub cpu_share_late: f64,
    /// Most resident memory, in KiB.
    pub resident_kb: u64,
    /// Most open descriptors.
    pub descriptors: u64,
}

/// Clients' seconds within one second of the run. It serializes to a pair.
#[derive(Clone, Copy, Debug, Default, Serialize)]
#[serde(into = "(f64, f64)")]
pub struct ServiceSecond {
    /// Seconds that clients wanted to be served.
    pub wanted: f64,
    /// Of these, seconds that they were well served.
    pub served: f64,
}

impl From<ServiceSecond> for (f64, f64) {
    fn from(second: ServiceSecond) -> (f64, f64) {
        (second.wanted, second.served)
    }
}
