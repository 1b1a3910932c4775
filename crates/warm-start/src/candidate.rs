//! One candidate: an endpoint that was reported to a warm start, from the first report of it until it is used or dropped.

use crate::source::{EndpointSource, InformationAge};
use std::net::SocketAddr;
use std::time::Duration;

/// Index of an endpoint in the proxy's endpoint table.
pub type EndpointId = u32;

/// A report of an endpoint by somebody who may be wrong. Discovery's current list is not reported this way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointReport {
    /// The endpoint.
    pub id: EndpointId,
    /// Where it is said to listen.
    pub address: SocketAddr,
    /// Who reports it.
    pub source: EndpointSource,
    /// How old the information is.
    pub age: InformationAge,
    /// Revision of the endpoint list that names it; a report from a newer list replaces one from an older list.
    pub list_revision: u64,
}

/// How far a candidate has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum CandidateState {
    /// Nobody reported it, or it was dropped.
    #[default]
    Unknown,
    /// It is to be probed.
    AwaitingProbe,
    /// A probe is in flight.
    Probing,
    /// It did not answer and is probed again later.
    Unresponsive,
    /// It answered a probe, so sessions may be placed on it.
    Responsive,
    /// Discovery listed it as ready. What becomes of it is not decided here any more.
    Listed,
}

impl CandidateState {
    /// Whether sessions may be placed on it.
    pub(crate) fn is_usable(self) -> bool {
        matches!(self, CandidateState::Responsive | CandidateState::Listed)
    }

    /// Whether the next thing to do is a probe.
    pub(crate) fn wants_probe(self) -> bool {
        matches!(
            self,
            CandidateState::AwaitingProbe | CandidateState::Unresponsive
        )
    }
}

/// Why a candidate was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropReason {
    /// A stronger report names another endpoint at its address.
    AddressTaken,
    /// It answered no probe for as long as the report of it counts.
    NoAnswer,
}

impl DropReason {
    /// The reason's text in the log.
    pub fn text(self) -> &'static str {
        match self {
            DropReason::AddressTaken => "another host stands at its address",
            DropReason::NoAnswer => "it has not answered for as long as its word is worth",
        }
    }
}

/// What happens to a candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CandidateInput {
    /// A report by which it must be probed.
    Reported,
    /// Its probe is sent.
    ProbeSent,
    /// Its probe was answered.
    Answered,
    /// Its probe was not answered.
    Unanswered,
    /// It has not answered for as long as the report of it counts.
    Expired,
    /// Discovery listed it as ready.
    Listed,
    /// Another endpoint is at its address.
    Replaced,
    /// Discovery listed it as draining or gone, or left it out of a complete list.
    Delisted,
}

/// The next state of a candidate; `None` where the input changes nothing.
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

/// Pause before an endpoint that did not answer is probed again; doubled with each further probe.
const MIN_PROBE_BACKOFF: Duration = Duration::from_millis(500);
/// Longest pause between two probes: an endpoint that comes up is found within it.
const MAX_PROBE_BACKOFF: Duration = Duration::from_secs(5);
/// Doublings after which the backoff grows no more, so that it cannot overflow; the maximum is reached after 4.
const MAX_PROBE_BACKOFF_DOUBLINGS: u32 = 8;

/// What is known of one endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    pub(crate) state: CandidateState,
    pub(crate) address: SocketAddr,
    pub(crate) source: EndpointSource,
    pub(crate) list_revision: u64,
    /// When it is dropped unless it has answered; `None` for never.
    pub(crate) expires_at: Option<Duration>,
    /// When it is to be probed.
    pub(crate) next_probe_at: Duration,
    /// Probes without an answer, one after the other.
    pub(crate) unanswered_probes: u32,
}

impl Candidate {
    /// Whether a report of it, or of another endpoint at its address, is too weak to change anything: an answer counts
    /// above every report, a newer list above an older one, and then the stronger source.
    pub(crate) fn outranks(&self, report: &EndpointReport) -> bool {
        let rank = (self.list_revision, self.source);
        self.state != CandidateState::Unknown
            && (self.state.is_usable() || rank >= (report.list_revision, report.source))
    }

    /// Postpones its next probe after one that was not answered.
    pub(crate) fn back_off(&mut self, now: Duration) {
        let doublings = self.unanswered_probes.min(MAX_PROBE_BACKOFF_DOUBLINGS);
        let backoff = MIN_PROBE_BACKOFF * (1 << doublings);
        self.next_probe_at = now + backoff.min(MAX_PROBE_BACKOFF);
        self.unanswered_probes += 1;
    }
}
