//! The lines of a trace: formats a [`Choice`] as text and parses it.

use crate::action::{Action, Choice, EndpointChange, ProbeResult, ServerMessage};
use std::fmt;
use std::str::FromStr;

/// Precedes the number of the random range; both are left out for range 0.
const RANDOM_RANGE_SEPARATOR: &str = " ~";

const SERVER_MESSAGES: [(ServerMessage, &str); 4] = [
    (ServerMessage::Up, "up"),
    (ServerMessage::Busy, "busy"),
    (ServerMessage::Err, "err"),
    (ServerMessage::Move, "move"),
];

const PROBE_RESULTS: [(ProbeResult, &str); 4] = [
    (ProbeResult::LightLoad, "ok"),
    (ProbeResult::Overload, "full"),
    (ProbeResult::TimedOut, "silent"),
    (ProbeResult::Refused, "refused"),
];

const ENDPOINT_CHANGES: [(EndpointChange, &str); 5] = [
    (EndpointChange::Ready, "ready"),
    (EndpointChange::Draining, "draining"),
    (EndpointChange::Gone, "gone"),
    (EndpointChange::Restarted, "restarted"),
    (EndpointChange::Replaced, "replaced"),
];

/// A line of a trace that is not a valid action.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{text:?} is no step")]
pub struct ParseChoiceError {
    /// The line without its number.
    pub text: String,
}

/// The word for a value. Each table covers all values of its type.
fn word_for<T: PartialEq>(table: &[(T, &'static str)], value: T) -> &'static str {
    let entry = table.iter().find(|(candidate, _)| *candidate == value);
    entry.map_or("?", |(_, word)| word)
}

/// The value for a word, or `None` if the table does not contain it.
fn value_of<T: Copy>(table: &[(T, &'static str)], word: &str) -> Option<T> {
    let entry = table.iter().find(|(_, candidate)| *candidate == word);
    entry.map(|(value, _)| *value)
}

impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match *self {
            Action::SessionArrives(session) => write!(f, "session {session} arrives"),
            Action::DialConnected(session) => write!(f, "session {session} dial connected"),
            Action::DialRefused(session) => write!(f, "session {session} dial refused"),
            Action::DialWithoutSocket(session) => {
                write!(f, "session {session} dial without socket")
            }
            Action::RequestWritten(session) => write!(f, "session {session} line written"),
            Action::ServerAnswers(session, message) => {
                let word = word_for(&SERVER_MESSAGES, message);
                write!(f, "session {session} host says {word}")
            }
            Action::ServerCloses(session) => write!(f, "session {session} host ends"),
            Action::ClientLeaves(session) => write!(f, "session {session} client leaves"),
            Action::ClientSendsEarly(session) => write!(f, "session {session} client speaks"),
            Action::ClientLeavesUnnoticed(session) => {
                write!(f, "session {session} client leaves unseen")
            }
            Action::StaleEvent(session) => write!(f, "session {session} closed connection wakes"),
            Action::EndpointChanges(server, change) => {
                let word = word_for(&ENDPOINT_CHANGES, change);
                write!(f, "host {server} told {word}")
            }
            Action::ProbeEnds(server, result) => {
                let word = word_for(&PROBE_RESULTS, result);
                write!(f, "host {server} probe {word}")
            }
            Action::NextDeadline => f.write_str("next deadline"),
            Action::Sigterm => f.write_str("SIGTERM"),
            Action::OperatorDrains => f.write_str("operator drains"),
            Action::OperatorCancelsDrain => f.write_str("operator undrains"),
        }
    }
}

impl fmt::Display for Choice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.action.fmt(f)?;
        if self.random_range == 0 {
            return Ok(());
        }
        write!(f, "{RANDOM_RANGE_SEPARATOR}{}", self.random_range)
    }
}

impl FromStr for Choice {
    type Err = ParseChoiceError;

    fn from_str(text: &str) -> Result<Choice, ParseChoiceError> {
        parse_choice(text).ok_or_else(|| ParseChoiceError {
            text: text.to_owned(),
        })
    }
}

fn parse_choice(text: &str) -> Option<Choice> {
    let (action, random_range) = match text.split_once(RANDOM_RANGE_SEPARATOR) {
        Some((action, range)) => (action, range.parse().ok()?),
        None => (text, 0),
    };
    Some(Choice {
        action: parse_action(action)?,
        random_range,
    })
}

fn parse_action(text: &str) -> Option<Action> {
    let words: Vec<&str> = text.split(' ').collect();
    match words[..] {
        ["next", "deadline"] => Some(Action::NextDeadline),
        ["SIGTERM"] => Some(Action::Sigterm),
        ["operator", "drains"] => Some(Action::OperatorDrains),
        ["operator", "undrains"] => Some(Action::OperatorCancelsDrain),
        ["session", session, ref event @ ..] => parse_session_action(session.parse().ok()?, event),
        ["host", server, ref event @ ..] => parse_server_action(server.parse().ok()?, event),
        _ => None,
    }
}

fn parse_session_action(session: u8, event: &[&str]) -> Option<Action> {
    match *event {
        ["arrives"] => Some(Action::SessionArrives(session)),
        ["dial", "connected"] => Some(Action::DialConnected(session)),
        ["dial", "refused"] => Some(Action::DialRefused(session)),
        ["dial", "without", "socket"] => Some(Action::DialWithoutSocket(session)),
        ["line", "written"] => Some(Action::RequestWritten(session)),
        ["host", "says", word] => Some(Action::ServerAnswers(session, server_message(word)?)),
        ["host", "ends"] => Some(Action::ServerCloses(session)),
        ["client", "leaves"] => Some(Action::ClientLeaves(session)),
        ["client", "speaks"] => Some(Action::ClientSendsEarly(session)),
        ["client", "leaves", "unseen"] => Some(Action::ClientLeavesUnnoticed(session)),
        ["closed", "connection", "wakes"] => Some(Action::StaleEvent(session)),
        _ => None,
    }
}

fn parse_server_action(server: u8, event: &[&str]) -> Option<Action> {
    match *event {
        ["told", word] => {
            let change = value_of(&ENDPOINT_CHANGES, word)?;
            Some(Action::EndpointChanges(server, change))
        }
        ["probe", word] => Some(Action::ProbeEnds(server, probe_result(word)?)),
        _ => None,
    }
}

/// Parses a server's message. The word of a probe result is accepted as an error, as in earlier builds.
fn server_message(word: &str) -> Option<ServerMessage> {
    value_of(&SERVER_MESSAGES, word)
        .or_else(|| value_of(&PROBE_RESULTS, word).map(|_| ServerMessage::Err))
}

/// Parses a probe result. The word of a server's message is accepted as a refused connection, as in earlier builds.
fn probe_result(word: &str) -> Option<ProbeResult> {
    value_of(&PROBE_RESULTS, word)
        .or_else(|| value_of(&SERVER_MESSAGES, word).map(|_| ProbeResult::Refused))
}
