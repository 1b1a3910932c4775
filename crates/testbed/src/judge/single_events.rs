//! Violations that a single event shows.

use super::rule::{Rule, RunFinding};
use crate::event_log::{Event, LoggedEvent};

/// The violations, in the order of the events.
pub(super) fn findings(events: &[LoggedEvent]) -> Vec<RunFinding> {
    let finding = |event: &LoggedEvent| {
        let (rule, what) = broken_rule(&event.seen)?;
        let at = event.at;
        Some(RunFinding {
            rule,
            at,
            description: what,
        })
    };
    events.iter().filter_map(finding).collect()
}

fn broken_rule(event: &Event) -> Option<(Rule, String)> {
    match event {
        Event::Replaced { proxy, yes: None } => {
            let what = format!("the process beside proxy {proxy} never said yes");
            Some((Rule::OperatorsAnsweredInTime, what))
        }
        Event::MisbehavingClient {
            served: true, sort, ..
        } => {
            let what = format!("a bad client ({sort}) was served");
            Some((Rule::NoSessionLost, what))
        }
        Event::Unread { host, line } => {
            let what = format!("host {host} read {line:?}");
            Some((Rule::NoInvalidLineForwarded, what))
        }
        Event::ProxyExited { proxy, code, asked } if !asked || *code != Some(0) => {
            let why = if *asked { "after SIGTERM" } else { "by itself" };
            let what = format!("proxy {proxy} ended {why}, code {code:?}");
            Some((Rule::NoUnexpectedExit, what))
        }
        _ => None,
    }
}
