//! The rule that a host that is warming up does not collapse under sessions of proxies that were notified of its start.

use super::rule::{Rule, Violation};
use super::run_history::RunHistory;
use super::timeline;
use crate::event_log::{Event, LoggedEvent, SessionId};
use std::time::Duration;

/// The collapses for which the proxies are responsible: at least two thirds of the sessions that caused one came from
/// proxies that had been notified of the host's start.
pub(super) fn violations(events: &[LoggedEvent], run: &RunHistory) -> Vec<Violation> {
    let violation = |event: &LoggedEvent| match &event.seen {
        Event::Collapsed { host, started, by } => {
            let description = overload_by_notified_proxies(run, *host, *started, by)?;
            Some(Violation {
                rule: Rule::NoColdHostOverloaded,
                description,
                timeline: vec![timeline::event_at(events, event.at)],
            })
        }
        _ => None,
    };
    events.iter().filter_map(violation).collect()
}

fn overload_by_notified_proxies(
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
    let total = sessions.len();
    (notified * 3 >= total * 2).then(|| {
        format!("host {host} collapsed: {notified} of {total} set-ups came from notified proxies")
    })
}
