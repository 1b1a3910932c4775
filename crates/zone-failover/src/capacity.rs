//! Estimates how many session setups per second the remaining zones can take from this proxy.
//!
//! Proxies do not talk to each other, so each one takes an equal part of the estimate.

use std::time::Duration;

/// Utilization up to which a server has spare capacity; above it, its sessions are served late.
const USABLE_UTILIZATION: f64 = 0.85;
/// Age from which a load report no longer counts.
const MAX_REPORT_AGE: Duration = Duration::from_secs(5);
/// Load reports that an estimate needs at least.
const MIN_REPORTS: usize = 2;
/// Seconds until a session setup shows in load reports.
const REPORT_DELAY_SECONDS: f64 = 1.5;
/// How often the spare capacity is given out within the report delay: clients arrive unevenly, so most proxies leave a
/// part of theirs unused.
const OVERCOMMIT: f64 = 3.0;

/// What a ready server last reported.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerLoadReport {
    /// Load over what the server can serve: 1 is full, more is overload.
    pub utilization: f64,
    /// Open connections of all proxies.
    pub connections: f64,
    /// Time since the report.
    pub age: Duration,
}

/// Session setups per second that one of `proxies` proxies may make: its equal part of the spare capacity of
/// `ready_servers` servers, for which the servers with a recent report stand. `None` where fewer than two reports are
/// recent, or none of them shows the load of a connection.
///
/// Assumes that servers without a report have as much spare capacity on average as those with one, and that the other
/// proxies get as many clients. The capacity is given out three times within the time in which a setup shows in reports:
/// where clients arrive evenly, servers get three times their spare capacity in that time, and no more after it.
pub fn setup_rate(
    reports: impl Iterator<Item = ServerLoadReport>,
    ready_servers: usize,
    proxies: u32,
) -> Option<f64> {
    let mut report_count: usize = 0;
    let mut spare_sum = 0.0;
    let mut loaded_count = 0.0;
    let mut load_per_connection_sum = 0.0;
    for report in reports.filter(is_usable) {
        report_count += 1;
        spare_sum += (USABLE_UTILIZATION - report.utilization).max(0.0);
        if report.connections >= 1.0 {
            loaded_count += 1.0;
            load_per_connection_sum += report.utilization / report.connections;
        }
    }
    let load_is_known = load_per_connection_sum > 0.0;
    if report_count < MIN_REPORTS || !load_is_known {
        return None;
    }
    let mean_spare = spare_sum / f64::from(report_count as u32);
    let spare_connections =
        mean_spare * ready_servers as f64 * loaded_count / load_per_connection_sum;
    Some(spare_connections / f64::from(proxies.max(1)) * OVERCOMMIT / REPORT_DELAY_SECONDS)
}

fn is_usable(report: &ServerLoadReport) -> bool {
    report.age <= MAX_REPORT_AGE && report.utilization.is_finite()
}
