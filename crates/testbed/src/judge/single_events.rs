//! Violations that a single event proves.

use super::rule::{Rule, RunFinding};
use crate::event_log::{Event, LoggedEvent};

/// The violations, in the order of the events.
pub(super) fn findings(events: &[LoggedEvent]) -> Vec<RunFinding> {
    let finding = |event: &LoggedEvent| {
        let (rule, description) = broken_rule(&event.seen)?;
        Some(RunFinding {
            rule,
            at: event.at,
            description,
        })
    };
    events.iter().filter_map(finding).collect()
}

/// The rule that an event shows to be broken, and a description of the violation.
fn broken_rule(event: &Event) -> Option<(Rule, String)> {
    match event {
        Event::Replaced { proxy, yes: None } => {
            let description =
                format!("the successor of proxy {proxy} never reported that it was ready");
            Some((Rule::OperatorsAnsweredInTime, description))
        }
        Event::MisbehavingClient {
            served: true, sort, ..
        } => {
            let description = format!("a misbehaving client ({sort}) was served");
            Some((Rule::NoSessionLost, description))
        }
        Event::Unread { host, line } => {
            let description = format!("host {host} read {line:?}");
            Some((Rule::NoInvalidLineForwarded, description))
        }
        Event::ProxyExited { proxy, code, asked } if !asked || *code != Some(0) => {
            let cause = if *asked { "after SIGTERM" } else { "by itself" };
            let description = format!("proxy {proxy} ended {cause}, code {code:?}");
            Some((Rule::NoUnexpectedExit, description))
        }
        _ => None,
    }
}
