//! The measurements at one size.

use serde::Serialize;

/// The measurements at one size.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ScalePoint {
    /// Name of the series that the size belongs to.
    #[serde(rename = "what")]
    pub series: &'static str,
    /// Number of hosts.
    pub hosts: u32,
    /// Number of proxies.
    pub proxies: u32,
    /// Connections that are open throughout the run, over all proxies.
    #[serde(rename = "standing")]
    pub standing_connections: u32,
    /// New sessions a second, over all proxies.
    #[serde(rename = "set_ups")]
    pub set_ups_per_second: f64,
    /// Lines that clients send a second, over all proxies; as many answers come back.
    #[serde(rename = "lines")]
    pub lines_per_second: f64,
    /// Median time from a request to its answer, in milliseconds.
    pub answer_p50_ms: f64,
    /// 99th percentile of the time from a request to its answer, in milliseconds.
    pub answer_p99_ms: f64,
    /// 99th percentile of the time from a line to its answer, in milliseconds.
    pub message_p99_ms: f64,
    /// Share of a core that one proxy used, as a mean over the proxies.
    #[serde(rename = "cpu")]
    pub cpu_share: f64,
    /// Share of a core that one proxy used in the last third of the run, as a mean over the proxies.
    #[serde(rename = "cpu_late")]
    pub cpu_share_late: f64,
    /// Resident memory of one proxy in KiB, as a mean over the proxies.
    pub resident_kb: f64,
    /// Open descriptors of one proxy, as a mean over the proxies.
    pub descriptors: f64,
    /// Share of all sessions that a host accepted.
    pub accepted_share: f64,
    /// The greatest lateness of the testbed, in milliseconds.
    #[serde(rename = "rig_late_ms")]
    pub testbed_late_ms: f64,
    /// Whether the testbed was so late that the measurements are invalid.
    pub void: bool,
    /// Whether no rule was broken.
    pub rules_held: bool,
}
