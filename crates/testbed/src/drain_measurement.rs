//! Measures how a proxy migrates its sessions: in a drain on request, after SIGTERM, and in a roll of all proxies.

mod result;
mod scenario_text;

use crate::event_log::{Event, LoggedEvent, SessionId};
use crate::proxy_process::Program;
use crate::report::Report;
use crate::run::{RunError, RunOutcome, run_without_files};
use crate::scenario::Scenario;
use scenario_text::{DRAIN_AT_SECONDS, DRAIN_END_SECONDS, scenario_text};
use std::collections::HashMap;
use std::time::Duration;

pub use result::{DrainMethod, DrainResult, TABLE_HEADER, table_row};

/// Seed of the runs of all measurements.
const SEED: u64 = 3;

/// Number of the proxy that is drained, or shut down by SIGTERM.
const DRAINED_PROXY: u16 = 0;

/// Most violations of a run that are printed.
const MAX_PRINTED_VIOLATIONS: usize = 2;

/// Measures one drain by a run in which each proxy has `sessions` standing sessions; writes the first violations to
/// standard error.
pub async fn measure(
    method: DrainMethod,
    sessions: u32,
    program: &Program,
) -> Result<DrainResult, RunError> {
    let scenario = Scenario::read(&scenario_text(method, sessions))?;
    let outcome = run_without_files(scenario, program, SEED, None).await?;
    let report = Report::from_run(&outcome, &program.name, SEED, None);
    print_violations(&report);
    Ok(drain_result(method, sessions, &outcome, &report))
}

fn print_violations(report: &Report) {
    for violation in report.violations.iter().take(MAX_PRINTED_VIOLATIONS) {
        let timeline = violation.timeline.join("\n");
        eprintln!("{}: {}\n{timeline}", violation.rule, violation.description);
    }
}

fn drain_result(
    method: DrainMethod,
    sessions: u32,
    outcome: &RunOutcome,
    report: &Report,
) -> DrainResult {
    let plan_start = outcome.context.plan_start().unwrap_or_default();
    let drain = DrainInterval {
        begin: plan_start + Duration::from_secs(DRAIN_AT_SECONDS),
        end: plan_start + Duration::from_secs(DRAIN_END_SECONDS),
    };
    let drained_proxy = (method != DrainMethod::Roll).then_some(DRAINED_PROXY);
    let migrations = migrations(&outcome.events, drained_proxy, drain);
    let last_migration_after = migrations
        .last()
        .map_or(Duration::ZERO, |last| last.saturating_sub(drain.begin));
    let first_session_after = (method == DrainMethod::Drain)
        .then(|| first_session_after(&outcome.events, drain.end))
        .flatten();
    DrainResult {
        method,
        sessions,
        migrated: migrations.len(),
        last_migration_after,
        max_migrated_per_second: max_per_second(&migrations),
        peak_utilization: report.host_utilization.peak,
        well_served: report.service.overall,
        worst_ten_seconds: report.service.worst_ten_seconds,
        first_session_after,
        roll_result: outcome.roll_result.clone(),
        rules_held: report.rules_held,
        testbed_late_ms: report.testbed_late_ms,
    }
}

/// The begin and the end of a drain, on the event log's clock.
#[derive(Clone, Copy, Debug)]
struct DrainInterval {
    begin: Duration,
    end: Duration,
}

/// The times at which clients were migrated during the drain, in order: those of one proxy, or of all if absent.
fn migrations(
    events: &[LoggedEvent],
    drained_proxy: Option<u16>,
    drain: DrainInterval,
) -> Vec<Duration> {
    let mut proxies: HashMap<SessionId, u16> = HashMap::new();
    let mut migrations = Vec::new();
    for event in events {
        match event.seen {
            Event::Asked { id, proxy, .. } => {
                proxies.insert(id, proxy);
            }
            Event::Ended { id, told: true, .. } => {
                let during_drain = (drain.begin..drain.end).contains(&event.at);
                let is_of_drained_proxy =
                    drained_proxy.is_none_or(|proxy| proxies.get(&id) == Some(&proxy));
                if during_drain && is_of_drained_proxy {
                    migrations.push(event.at);
                }
            }
            _ => {}
        }
    }
    migrations
}

/// The most of these times that lie within any one second; `times` are in order.
fn max_per_second(times: &[Duration]) -> usize {
    let within_second_from = |first: usize| {
        let end = times[first] + Duration::from_secs(1);
        times[first..]
            .iter()
            .take_while(|time| **time < end)
            .count()
    };
    (0..times.len()).map(within_second_from).max().unwrap_or(0)
}

/// Time from the end of the drain until the proxy was sent its first session; `None` if it was sent none.
fn first_session_after(events: &[LoggedEvent], drain_end: Duration) -> Option<Duration> {
    events
        .iter()
        .find(|event| {
            let to_proxy =
                matches!(event.seen, Event::Asked { proxy, .. } if proxy == DRAINED_PROXY);
            event.at >= drain_end && to_proxy
        })
        .map(|event| event.at.saturating_sub(drain_end))
}
