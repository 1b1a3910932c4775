//! Estimates how many session setups per second the remaining zones can take from this proxy.
//!
//! Proxies do not coordinate their session setups, so each one takes an equal part of the estimate.

use std::time::Duration;

/// Utilization (1 is full) up to which a server counts as having spare capacity; above it, its sessions are served late.
const USABLE_UTILIZATION: f64 = 0.85;
/// Load reports older than this do not count.
const MAX_REPORT_AGE: Duration = Duration::from_secs(5);
/// Fewest recent load reports from which an estimate is made.
const MIN_REPORTS: usize = 2;
/// Time from a session setup until load reports include it, in seconds.
const REPORT_DELAY_SECONDS: f64 = 1.5;
/// How many times the spare capacity is given out within [`REPORT_DELAY_SECONDS`]: clients arrive unevenly, so most
/// proxies leave a part of theirs unused.
const OVERCOMMIT_FACTOR: f64 = 3.0;

/// The last load report of a ready server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerLoadReport {
    /// Load divided by what the server can serve: 1 is full, more is overload. Ignored if not finite.
    pub utilization: f64,
    /// Open connections to the server, from all proxies.
    pub connections: f64,
    /// Time since the server sent the report.
    pub age: Duration,
}

/// Session setups per second that one of `proxies` proxies (zero counts as one) may make: its equal part of the spare
/// capacity of `ready_servers` servers, estimated from those of them with a recent report. `None` if fewer than two
/// reports are recent, or none of them gives the load of a connection.
///
/// Assumes that servers without a report have as much spare capacity on average as those with one, and that all proxies
/// get equally many clients. The capacity is given out three times within the time that it takes until reports include a
/// setup: if clients arrive evenly, servers get three times their spare capacity in that time, and no more after it.
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
    Some(spare_connections / f64::from(proxies.max(1)) * OVERCOMMIT_FACTOR / REPORT_DELAY_SECONDS)
}

fn is_usable(report: &ServerLoadReport) -> bool {
    report.age <= MAX_REPORT_AGE && report.utilization.is_finite()
}
