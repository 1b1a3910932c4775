//! How a proxy is drained: on request beside SIGTERM, at several sizes, and a roll of a whole zone.

mod result;
mod scenario_text;

use crate::event_log::{Event, LoggedEvent, SessionId};
use crate::proxy_process::Program;
use crate::report::Report;
use crate::run::{RunError, RunOutcome, run_without_files};
use crate::scenario::Scenario;
use scenario_text::{DRAIN_AT, DRAIN_ENDS_AT, scenario_text};
use std::collections::HashMap;
use std::time::Duration;

pub use result::{DrainMethod, DrainResult, TABLE_HEADER, table_row};

/// Seed of all measurements.
const SEED: u64 = 3;

/// The proxy that is drained.
const DRAINED_PROXY: u16 = 0;

/// Most violations that are printed.
const MAX_VIOLATIONS: usize = 2;

/// Measures one drain of a proxy that has so many sessions, and prints the first violations.
pub async fn measure(
    method: DrainMethod,
    sessions: u32,
    program: &Program,
) -> Result<DrainResult, RunError> {
    let scenario = Scenario::read(&scenario_text(method, sessions))?;
    let ran = run_without_files(scenario, program, SEED, None).await?;
    let report = Report::from_run(&ran, &program.name, SEED, None);
    print_violations(&report);
    Ok(measured(method, sessions, &ran, &report))
}

fn print_violations(report: &Report) {
    for violation in report.violations.iter().take(MAX_VIOLATIONS) {
        let timeline = violation.timeline.join("\n");
        eprintln!("{}: {}\n{timeline}", violation.rule, violation.description);
    }
}

fn measured(method: DrainMethod, sessions: u32, ran: &RunOutcome, report: &Report) -> DrainResult {
    let begin = ran.context.plan_start().unwrap_or_default();
    let drain = DrainInterval {
        begin: begin + Duration::from_secs(DRAIN_AT),
        end: begin + Duration::from_secs(DRAIN_ENDS_AT),
    };
    let of_proxy = (method != DrainMethod::Roll).then_some(DRAINED_PROXY);
    let migrations = migrations(&ran.events, of_proxy, drain);
    let took = migrations
        .last()
        .map_or(Duration::ZERO, |last| last.saturating_sub(drain.begin));
    let back_after = (method == DrainMethod::Drain)
        .then(|| back_after(&ran.events, drain.end))
        .flatten();
    DrainResult {
        method,
        sessions,
        migrated: migrations.len(),
        took,
        max_migrated_per_second: max_per_second(&migrations),
        peak_utilization: report.host_utilization.peak,
        well_served: report.service.overall,
        worst_ten_seconds: report.service.worst_ten_seconds,
        back_after,
        rolled: ran.roll_result.clone(),
        rules_held: report.rules_held,
        testbed_late_ms: report.testbed_late_ms,
    }
}

/// When a drain began, and when it was over.
#[derive(Clone, Copy, Debug)]
struct DrainInterval {
    begin: Duration,
    end: Duration,
}

/// When clients were migrated, of one proxy or of all, during the drain.
fn migrations(
    events: &[LoggedEvent],
    of_proxy: Option<u16>,
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
                let right_proxy = of_proxy.is_none_or(|proxy| proxies.get(&id) == Some(&proxy));
                if during_drain && right_proxy {
                    migrations.push(event.at);
                }
            }
            _ => {}
        }
    }
    migrations
}

/// Most of the times that lie within one second; they are in order.
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

/// How long after the drain the proxy got its first session.
fn back_after(events: &[LoggedEvent], drain_end: Duration) -> Option<Duration> {
    events
        .iter()
        .find(|event| {
            let to_proxy =
                matches!(event.seen, Event::Asked { proxy, .. } if proxy == DRAINED_PROXY);
            event.at >= drain_end && to_proxy
        })
        .map(|event| event.at.saturating_sub(drain_end))
}
