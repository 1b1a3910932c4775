//! Computes a report from a run's outcome.

use super::types::{
    HostUtilization, LatencySummary, NamedShare, ProxyUsage, Report, ReportedViolation,
    ServiceSecond, ServiceShares, SetUpLatency,
};
use crate::judge::Violation;
use crate::proxy_process::ResourceUsage;
use crate::run::RunOutcome;
use crate::scenario::Scenario;
use crate::service_score::{ServiceMeasurements, ServiceTime};
use hdrhistogram::Histogram;

/// Largest number of violations in a report; later ones are left out.
const MAX_VIOLATIONS: usize = 50;

/// Length of the span over which [`ServiceShares::worst_ten_seconds`] is taken, in seconds.
const WORST_SPAN_SECONDS: usize = 10;

impl Report {
    /// The report of one run. `program` names the proxy under test, `seed` the run's plan; `chaos` is the seed of
    /// random faults that were added, if any.
    pub fn from_run(outcome: &RunOutcome, program: &str, seed: u64, chaos: Option<u64>) -> Report {
        let scenario = &outcome.context.scenario;
        let measurements = outcome.context.service_score.measurements();
        let seconds = service_seconds(&measurements);
        let violations = outcome.verdict.violations.iter().take(MAX_VIOLATIONS);
        Report {
            scenario: scenario.name.clone(),
            program: program.to_string(),
            seed,
            chaos,
            simulated: true,
            void: outcome.is_void,
            testbed_late_ms: outcome.testbed_lateness.as_secs_f64() * 1e3,
            rules_held: outcome.verdict.violations.is_empty(),
            violations: violations.map(reported_violation).collect(),
            tally: outcome.verdict.tally,
            service: service_shares(scenario, &measurements, &seconds),
            set_ups: set_up_latencies(scenario, &measurements),
            answer_ms: latency_summary(&measurements.answers),
            message_ms: latency_summary(&measurements.messages),
            clients_gave_up: measurements.given_up,
            no_proxy: measurements.unreachable,
            host_utilization: host_utilization(&outcome.host_loads),
            proxies: outcome
                .proxy_usage
                .iter()
                .map(|usage| proxy_usage(usage))
                .collect(),
            seconds,
        }
    }
}

fn reported_violation(violation: &Violation) -> ReportedViolation {
    ReportedViolation {
        rule: violation.rule.text(),
        description: violation.description.clone(),
        timeline: violation.timeline.clone(),
    }
}

/// The service of each second, summed over listeners and tenants.
fn service_seconds(measurements: &ServiceMeasurements) -> Vec<ServiceSecond> {
    let sum = |cells: &Vec<ServiceTime>| sum(cells.iter().copied().map(service_second));
    measurements.seconds.iter().map(sum).collect()
}

fn service_second(time: ServiceTime) -> ServiceSecond {
    ServiceSecond {
        wanted: time.wanted,
        served: time.served,
    }
}

fn sum(seconds: impl Iterator<Item = ServiceSecond>) -> ServiceSecond {
    seconds.fold(ServiceSecond::default(), |sum, second| ServiceSecond {
        wanted: sum.wanted + second.wanted,
        served: sum.served + second.served,
    })
}

/// The share of the wanted time that was well served; 1 if no time was wanted.
fn served_share(seconds: impl Iterator<Item = ServiceSecond>) -> f64 {
    let total = sum(seconds);
    if total.wanted > 0.0 {
        total.served / total.wanted
    } else {
        1.0
    }
}

fn service_shares(
    scenario: &Scenario,
    measurements: &ServiceMeasurements,
    seconds: &[ServiceSecond],
) -> ServiceShares {
    // Cells of a second are ordered by listener and then by tenant.
    let tenants = scenario.tenants.len();
    let listener_names = scenario.listeners.iter().map(|listener| &listener.name);
    let tenant_names = scenario.tenants.iter().map(|tenant| &tenant.name);
    ServiceShares {
        overall: share_of_cells(measurements, |_| true),
        worst_ten_seconds: worst_span(seconds),
        worst_listener: worst_named(listener_names, |listener| {
            share_of_cells(measurements, |cell| cell / tenants == listener)
        }),
        worst_tenant: worst_named(tenant_names, |tenant| {
            share_of_cells(measurements, |cell| cell % tenants == tenant)
        }),
    }
}

