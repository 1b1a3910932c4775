//! The stages of a warm start: their state machine, their deadlines, and how clients are admitted in each.

use crate::WarmStartSettings;
#[cfg(feature = "injected-faults")]
use crate::injected_fault::InjectedFault;
use asterramp_injected_faults::is_injected;
use std::time::Duration;

/// Stage of a warm start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum WarmStartStage {
    /// The proxy has not started yet.
    #[default]
    NotStarted,
    /// Waits for discovery's list.
    WaitingForDiscovery,
    /// Waits for the answers of peers.
    AskingPeers,
    /// Probes endpoints; none can be used yet.
    Probing,
    /// Endpoints can be used; clients are admitted at a limited rate.
    LimitingAdmission,
    /// The warm start is over.
    Normal,
}

impl WarmStartStage {
    /// All stages, in order.
    pub const ALL: [WarmStartStage; 6] = [
        WarmStartStage::NotStarted,
        WarmStartStage::WaitingForDiscovery,
        WarmStartStage::AskingPeers,
        WarmStartStage::Probing,
        WarmStartStage::LimitingAdmission,
        WarmStartStage::Normal,
    ];

    /// The stage's name in the log, in metrics and in the status of a proxy. Operators' tools read these names, so they stay
    /// as they are.
    pub fn name(self) -> &'static str {
        match self {
            WarmStartStage::NotStarted => "dark",
            WarmStartStage::WaitingForDiscovery => "looking",
            WarmStartStage::AskingPeers => "asking",
            WarmStartStage::Probing => "probing",
            WarmStartStage::LimitingAdmission => "admitting",
            WarmStartStage::Normal => "normal",
        }
    }
}

/// How clients are admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ClientAdmission {
    /// Clients wait in the kernel's accept queue. Used only while waiting for discovery: in a longer wait, clients might
    /// time out.
    Queued,
    /// Each client is rejected at once and asked to retry.
    Rejected,
    /// Clients are admitted in order of arrival, at the rate that the endpoints can take.
    Limited,
    /// Clients are admitted without a limit.
    Open,
}

/// Input of the stages' state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StageInput {
    /// The proxy has started.
    Started,
    /// Discovery sent a complete list, most of whose endpoints are warm.
    WarmList,
    /// Discovery sent a complete list, most of whose endpoints have just started.
    ColdList,
    /// All peers have answered or cannot be reached.
    PeerQueriesFinished,
    /// An endpoint can be used.
    EndpointUsable,
    /// No endpoint can be used any more.
    NoEndpointUsable,
    /// The stage's deadline has passed.
    TimedOut,
}

/// What a transition does besides changing the stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StageAction {
    /// Leave clients in the accept queue.
    QueueClients,
    /// Ask peers and reject clients.
    AskPeers,
    /// Start to probe endpoints and reject clients.
    BeginProbing,
    /// Continue to probe endpoints and reject clients; ask peers again if no endpoint can be used.
    RejectClients,
    /// Admit clients at a limited rate, and probe the remaining endpoints.
    LimitClients,
    /// Admit all clients.
    AdmitClients,
}

