//! Counts the sessions and the misbehaving clients of a run by outcome.

use super::intervals::Interval;
use super::run_history::RunHistory;
use super::session_history::SessionHistory;
use crate::event_log::{ClientAnswer, Event, LoggedEvent};

/// Sessions and misbehaving clients of a run, counted by outcome. `report.json` has the counts under their serde names.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
pub struct Tally {
    /// Sessions that clients requested.
    pub sessions: u64,
    /// Sessions whose first answer was `UP`.
    pub accepted: u64,
    /// Sessions that were rejected with `BUSY`.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Sessions whose first answer was neither `UP` nor `BUSY`.
    #[serde(rename = "torn_down")]
    pub failed: u64,
    /// Sessions whose client left before an answer.
    #[serde(rename = "left")]
    pub client_left: u64,
    /// Sessions that ended after the client had read `MOVE` or `BYE`.
    #[serde(rename = "moved")]
    pub migrated: u64,
    /// Sessions without an answer whose proxy was killed after the request.
    pub died_with_proxy: u64,
    /// Dials whose `OPEN` line a host read.
    pub dials: u64,
    /// Connections of misbehaving clients.
    #[serde(rename = "bad_clients")]
    pub misbehaving_clients: u64,
    /// Connections of misbehaving clients on which the proxy reacted in time, by an answer or a close.
    #[serde(rename = "bad_clients_owed")]
    pub misbehaving_clients_answered: u64,
}

impl Tally {
    pub(super) fn of(events: &[LoggedEvent], run: &RunHistory) -> Tally {
        let mut tally = Tally::default();
        for session in run.sessions.values() {
            tally.add_session(session, run);
        }
        for event in events {
            if let Event::MisbehavingClient { owed, .. } = event.seen {
                tally.misbehaving_clients += 1;
                tally.misbehaving_clients_answered += u64::from(owed);
            }
        }
        tally
    }

    fn add_session(&mut self, session: &SessionHistory, run: &RunHistory) {
        let Some(request) = session.request else {
            return;
        };
        let until_end = Interval {
            from: request.at,
            to: run.end,
        };
        self.sessions += 1;
        self.dials += session.dials.len() as u64;
        match session.answers.first().map(|first| &first.answer) {
            Some(ClientAnswer::Up) => self.accepted += 1,
            Some(ClientAnswer::Busy(_)) => self.rejected += 1,
            Some(ClientAnswer::Failed) => self.failed += 1,
            None if session.client_left.is_some() => self.client_left += 1,
            None => {
                let died = run.proxies.died(request.proxy, until_end);
                self.died_with_proxy += u64::from(died);
            }
        }
        self.migrated += u64::from(session.end.is_some_and(|end| end.notified));
    }
}
