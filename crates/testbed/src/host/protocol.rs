//! Parsers of the lines that a host reads: session requests and messages of open sessions.

use crate::event_log::SessionId;
use crate::scenario::Scenario;
use std::time::Duration;

/// A session request, the first line of a session.
#[derive(Clone, Copy, Debug)]
pub(super) struct OpenRequest {
    pub(super) session: SessionId,
    pub(super) group: Option<u64>,
    /// The session's load, as a share of a standard host's capacity.
    pub(super) work: f64,
    /// Whether the client counts as connected before the run.
    pub(super) inherited: bool,
}

/// A standard host's capacity in the unit of `h` in requests and of `LOAD`.
const WORK_UNITS: f64 = 1e6;

impl OpenRequest {
    /// Parses `OPEN <session> <item> <name>=<value>,...`; `None` for any other line, for a listener that the scenario
    /// does not have, and without the client's deadline (`d`) unless the client counts as connected before the run
    /// (`at`).
    pub(super) fn parse(line: &str, scenario: &Scenario) -> Option<OpenRequest> {
        let mut words = line.strip_prefix("OPEN ")?.split(' ');
        let (session, item, list) = (words.next()?, words.next()?, words.next()?);
        let session = u64::from_str_radix(session, 16).ok()?;
        u64::from_str_radix(item, 16).ok()?;
        let mut request = OpenRequest {
            session,
            group: None,
            work: 0.0,
            inherited: false,
        };
        let (mut known_listener, mut has_deadline) = (false, false);
        for pair in list.split(',') {
            let (name, value) = pair.split_once('=')?;
            match name {
                "c" => known_listener = scenario.listeners.iter().any(|l| l.name == value),
                "g" => request.group = Some(u64::from_str_radix(value, 16).ok()?),
                "h" => request.work = value.parse::<f64>().ok()? / WORK_UNITS,
                "d" => has_deadline = value.parse::<u64>().is_ok(),
                "at" => request.inherited = true,
                _ => {}
            }
        }
        let complete = known_listener && (has_deadline || request.inherited);
        (complete && words.next().is_none()).then_some(request)
    }

    /// The session's load in the unit of a `LOAD` line.
    pub(super) fn work_units(&self) -> f64 {
        self.work * WORK_UNITS
    }
}

/// A client's message on an open session.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClientMessage {
    pub(super) number: u64,
    /// When the client sent it, on the event log's clock.
    pub(super) sent_at: Duration,
}

impl ClientMessage {
    /// Parses `MSG <number> <microseconds>`.
    pub(super) fn parse(line: &str) -> Option<ClientMessage> {
        let (number, sent_at) = line.strip_prefix("MSG ")?.split_once(' ')?;
        Some(ClientMessage {
            number: number.parse().ok()?,
            sent_at: Duration::from_micros(sent_at.parse().ok()?),
        })
    }
}
