//! Checks the rules that a proxy must keep, against the events that its peers recorded: the emulated clients, hosts,
//! discovery and operators of the testbed.
//!
//! [`judge`] is a pure function over the events of a run: it does no I/O and reads no clock.
//!
//! - `settings.rs`: the policies, bounds and tolerances that the rules are checked with;
//! - `rule.rs`: the rules and their violations;
//! - `session_history.rs`, `proxy_history.rs`, `run_history.rs`: the events, grouped by session, by proxy and by
//!   link;
//! - `session_context.rs`: one session with its run, and the conditions that excuse a proxy;
//! - `timeline.rs`: the events that led to a violation;
//! - `tally.rs`: sessions and misbehaving clients, counted by outcome.
//!
//! The rules, one module per group:
//!
//! - `single_events.rs`: violations that a single event proves;
//! - `reported_metrics.rs`: whether metrics requests are answered in time, and with values that match what the
//!   peers saw;
//! - `rejection_order.rs`: which sessions are rejected first;
//! - `lost_sessions.rs`, `concurrent_dials.rs`, `duplicate_effects.rs`, `drains.rs`: rules for one session;
//! - `cold_starts.rs`: hosts that collapsed while they were warming up.

mod cold_starts;
mod concurrent_dials;
mod drains;
mod duplicate_effects;
mod intervals;
mod lost_sessions;
mod proxy_history;
mod rejection_order;
mod reported_metrics;
mod rule;
mod run_history;
mod session_context;
mod session_history;
mod settings;
mod single_events;
mod tally;
mod timeline;

use crate::event_log::LoggedEvent;
use run_history::RunHistory;
use session_context::SessionContext;

pub use rule::{Rule, Violation};
pub use settings::{HostLocation, JudgeSettings, ListenerPolicy};
pub use tally::Tally;

/// The result of checking the events of a run.
#[derive(Debug, Default)]
pub struct Verdict {
    /// All violations: first those of no single session, then by session, then by collapsed host.
    pub violations: Vec<Violation>,
    /// Sessions and misbehaving clients, counted by outcome.
    pub tally: Tally,
}

/// Checks every rule over the events of one run.
pub fn judge(events: &[LoggedEvent], settings: &JudgeSettings) -> Verdict {
    let run = RunHistory::from_events(events);
    let mut violations = run_violations(events, &run, settings);
    violations.extend(session_violations(events, &run, settings));
    violations.extend(cold_starts::violations(events, &run));
    Verdict {
        violations,
        tally: Tally::of(events, &run),
    }
}

/// Violations that do not concern one particular session.
fn run_violations(
    events: &[LoggedEvent],
    run: &RunHistory,
    settings: &JudgeSettings,
) -> Vec<Violation> {
    let mut findings = single_events::findings(events);
    if settings.check_metrics {
        findings.extend(reported_metrics::findings(events, run, settings));
    }
    findings.extend(rejection_order::findings(run, settings));
    findings
        .into_iter()
        .map(|finding| Violation {
            rule: finding.rule,
            description: finding.description,
            timeline: vec![timeline::event_at(events, finding.at)],
        })
        .collect()
}

/// Violations by session, in the order of the session ids.
fn session_violations(
    events: &[LoggedEvent],
    run: &RunHistory,
    settings: &JudgeSettings,
) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (id, session) in &run.sessions {
        let Some(context) = SessionContext::new(session, run, settings) else {
            continue;
        };
        let mut findings = lost_sessions::findings(&context);
        findings.extend(concurrent_dials::findings(&context));
        findings.extend(duplicate_effects::findings(&context));
        findings.extend(drains::findings(&context));
        violations.extend(findings.into_iter().map(|finding| Violation {
            rule: finding.rule,
            description: finding.description,
            timeline: timeline::of_session(events, *id),
        }));
    }
    violations
}
