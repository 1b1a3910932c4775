//! The stages of a warm start.

use crate::WarmStartSettings;
#[cfg(feature = "injected-faults")]
use crate::injected_fault::InjectedFault;
use asterramp_injected_faults::is_injected;
use std::time::Duration;

/// How far a warm start has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum WarmStartStage {
    /// Nothing has been done.
    #[default]
    NotStarted,
    /// Discovery is waited for.
    WaitingForDiscovery,
    /// The answers of peers are waited for.
    AskingPeers,
    /// Endpoints are probed; none has answered.
    Probing,
    /// Endpoints answer; clients are admitted at a limited rate.
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

    /// The stage's name in the log, in metrics and in the status of a proxy.
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
    /// They wait in the kernel's accept queue: only while discovery is waited for, since a client's patience may be
    /// shorter than that.
    Queued,
    /// Each is rejected at once and told to retry.
    Rejected,
    /// At the rate that the endpoints can take, in order of arrival.
    Limited,
    /// Without limit.
    Open,
}

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

/// What a transition does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StageAction {
    /// Lets clients wait.
    QueueClients,
    /// Asks peers and rejects clients.
    AskPeers,
    /// Begins to probe endpoints and rejects clients.
    BeginProbing,
    /// Goes on probing and rejects clients.
    RejectClients,
    /// Admits clients at a limited rate.
    LimitClients,
    /// Admits all clients.
    AdmitClients,
}

/// The next stage and what the transition does; `None` where the input changes nothing.
///
/// Every stage but the last has a deadline, and none waits for another proxy beyond its own: two proxies that wait for
/// each other both go on.
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
        // No endpoint answers yet: clients are still rejected, and probing goes on.
        (Probing, Input::TimedOut) => Some((Probing, Action::RejectClients)),
        (LimitingAdmission, Input::WarmList) => Some((Normal, Action::AdmitClients)),
        (LimitingAdmission, Input::NoEndpointUsable) => Some((Probing, Action::RejectClients)),
        (LimitingAdmission, Input::TimedOut) => Some((Normal, Action::AdmitClients)),
        _ => None,
    }
}

/// What an input led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StageTransition {
    /// Whether the stage is another one than before.
    pub(crate) changed: bool,
    pub(crate) action: StageAction,
}

/// The stage and its deadline.
#[derive(Clone, Debug, Default)]
pub(crate) struct StageMachine {
    pub(crate) stage: WarmStartStage,
    /// Since when it is in this stage.
    pub(crate) stage_since: Duration,
    pub(crate) deadline: Option<Duration>,
    #[cfg(feature = "injected-faults")]
    pub(crate) injected_fault: Option<InjectedFault>,
}

impl StageMachine {
    /// Handles an input; `None` where it changes nothing.
    pub(crate) fn handle(
        &mut self,
        now: Duration,
        input: StageInput,
        settings: &WarmStartSettings,
    ) -> Option<StageTransition> {
        if is_injected!(self, LossOfLastEndpointIgnored) && input == StageInput::NoEndpointUsable {
            return None;
        }
        let (next, action) = self.next(input, settings)?;
        let changed = next != self.stage;
        if changed {
            self.stage = next;
            self.stage_since = now;
        }
        self.deadline = self.timeout(settings).map(|timeout| now + timeout);
        Some(StageTransition { changed, action })
    }

    /// The transition that an input leads to under these settings.
    fn next(
        &self,
        input: StageInput,
        settings: &WarmStartSettings,
    ) -> Option<(WarmStartStage, StageAction)> {
        let (next, action) = transition(self.stage, input)?;
        // Without peers there is nobody to ask.
        if next == WarmStartStage::AskingPeers && !settings.has_peers {
            return Some((WarmStartStage::Probing, StageAction::BeginProbing));
        }
        if next == WarmStartStage::LimitingAdmission && is_injected!(self, AdmissionNeverLimited) {
            return Some((WarmStartStage::Normal, StageAction::AdmitClients));
        }
        Some((next, action))
    }

    /// How long the present stage lasts if nothing ends it earlier; `None` for one without end.
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
