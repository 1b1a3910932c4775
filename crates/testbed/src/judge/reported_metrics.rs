//! The rules about the metrics that a proxy reports to operators: the answer is in time, and its values match what
//! clients and hosts saw.
//!
//! A metric may be up to [`MAX_METRICS_AGE`] old and slightly inexact. The bounds are chosen so that a proxy within its
//! published accuracy never violates the rule.

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

/// How long a proxy may take to answer a metrics request, in addition to the scenario's answer slack.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(1);

/// Relative error allowed for the number of sessions opened.
const MAX_OPENED_SESSIONS_ERROR: f64 = 0.01;

/// Relative error allowed for the number of sessions in flight.
const MAX_IN_FLIGHT_ERROR: f64 = 0.1;

/// Violations shown by the answers to operators, in the order of their calls.
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
            findings.extend(check.check_call(&OperatorCall {
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

/// One request for metrics by an operator, with its answer.
#[derive(Debug)]
struct OperatorCall {
    proxy: u16,
    /// When the answer was read.
    at: Duration,
    /// From sending the request to reading the answer.
    took: Duration,
    /// Sessions opened and sessions in flight, as the proxy reported them; `None` if no answer came or it had no
    /// metrics.
    metrics: Option<(u64, u64)>,
}

impl OperatorCall {
    /// The time `margin` before the request was sent, or zero if that is before the run.
    fn sent_minus(&self, margin: Duration) -> Duration {
        self.at.saturating_sub(self.took + margin)
    }
}

/// State of the check, which goes through the events in order.
#[derive(Debug)]
struct MetricsCheck<'a> {
    lifetimes: Vec<SessionLifetime>,
    run: &'a RunHistory,
    settings: &'a JudgeSettings,
    /// The serving process of each proxy at the current event.
    processes: ServingProcesses,
}

impl MetricsCheck<'_> {
    fn check_call(&self, call: &OperatorCall) -> Vec<RunFinding> {
        let measurement_and_call = Interval {
            from: call.sent_minus(MAX_METRICS_AGE),
            to: call.at,
        };
        let stalls = &self.run.proxies.stalls;
        // A stopped proxy can neither measure nor answer.
        if stalls.any_overlaps(&call.proxy, measurement_and_call) {
            return Vec::new();
        }
        let in_time = call.took <= MAX_ANSWER_TIME + self.settings.answer_slack;
        match call.metrics.filter(|_| in_time) {
            None => self.unanswered(call).into_iter().collect(),
            Some((opened_sessions, in_flight)) => self.inaccurate(call, opened_sessions, in_flight),
        }
    }

    /// The violation by a call that was answered late or without metrics; `None` if the proxy was killed during the
    /// call.
    fn unanswered(&self, call: &OperatorCall) -> Option<RunFinding> {
        let tolerance = self.settings.tolerance;
        let during_call = Interval {
            from: call.sent_minus(tolerance),
            to: call.at + tolerance,
        };
        let excused = self.run.proxies.died(call.proxy, during_call);
        let description = format!(
            "proxy {} was asked for metrics: {:?} after {:?}",
            call.proxy, call.metrics, call.took
        );
        (!excused).then_some(RunFinding {
            rule: Rule::OperatorsAnsweredInTime,
            at: call.at,
            description,
        })
    }

    /// The violations by metrics that are outside what the peers saw, by more than the allowed error.
    fn inaccurate(
        &self,
        call: &OperatorCall,
        opened_sessions: u64,
        in_flight: u64,
    ) -> Vec<RunFinding> {
        let Some(process) = self.processes.get(call.proxy) else {
            return Vec::new();
        };
        let tolerance = self.settings.tolerance;
        let measured = Interval {
            from: call.sent_minus(MAX_METRICS_AGE + tolerance),
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
                    "proxy {} reported {metric} {name}; peers saw {} to {}",
                    call.proxy, seen.min, seen.max
                ),
            })
        };
        let up_seen = process.opened_sessions(&lifetimes, measured);
        let in_flight_seen = process.in_flight(&lifetimes, measured);
        let up = finding(
            "sessions brought up",
            opened_sessions,
            up_seen,
            MAX_OPENED_SESSIONS_ERROR,
        );
        let in_flight = finding("in flight", in_flight, in_flight_seen, MAX_IN_FLIGHT_ERROR);
        up.into_iter().chain(in_flight).collect()
    }
}
