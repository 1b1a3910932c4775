//! One candidate: an endpoint that was reported to a warm start, from its first report until it is used or dropped.

use crate::source::{EndpointSource, InformationAge};
use std::net::SocketAddr;
use std::time::Duration;

/// Index of an endpoint in the proxy's endpoint table.
pub type EndpointId = u32;

/// A report of an endpoint from a source that may be wrong or outdated. Discovery's current list is not reported this way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointReport {
    /// The reported endpoint.
    pub id: EndpointId,
    /// The address on which it is reported to listen.
    pub address: SocketAddr,
    /// The source of the report.
    pub source: EndpointSource,
    /// How old the source's information is.
    pub age: InformationAge,
    /// Revision of the endpoint list that names it; a report from a newer list replaces one from an older list.
    pub list_revision: u64,
}

/// State of a candidate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum CandidateState {
    /// It was never reported, or it was dropped.
    #[default]
    Unknown,
    /// It is to be probed for the first time since it was reported.
    AwaitingProbe,
    /// A probe is in flight.
    Probing,
    /// It did not answer its last probe, and is probed again later.
    Unresponsive,
    /// It answered a probe, so sessions may be placed on it.
    Responsive,
    /// Discovery listed it as ready, so it is used without a probe.
    Listed,
}

impl CandidateState {
    /// Whether sessions may be placed on it.
    pub(crate) fn is_usable(self) -> bool {
        matches!(self, CandidateState::Responsive | CandidateState::Listed)
    }

    /// Whether it must be probed before it can be used, and no probe is in flight.
    pub(crate) fn needs_probe(self) -> bool {
        matches!(
            self,
            CandidateState::AwaitingProbe | CandidateState::Unresponsive
        )
    }
}

/// Why a candidate was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropReason {
    /// A stronger report, or discovery's list, names another endpoint at its address.
    AddressTaken,
    /// It answered no probe until the report of it expired.
    NoAnswer,
}

impl DropReason {
    /// The reason's text in the log. Operators' tools match these texts, so they stay as they are.
    pub fn text(self) -> &'static str {
        match self {
            DropReason::AddressTaken => "another host stands at its address",
            DropReason::NoAnswer => "it has not answered for as long as its word is worth",
        }
    }
}

/// Input of a candidate's state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CandidateInput {
    /// It was reported, and must be probed.
    Reported,
    /// A probe is sent to it.
    ProbeSent,
    /// Its probe was answered.
    Answered,
    /// Its probe was not answered.
    Unanswered,
    /// The report of it expired before it answered a probe.
    Expired,
    /// Discovery listed it as ready.
    Listed,
    /// A stronger report, or discovery's list, names another endpoint at its address.
    Replaced,
    /// Discovery listed it as draining or gone, or left it out of a complete list.
    Delisted,
}

/// The next state of a candidate; `None` if the input changes nothing in this state.
pub(crate) fn next_state(state: CandidateState, input: CandidateInput) -> Option<CandidateState> {
    use CandidateInput as Input;
    use CandidateState::*;
    match (state, input) {
        (Unknown | AwaitingProbe | Unresponsive, Input::Reported) => Some(AwaitingProbe),
        (AwaitingProbe | Unresponsive, Input::ProbeSent) => Some(Probing),
        (Probing, Input::Answered) => Some(Responsive),
        (Probing, Input::Unanswered) => Some(Unresponsive),
        (Unresponsive, Input::Expired) => Some(Unknown),
        (_, Input::Listed) => Some(Listed),
        (Unknown, Input::Replaced | Input::Delisted) => None,
        (_, Input::Replaced | Input::Delisted) => Some(Unknown),
        _ => None,
    }
}

/// Time until an endpoint that did not answer its first probe is probed again; doubled after each further probe.
const MIN_PROBE_BACKOFF: Duration = Duration::from_millis(500);
/// Longest time until an unresponsive endpoint is probed again. An endpoint that comes up is found within this time.
const MAX_PROBE_BACKOFF: Duration = Duration::from_secs(5);
/// Most doublings of the backoff, so that it cannot overflow; [`MAX_PROBE_BACKOFF`] is reached after 4.
const MAX_PROBE_BACKOFF_DOUBLINGS: u32 = 8;

/// What is known of one candidate.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    pub(crate) state: CandidateState,
    pub(crate) address: SocketAddr,
    pub(crate) source: EndpointSource,
    pub(crate) list_revision: u64,
    /// When the report of it expires, so that it is dropped if it has not answered; `None` for never.
    pub(crate) expires_at: Option<Duration>,
    /// When it is to be probed next; counts only in a state that needs a probe.
    pub(crate) next_probe_at: Duration,
    /// Consecutive probes that were not answered.
    pub(crate) unanswered_probes: u32,
}

impl Candidate {
    /// Whether a report of it, or of another endpoint at its address, is too weak to replace what is known. An answer to a
    /// probe outranks every report; otherwise a newer list outranks an older one, and within a list the stronger source.
    pub(crate) fn outranks(&self, report: &EndpointReport) -> bool {
        let rank = (self.list_revision, self.source);
        self.state != CandidateState::Unknown
            && (self.state.is_usable() || rank >= (report.list_revision, report.source))
    }

    /// Schedules the next probe after one that was not answered.
    pub(crate) fn back_off(&mut self, now: Duration) {
        let doublings = self.unanswered_probes.min(MAX_PROBE_BACKOFF_DOUBLINGS);
        let backoff = MIN_PROBE_BACKOFF * (1 << doublings);
        self.next_probe_at = now + backoff.min(MAX_PROBE_BACKOFF);
        self.unanswered_probes += 1;
    }
}
