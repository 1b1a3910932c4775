//! When a session began and ended, as far as peers know.

use crate::event_log::ClientAnswer;
use crate::judge::session_history::SessionHistory;
use std::time::Duration;

/// When a session was asked for, brought up, and known to have ended.
#[derive(Debug)]
pub(super) struct SessionLifetime {
    pub(super) proxy: u16,
    pub(super) asked: Duration,
    pub(super) up: Option<Duration>,
    pub(super) end: Option<Duration>,
}

impl SessionLifetime {
    /// None for a session whose request is not recorded.
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
            asked: request.at,
            up: answered.filter(|_| is_up),
            end: ends.into_iter().flatten().min(),
        })
    }
}
