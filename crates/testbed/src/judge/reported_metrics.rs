//! The rules about what operators are given: metrics in time, and true against what clients and hosts saw.
//!
//! A metric may be late and a little off. Bounds are taken so that a proxy within its published accuracy is never blamed.

use super::intervals::Interval;
use super::rule::{Rule, RunFinding};
use super::run_history::RunHistory;
use super::session_history::SessionHistory;
use super::settings::JudgeSettings;
use crate::event_log::{ClientAnswer, Event, LoggedEvent};
use std::collections::BTreeMap;
use std::time::Duration;

/// How long an answer to an operator may take.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(1);

/// How old the metrics of an answer may be.
const MAX_AGE: Duration = Duration::from_millis(500);

/// A metric may always be off by this many sessions.
const ABSOLUTE_ERROR: f64 = 3.0;

/// Or by this share, for sessions brought up.
const BROUGHT_UP_ERROR: f64 = 0.01;

/// Or by this share, for sessions in flight.
const IN_FLIGHT_ERROR: f64 = 0.1;

/// Violations by what operators were answered, in the order of their calls.
pub(super) fn findings(
    events: &[LoggedEvent],
    run: &RunHistory,
    settings: &JudgeSettings,
) -> Vec<RunFinding> {
    let mut check = MetricsCheck {
        lifetimes: run.sessions.values().filter_map(lifetime).collect(),
        run,
        settings,
        processes: BTreeMap::new(),
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
            check.record_process(*at, seen);
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

/// When a session was asked for, brought up, and known to have ended.
#[derive(Debug)]
struct SessionLifetime {
    proxy: u16,
    asked: Duration,
    up: Option<Duration>,
    end: Option<Duration>,
}

/// None for a session whose request is not recorded.
fn lifetime(session: &SessionHistory) -> Option<SessionLifetime> {
    let request = session.request?;
    let answer = session.answers.first();
    let is_up = answer.is_some_and(|answer| answer.answer == ClientAnswer::Up);
    let answered = answer.map(|answer| answer.at);
    let last_dial = session.dials.values().next_back();
    let ends = [
        answered.filter(|_| !is_up),
        session.client_left,
        session.cut.map(|cut| cut.at),
        session.end.map(|end| end.at),
        last_dial
            .and_then(|dial| dial.end)
            .filter(|_| is_up)
            .map(|end| end.at),
    ];
    Some(SessionLifetime {
        proxy: request.proxy,
        asked: request.at,
        up: answered.filter(|_| is_up),
        end: ends.into_iter().flatten().min(),
    })
}

/// Which process a proxy's metrics come from.
#[derive(Debug, Default)]
struct ServingProcess {
    /// Since when it serves alone.
    alone_since: Duration,
    /// Since when it may have served beside its predecessor.
    serving_since: Duration,
    /// When a successor was started beside it.
    successor_since: Option<Duration>,
    /// Intervals in which there were two processes.
    shared: Vec<Interval>,
}

/// The fewest and the most sessions that peers saw.
#[derive(Clone, Copy, Debug)]
struct CountRange {
    min: usize,
    max: usize,
}

impl CountRange {
    /// Whether a metric is outside the range by more than it may be off.
    fn excludes(&self, metric: f64, relative_error: f64) -> bool {
        let (min, max) = (self.min as f64, self.max as f64);
        let lowest = min - ABSOLUTE_ERROR.max(min * relative_error);
        metric < lowest || metric > max + ABSOLUTE_ERROR.max(max * relative_error)
    }
}

impl ServingProcess {
    /// Whether another process may have had a part in what happened then.
    fn is_shared(&self, within: Interval) -> bool {
        self.successor_since.is_some_and(|since| within.to >= since)
            || self.shared.iter().any(|shared| shared.overlaps(within))
    }

    /// Sessions that this process may have brought up; the fewest are those that it surely did.
    fn brought_up(&self, lifetimes: &[&SessionLifetime], measured: Interval) -> CountRange {
        let brought_up = || lifetimes.iter().filter_map(|lifetime| lifetime.up);
        let surely = |up: &Duration| {
            let moment = Interval { from: *up, to: *up };
            *up > self.alone_since + MAX_AGE && *up <= measured.from && !self.is_shared(moment)
        };
        let possibly = |up: &Duration| *up >= self.serving_since && *up <= measured.to;
        CountRange {
            min: brought_up().filter(surely).count(),
            max: brought_up().filter(possibly).count(),
        }
    }

    /// Sessions that may have been in flight; the fewest are those that are known to have ended later.
    fn in_flight(&self, lifetimes: &[&SessionLifetime], measured: Interval) -> CountRange {
        let surely = |lifetime: &&&SessionLifetime| {
            lifetime.asked <= measured.from && lifetime.end.is_some_and(|end| end > measured.to)
        };
        let possibly = |lifetime: &&&SessionLifetime| {
            lifetime.asked <= measured.to && lifetime.end.is_none_or(|end| end >= measured.from)
        };
        let min = if self.is_shared(measured) {
            0
        } else {
            lifetimes.iter().filter(surely).count()
        };
        let max = lifetimes.iter().filter(possibly).count();
        CountRange { min, max }
    }
}

/// Checks one call after the other, in the order of the events.
#[derive(Debug)]
struct MetricsCheck<'a> {
    lifetimes: Vec<SessionLifetime>,
    run: &'a RunHistory,
    settings: &'a JudgeSettings,
    /// The process that serves for each proxy.
    processes: BTreeMap<u16, ServingProcess>,
}

impl MetricsCheck<'_> {
    /// Follows which process serves.
    fn record_process(&mut self, at: Duration, event: &Event) {
        match event {
            Event::ProxyBeside { proxy } => {
                self.processes.entry(*proxy).or_default().successor_since = Some(at);
            }
            Event::ProxyDead { proxy } => {
                let process = self.processes.entry(*proxy).or_default();
                let since = process.successor_since.take();
                let shared = since.map(|since| Interval {
                    from: since,
                    to: at,
                });
                process.shared.extend(shared);
            }
            Event::ProxyStarted { proxy } | Event::ProxyServes { proxy } => {
                let predecessor = self.processes.remove(proxy);
                let serving_since = predecessor
                    .and_then(|process| process.successor_since)
                    .unwrap_or(at);
                let process = ServingProcess {
                    alone_since: at,
                    serving_since,
                    successor_since: None,
                    shared: vec![Interval {
                        from: serving_since,
                        to: at,
                    }],
                };
                self.processes.insert(*proxy, process);
            }
            _ => {}
        }
    }

    fn call(&self, call: &OperatorCall) -> Vec<RunFinding> {
        let measured_or_later = Interval {
            from: call.sent(MAX_AGE),
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
            rule: Rule::OperatorsAnswered,
            at: call.at,
            what,
        })
    }

    /// The metrics of an answer that are further off than they may be.
    fn untrue(&self, call: &OperatorCall, brought_up: u64, in_flight: u64) -> Vec<RunFinding> {
        let Some(process) = self.processes.get(&call.proxy) else {
            return Vec::new();
        };
        let tolerance = self.settings.tolerance;
        let measured = Interval {
            from: call.sent(MAX_AGE + tolerance),
            to: call.at + tolerance,
        };
        let of_proxy = |lifetime: &&SessionLifetime| lifetime.proxy == call.proxy;
        let lifetimes: Vec<&SessionLifetime> = self.lifetimes.iter().filter(of_proxy).collect();
        let finding = |name: &str, metric: u64, seen: CountRange, relative_error: f64| {
            let metric = metric as f64;
            seen.excludes(metric, relative_error).then(|| RunFinding {
                rule: Rule::FiguresTrue,
                at: call.at,
                what: format!(
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
