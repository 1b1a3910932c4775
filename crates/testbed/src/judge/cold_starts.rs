//! The rule that no host that is warming up is pushed over by proxies that were notified of its start.

use super::rule::{Rule, Violation};
use super::run_history::RunHistory;
use super::timeline;
use crate::event_log::{Event, LoggedEvent, SessionId};
use std::time::Duration;

/// Collapses, of whose sessions two thirds or more came from proxies that were notified of the host's start.
pub(super) fn violations(events: &[LoggedEvent], run: &RunHistory) -> Vec<Violation> {
    let collapse = |event: &LoggedEvent| match &event.seen {
        Event::Collapsed { host, started, by } => {
            let what = pushed_over(run, *host, *started, by)?;
            Some(Violation {
                rule: Rule::NoColdHostOverloaded,
                description: what,
                timeline: vec![timeline::at(events, event.at)],
            })
        }
        _ => None,
    };
    events.iter().filter_map(collapse).collect()
}

fn pushed_over(
    run: &RunHistory,
    host: u16,
    started: Option<Duration>,
    sessions: &[SessionId],
) -> Option<String> {
    let was_notified = |id: &&SessionId| {
        let request = run.sessions.get(*id).and_then(|session| session.request);
        request.is_some_and(|request| {
            run.proxies
                .was_notified_of_start(request.proxy, host, started)
        })
    };
    let notified = sessions.iter().filter(was_notified).count();
    let all = sessions.len();
    (notified * 3 >= all * 2)
        .then(|| format!("host {host} collapsed: {notified} of {all} set-ups knew it to be cold"))
}