/// The share over all seconds, in the cells whose index is selected.
fn share_of_cells(measurements: &ServiceMeasurements, is_selected: impl Fn(usize) -> bool) -> f64 {
    let cells = measurements
        .seconds
        .iter()
        .flat_map(|row| row.iter().enumerate());
    served_share(
        cells
            .filter(|(cell, _)| is_selected(*cell))
            .map(|(_, time)| service_second(*time)),
    )
}

/// The lowest share over any [`WORST_SPAN_SECONDS`] seconds in a row, or over the whole run if it is shorter.
fn worst_span(seconds: &[ServiceSecond]) -> f64 {
    let length = WORST_SPAN_SECONDS.min(seconds.len().max(1));
    let shares = seconds
        .windows(length)
        .map(|span| served_share(span.iter().copied()));
    shares.fold(1.0, f64::min)
}

/// The name with the lowest share, the first of equal ones. `share_of` gets the index of a name.
fn worst_named<'a>(
    names: impl Iterator<Item = &'a String>,
    share_of: impl Fn(usize) -> f64,
) -> NamedShare {
    let shares = names.enumerate().map(|(index, name)| NamedShare {
        name: name.clone(),
        share: share_of(index),
    });
    shares
        .min_by(|one, other| one.share.total_cmp(&other.share))
        .unwrap_or_default()
}

fn set_up_latencies(scenario: &Scenario, measurements: &ServiceMeasurements) -> Vec<SetUpLatency> {
    let listeners = scenario.listeners.iter().zip(&measurements.set_ups);
    listeners
        .map(|(listener, times)| {
            let target = listener.set_up_target.as_micros() as u64;
            let within = times.count_between(0, target) as f64;
            SetUpLatency {
                listener: listener.name.clone(),
                within_target: within / times.len().max(1) as f64,
                ms: latency_summary(times),
            }
        })
        .collect()
}

fn latency_summary(times: &Histogram<u64>) -> LatencySummary {
    let ms = |us: u64| us as f64 / 1e3;
    LatencySummary {
        count: times.len(),
        p50: ms(times.value_at_quantile(0.5)),
        p90: ms(times.value_at_quantile(0.9)),
        p99: ms(times.value_at_quantile(0.99)),
        max: ms(times.max()),
    }
}

/// Summarizes the utilization of each host, given as a row of all hosts for each second.
fn host_utilization(rows: &[Vec<f32>]) -> HostUtilization {
    let hosts = rows.first().map_or(0, Vec::len);
    let mean =
        |host: usize| rows.iter().map(|row| f64::from(row[host])).sum::<f64>() / rows.len() as f64;
    let means: Vec<f64> = (0..hosts).map(mean).collect();
    let all = rows
        .iter()
        .flatten()
        .map(|utilization| f64::from(*utilization));
    HostUtilization {
        min: means.iter().copied().fold(f64::INFINITY, f64::min),
        mean: means.iter().sum::<f64>() / means.len().max(1) as f64,
        max: means.iter().copied().fold(0.0, f64::max),
        peak: all.fold(0.0, f64::max),
    }
}

/// Summarizes the usage of one proxy, given second by second. CPU time counts from the start of a process, so a
/// decrease is a restart and is left out.
fn proxy_usage(seconds: &[ResourceUsage]) -> ProxyUsage {
    let steps: Vec<f64> = seconds
        .windows(2)
        .map(|pair| pair[1].cpu - pair[0].cpu)
        .filter(|step| *step >= 0.0)
        .collect();
    let mean = |steps: &[f64]| steps.iter().sum::<f64>() / steps.len().max(1) as f64;
    let resident_kb = seconds.iter().map(|usage| usage.resident_kb).max();
    let descriptors = seconds.iter().map(|usage| usage.descriptors).max();
    ProxyUsage {
        cpu_share: mean(&steps),
        cpu_share_max: steps.iter().copied().fold(0.0, f64::max),
        cpu_share_late: mean(&steps[steps.len() * 2 / 3..]),
        resident_kb: resident_kb.unwrap_or(0),
        descriptors: descriptors.unwrap_or(0),
    }
}
