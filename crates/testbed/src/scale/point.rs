//! What was measured at one size.

use serde::Serialize;

/// What was measured at one size.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ScalePoint {
    /// Name of the series that the size belongs to.
    #[serde(rename = "what")]
    pub series: &'static str,
    /// Number of hosts.
    pub hosts: u32,
    /// Number of proxies.
    pub proxies: u32,
    /// Connections that stand throughout the run.
    pub standing: u32,
    /// Sessions a second, over all proxies.
    pub set_ups: f64,
    /// Lines a second, in one direction, over all proxies.
    pub lines: f64,
    /// Median time from a request to its answer, in milliseconds.
    pub answer_p50_ms: f64,
    /// 99th percentile of the time from a request to its answer, in milliseconds.
    pub answer_p99_ms: f64,
    /// 99th percentile of the time from a line to its answer, in milliseconds.
    pub message_p99_ms: f64,
    /// Share of a core that one proxy used, on average.
    pub cpu: f64,
    /// The same over the last third of the run.
    pub cpu_late: f64,
    /// Resident memory of one proxy in KiB, on average.
    pub resident_kb: f64,
    /// Descriptors of one proxy, on average.
    pub descriptors: f64,
    /// Share of sessions that were accepted.
    pub accepted_share: f64,
    /// How late the testbed was at worst, in milliseconds.
    #[serde(rename = "rig_late_ms")]
    pub testbed_late_ms: f64,
    /// The testbed ran too late to tell anything of the proxy.
    pub void: bool,
    /// No rule was broken.
    pub rules_held: bool,
}