/// The next stage and what the transition does; `None` if the input changes nothing in this stage.
///
/// Every stage between the first and the last has a deadline, and none waits for another proxy any longer than that, so
/// two proxies that wait for each other's answers both continue.
fn transition(stage: WarmStartStage, input: StageInput) -> Option<(WarmStartStage, StageAction)> {
    use StageAction as Action;
    use StageInput as Input;
    use WarmStartStage::*;
    match (stage, input) {
        (NotStarted, Input::Started) => Some((WaitingForDiscovery, Action::QueueClients)),
        (WaitingForDiscovery, Input::WarmList) => Some((Normal, Action::AdmitClients)),
        (WaitingForDiscovery, Input::ColdList) => Some((LimitingAdmission, Action::LimitClients)),
        (WaitingForDiscovery, Input::TimedOut) => Some((AskingPeers, Action::AskPeers)),
        (AskingPeers, Input::WarmList) => Some((Normal, Action::AdmitClients)),
        (AskingPeers, Input::ColdList) => Some((LimitingAdmission, Action::LimitClients)),
        (AskingPeers, Input::PeerQueriesFinished) => Some((Probing, Action::BeginProbing)),
        (AskingPeers, Input::TimedOut) => Some((Probing, Action::BeginProbing)),
        (Probing, Input::WarmList) => Some((Normal, Action::AdmitClients)),
        (Probing, Input::ColdList) => Some((LimitingAdmission, Action::LimitClients)),
        (Probing, Input::EndpointUsable) => Some((LimitingAdmission, Action::LimitClients)),
        // No endpoint has answered yet, so clients are still rejected and probing continues.
        (Probing, Input::TimedOut) => Some((Probing, Action::RejectClients)),
        (LimitingAdmission, Input::WarmList) => Some((Normal, Action::AdmitClients)),
        (LimitingAdmission, Input::NoEndpointUsable) => Some((Probing, Action::RejectClients)),
        (LimitingAdmission, Input::TimedOut) => Some((Normal, Action::AdmitClients)),
        _ => None,
    }
}

/// Result of an input that had an effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StageTransition {
    /// Whether the stage is different from before; if not, only its deadline was renewed.
    pub(crate) changed: bool,
    pub(crate) action: StageAction,
}

/// State machine of the stages.
#[derive(Clone, Debug, Default)]
pub(crate) struct StageMachine {
    pub(crate) stage: WarmStartStage,
    /// When it entered this stage.
    pub(crate) stage_since: Duration,
    /// When this stage times out; `None` for a stage without a deadline.
    pub(crate) deadline: Option<Duration>,
    /// The fault that the model checker injects; `None` for none.
    #[cfg(feature = "injected-faults")]
    pub(crate) injected_fault: Option<InjectedFault>,
}

impl StageMachine {
    /// Applies an input; `None` if it changes nothing in the present stage.
    pub(crate) fn apply(
        &mut self,
        now: Duration,
        input: StageInput,
        settings: &WarmStartSettings,
    ) -> Option<StageTransition> {
        if is_injected!(self, LossOfLastEndpointIgnored) && input == StageInput::NoEndpointUsable {
            return None;
        }
        let (next, action) = self.next_stage(input, settings)?;
        let changed = next != self.stage;
        if changed {
            self.stage = next;
            self.stage_since = now;
        }
        self.deadline = self.timeout(settings).map(|timeout| now + timeout);
        Some(StageTransition { changed, action })
    }

    /// The next stage and action under these settings.
    fn next_stage(
        &self,
        input: StageInput,
        settings: &WarmStartSettings,
    ) -> Option<(WarmStartStage, StageAction)> {
        let (next, action) = transition(self.stage, input)?;
        // Without peers, the stage that asks them is skipped.
        if next == WarmStartStage::AskingPeers && !settings.has_peers {
            return Some((WarmStartStage::Probing, StageAction::BeginProbing));
        }
        if next == WarmStartStage::LimitingAdmission && is_injected!(self, AdmissionNeverLimited) {
            return Some((WarmStartStage::Normal, StageAction::AdmitClients));
        }
        Some((next, action))
    }

    /// How long the present stage lasts at most; `None` for a stage without a deadline.
    fn timeout(&self, settings: &WarmStartSettings) -> Option<Duration> {
        match self.stage {
            WarmStartStage::NotStarted | WarmStartStage::Normal => None,
            WarmStartStage::AskingPeers if is_injected!(self, NoPeerTimeout) => None,
            WarmStartStage::WaitingForDiscovery => Some(settings.discovery_timeout),
            WarmStartStage::AskingPeers => Some(settings.peer_timeout),
            WarmStartStage::Probing => Some(settings.probe_timeout),
            WarmStartStage::LimitingAdmission => Some(settings.limited_admission_duration),
        }
    }
}
