//! Measures how the cost and latency of proxies grow with new sessions a second, lines a second, standing connections, hosts
//! and proxies.
//!
//! - `point.rs`: the measurements at one size;
//! - `sizes.rs`: the sizes that are measured, and the scenario of one;
//! - `results.rs`: the table and the charts of the results.

mod point;
mod results;
mod sizes;

use crate::proxy_process::Program;
use crate::report::{ProxyUsage, Report};
use crate::run::{RunError, run_without_files};
use crate::scenario::Scenario;

pub use point::ScalePoint;
pub use results::{plots, table};
pub use sizes::{ScaleSize, sizes};

/// Seed of the runs of all measurements.
const SEED: u64 = 1;

/// Lateness of the testbed, in milliseconds, above which a point is void.
const MAX_TESTBED_LATE_MS: f64 = 100.0;

/// Measures one size by a run whose scenario lasts `seconds`.
pub async fn measure(
    size: &ScaleSize,
    program: &Program,
    seconds: u32,
) -> Result<ScalePoint, RunError> {
    let scenario = Scenario::read(&sizes::scenario_text(size, seconds))?;
    let outcome = run_without_files(scenario, program, SEED, None).await?;
    let report = Report::from_run(&outcome, &program.name, SEED, None);
    Ok(scale_point(size, seconds, &report))
}

fn scale_point(size: &ScaleSize, seconds: u32, report: &Report) -> ScalePoint {
    let mean = |figure: fn(&ProxyUsage) -> f64| {
        report.proxies.iter().map(figure).sum::<f64>() / report.proxies.len().max(1) as f64
    };
    let tally = &report.tally;
    let new_sessions = tally
        .sessions
        .saturating_sub(u64::from(size.standing_connections));
    ScalePoint {
        series: size.series,
        hosts: size.hosts,
        proxies: size.proxies,
        standing_connections: size.standing_connections,
        set_ups_per_second: new_sessions as f64 / f64::from(seconds),
        lines_per_second: report.message_ms.count as f64 / f64::from(seconds),
        answer_p50_ms: report.answer_ms.p50,
        answer_p99_ms: report.answer_ms.p99,
        message_p99_ms: report.message_ms.p99,
        cpu_share: mean(|proxy| proxy.cpu_share),
        cpu_share_late: mean(|proxy| proxy.cpu_share_late),
        resident_kb: mean(|proxy| proxy.resident_kb as f64),
        descriptors: mean(|proxy| proxy.descriptors as f64),
        accepted_share: tally.accepted as f64 / tally.sessions.max(1) as f64,
        testbed_late_ms: report.testbed_late_ms,
        void: report.testbed_late_ms > MAX_TESTBED_LATE_MS,
        rules_held: report.rules_held,
    }
}
