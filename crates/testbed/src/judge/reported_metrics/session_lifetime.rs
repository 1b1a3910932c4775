//! When a session began and ended, as far as its client and hosts recorded it.

use crate::event_log::ClientAnswer;
use crate::judge::session_history::SessionHistory;
use std::time::Duration;

/// The times of a session's request, set-up and end, on the event log's clock.
#[derive(Debug)]
pub(super) struct SessionLifetime {
    /// Number of the proxy.
    pub(super) proxy: u16,
    pub(super) requested: Duration,
    /// When its client read `UP`; `None` if it did not.
    pub(super) up: Option<Duration>,
    /// The first event that shows the end; `None` if none does.
    pub(super) end: Option<Duration>,
}

impl SessionLifetime {
    /// `None` for a session whose request is not recorded.
    pub(super) fn of(session: &SessionHistory) -> Option<SessionLifetime> {
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
            requested: request.at,
            up: answered.filter(|_| is_up),
            end: ends.into_iter().flatten().min(),
        })
    }
}
