//! The events of a run, grouped by session, by proxy and by link.

use super::proxy_history::ProxyHistory;
use super::session_history::SessionHistory;
use crate::event_log::{LoggedEvent, SessionId};
use std::collections::BTreeMap;
use std::time::Duration;

/// All events of a run, indexed for the rules.
#[derive(Debug, Default)]
pub(super) struct RunHistory {
    pub(super) sessions: BTreeMap<SessionId, SessionHistory>,
    pub(super) proxies: ProxyHistory,
    /// Time of the last event, on the event log's clock.
    pub(super) end: Duration,
}

impl RunHistory {
    /// Groups the events of a run, which must be in the order in which they were recorded.
    pub(super) fn from_events(events: &[LoggedEvent]) -> RunHistory {
        let mut run = RunHistory::default();
        for LoggedEvent { at, seen } in events {
            run.end = run.end.max(*at);
            match seen.id() {
                Some(id) => run.sessions.entry(id).or_default().record(*at, seen),
                None => run.proxies.record(*at, seen),
            }
        }
        run
    }
}
