//! The rules about what operators are given: metrics in time, and true against what clients and hosts saw.
//!
//! A metric may be late and a little off. Bounds are taken so that a proxy within its published accuracy is never
//! blamed.

mod serving_process;
mod session_lifetime;

use super::intervals::Interval;
use super::rule::{Rule, RunFinding};
use super::run_history::RunHistory;
use super::settings::JudgeSettings;
use crate::event_log::{Event, LoggedEvent};
use serving_process::{CountRange, MAX_METRICS_AGE, ServingProcesses};
use session_lifetime::SessionLifetime;
use std::time::Duration;

/// How long an answer to an operator may take.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(1);

/// By what share the number of sessions brought up may be off.
const BROUGHT_UP_ERROR: f64 = 0.01;

/// By what share the number of sessions in flight may be off.
const IN_FLIGHT_ERROR: f64 = 0.1;

/// Violations by what operators were answered, in the order of their calls.
pub(super) fn findings(
    events: &[LoggedEvent],
    run: &RunHistory,
    settings: &JudgeSettings,
) -> Vec<RunFinding> {
    let mut check = MetricsCheck {
        lifetimes: run
            .sessions
            .values()
            .filter_map(SessionLifetime::of)
            .collect(),
        run,
        settings,
        processes: ServingProcesses::default(),
    };
    let mut findings = Vec::new();
    for LoggedEvent { at, seen } in events {
        if let Event::Called {
            proxy,
            took,
            figures,
        } = seen
        {
            findings.extend(check.call(&OperatorCall {
                proxy: *proxy,
                at: *at,
                took: *took,
                metrics: *figures,
            }));
        } else {
            check.processes.record(*at, seen);
        }
    }
    findings
}

/// An operator's request for metrics, as it was answered.
#[derive(Debug)]
struct OperatorCall {
    proxy: u16,
    /// When the answer was read.
    at: Duration,
    took: Duration,
    /// Sessions brought up, and those in flight.
    metrics: Option<(u64, u64)>,
}

impl OperatorCall {
    /// When it was sent, or earlier by `before`.
    fn sent(&self, before: Duration) -> Duration {
        self.at.saturating_sub(self.took + before)
    }
}

/// Checks one call after the other, in the order of the events.
#[derive(Debug)]
struct MetricsCheck<'a> {
    lifetimes: Vec<SessionLifetime>,
    run: &'a RunHistory,
    settings: &'a JudgeSettings,
    /// The process that serves for each proxy.
    processes: ServingProcesses,
}

impl MetricsCheck<'_> {
    fn call(&self, call: &OperatorCall) -> Vec<RunFinding> {
        let measured_or_later = Interval {
            from: call.sent(MAX_METRICS_AGE),
            to: call.at,
        };
        let stalls = &self.run.proxies.stalls;
        if stalls.any_overlaps(&call.proxy, measured_or_later) {
            return Vec::new();
        }
        let in_time = call.took <= MAX_ANSWER_TIME + self.settings.answer_slack;
        match call.metrics.filter(|_| in_time) {
            None => self.unanswered(call).into_iter().collect(),
            Some((brought_up, in_flight)) => self.untrue(call, brought_up, in_flight),
        }
    }

    /// A call that was answered late or without metrics, and not because the proxy was killed.
    fn unanswered(&self, call: &OperatorCall) -> Option<RunFinding> {
        let tolerance = self.settings.tolerance;
        let during_call = Interval {
            from: call.sent(tolerance),
            to: call.at + tolerance,
        };
        let excused = self.run.proxies.died(call.proxy, during_call);
        let what = format!(
            "proxy {} was asked for figures: {:?} after {:?}",
            call.proxy, call.metrics, call.took
        );
        (!excused).then_some(RunFinding {
            rule: Rule::OperatorsAnsweredInTime,
            at: call.at,
            description: what,
        })
    }

    /// The metrics of an answer that are further off than they may be.
    fn untrue(&self, call: &OperatorCall, brought_up: u64, in_flight: u64) -> Vec<RunFinding> {
        let Some(process) = self.processes.get(call.proxy) else {
            return Vec::new();
        };
        let tolerance = self.settings.tolerance;
        let measured = Interval {
            from: call.sent(MAX_METRICS_AGE + tolerance),
            to: call.at + tolerance,
        };
        let of_proxy = |lifetime: &&SessionLifetime| lifetime.proxy == call.proxy;
        let lifetimes: Vec<&SessionLifetime> = self.lifetimes.iter().filter(of_proxy).collect();
        let finding = |name: &str, metric: u64, seen: CountRange, relative_error: f64| {
            let metric = metric as f64;
            seen.excludes(metric, relative_error).then(|| RunFinding {
                rule: Rule::MetricsAccurate,
                at: call.at,
                description: format!(
                    "proxy {} told {metric} {name}; peers saw {} to {}",
                    call.proxy, seen.min, seen.max
                ),
            })
        };
        let up_seen = process.brought_up(&lifetimes, measured);
        let in_flight_seen = process.in_flight(&lifetimes, measured);
        let up = finding("sessions brought up", brought_up, up_seen, BROUGHT_UP_ERROR);
        let flying = finding("in flight", in_flight, in_flight_seen, IN_FLIGHT_ERROR);
        up.into_iter().chain(flying).collect()
    }
}
