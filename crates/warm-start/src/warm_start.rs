//! The warm start as the proxy drives it: passes inputs to candidates and stages, and collects the effects of both.

use crate::WarmStartSettings;
use crate::candidate::{DropReason, EndpointId, EndpointReport};
use crate::candidates::{CandidateEffect, EndpointCandidates};
#[cfg(feature = "injected-faults")]
use crate::injected_fault::InjectedFault;
use crate::stage::{ClientAdmission, StageAction, StageInput, StageMachine, WarmStartStage};
use asterramp_injected_faults::is_injected;
use std::net::SocketAddr;
use std::time::Duration;

/// Reason for a change of stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StageReason {
    /// The proxy has started.
    Started,
    /// Discovery listed an endpoint as ready.
    EndpointListed,
    /// Discovery sent a complete list, most of whose endpoints have just started.
    ColdList,
    /// Discovery sent a complete list, most of whose endpoints are warm.
    WarmList,
    /// All peers have answered or cannot be reached.
    PeerQueriesFinished,
    /// The deadline of the previous stage has passed.
    TimedOut,
    /// An endpoint answered its probe.
    EndpointAnswered,
    /// An endpoint could be used already when probing started.
    EndpointKnown,
    /// No endpoint can be used any more.
    NoEndpointUsable,
}

impl StageReason {
    /// The reason's text in the log. Operators' tools match these texts, so they stay as they are.
    pub fn text(self) -> &'static str {
        match self {
            StageReason::Started => "started",
            StageReason::EndpointListed => "discovery tells a host",
            StageReason::ColdList => "discovery tells hosts that have just started",
            StageReason::WarmList => "discovery tells hosts that are warm",
            StageReason::PeerQueriesFinished => "the others have been asked",
            StageReason::TimedOut => "its time is over",
            StageReason::EndpointAnswered => "a host answers",
            StageReason::EndpointKnown => "a host is known",
            StageReason::NoEndpointUsable => "no host is left",
        }
    }

    fn input(self) -> StageInput {
        match self {
            StageReason::Started => StageInput::Started,
            StageReason::EndpointListed
            | StageReason::EndpointAnswered
            | StageReason::EndpointKnown => StageInput::EndpointUsable,
            StageReason::ColdList => StageInput::ColdList,
            StageReason::WarmList => StageInput::WarmList,
            StageReason::PeerQueriesFinished => StageInput::PeerQueriesFinished,
            StageReason::TimedOut => StageInput::TimedOut,
            StageReason::NoEndpointUsable => StageInput::NoEndpointUsable,
        }
    }
}

/// What the caller has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WarmStartEffect {
    /// Ask peers which endpoints answer them.
    AskPeers,
    /// Probe an endpoint.
    Probe(EndpointId),
    /// Place sessions on an endpoint. When it started is not known, so it counts as just started.
    Use(EndpointId),
    /// Place no more sessions on an endpoint.
    Drop(EndpointId, DropReason),
    /// Admit clients this way from now on.
    Admit(ClientAdmission),
    /// Log that the stage changed, and why.
    StageChanged(WarmStartStage, StageReason),
}

/// A warm start, from the start of the process until service is normal.
#[derive(Clone, Debug, Default)]
pub struct WarmStart {
    settings: WarmStartSettings,
    candidates: EndpointCandidates,
    stages: StageMachine,
    effects: Vec<WarmStartEffect>,
    /// Whether endpoints are probed: from the first time that probing or limited admission starts.
    probing_started: bool,
    /// Revision of the newest list known at the start. A list with a smaller one is outdated until the start is over.
    newest_revision: u64,
    /// Whether discovery has sent a current complete list.
    has_complete_list: bool,
    /// Whether an outdated list was the last that discovery sent. Its revisions may have begun anew, so the complete list
    /// has to be requested again when the start is over.
    has_outdated_list: bool,
    /// The fault that the model checker injects; `None` for none.
    #[cfg(feature = "injected-faults")]
    pub injected_fault: Option<InjectedFault>,
}

impl WarmStart {
    /// Starts a warm start, which waits for discovery first.
    pub fn new(now: Duration, settings: WarmStartSettings) -> WarmStart {
        let mut warm_start = WarmStart {
            settings,
            ..WarmStart::default()
        };
        warm_start.apply_stage_input(now, StageReason::Started);
        warm_start
    }

    /// The present stage.
    pub fn stage(&self) -> WarmStartStage {
        self.stages.stage
    }

    /// Whether discovery alone decides from now on which endpoints are used: the warm start is over, and discovery has sent
    /// a complete list, so that no endpoint is left to be probed. Until both are true, each list has to be passed on to the
    /// warm start, also after its end.
    pub fn is_settled(&self) -> bool {
        self.has_complete_list && self.stage() == WarmStartStage::Normal
    }

    /// Revision of the newest list known at the start; 0 if none was.
    pub fn newest_revision(&self) -> u64 {
        self.newest_revision
    }

    /// Sets the revision of the newest list known at the start.
    pub fn set_newest_revision(&mut self, revision: u64) {
        self.newest_revision = revision;
    }

    /// Whether a list from discovery is older than one that was known at the start. Always false once the start is over.
    pub fn is_outdated(&self, list_revision: u64) -> bool {
        self.stage() != WarmStartStage::Normal && list_revision < self.newest_revision
    }

    /// Discovery has sent an outdated list. Its ready endpoints are passed to [`report`](Self::report) while
    /// [`accepts_reports`](Self::accepts_reports), the others to [`endpoint_listed`](Self::endpoint_listed).
    pub fn outdated_list_received(&mut self) {
        self.has_outdated_list = true;
    }

    /// Whether an outdated list is all that discovery has sent, so that changes to it must not be requested.
    pub fn has_outdated_list(&self) -> bool {
        self.has_outdated_list
    }

    /// Whether the complete list has to be requested again now: the start has ended on an outdated one, which was only partly
    /// applied. True once.
    pub fn take_list_request(&mut self) -> bool {
        let is_due = self.has_outdated_list && self.stage() == WarmStartStage::Normal;
        if is_due {
            self.has_outdated_list = false;
        }
        is_due && !is_injected!(self, OutdatedListKept)
    }

    /// When the present stage was entered.
    pub fn stage_since(&self) -> Duration {
        self.stages.stage_since
    }

    /// The endpoints that were reported or listed, and what is known of them.
    pub fn candidates(&self) -> &EndpointCandidates {
        &self.candidates
    }

    /// Removes and returns the effects of the inputs so far, in order.
    pub fn drain_effects(&mut self) -> std::vec::Drain<'_, WarmStartEffect> {
        self.effects.drain(..)
    }

    /// Whether reports of peers and of outdated lists are to be passed on: until discovery has sent a complete list, which
    /// outranks them.
    pub fn accepts_reports(&self) -> bool {
        !self.has_complete_list || is_injected!(self, ReportsOutrankDiscovery)
    }

    /// A source other than discovery's current list reports an endpoint; a peer or an outdated list only while
    /// [`accepts_reports`](Self::accepts_reports).
    pub fn report(&mut self, now: Duration, report: EndpointReport) {
        self.candidates.report(now, report);
        self.process_candidates(now);
    }

    /// Discovery's current list has an endpoint, as ready or (`ready` is false) as draining or gone.
    pub fn endpoint_listed(
        &mut self,
        now: Duration,
        id: EndpointId,
        address: SocketAddr,
        ready: bool,
    ) {
        if self.is_list_ignored() {
            return;
        }
        self.candidates.endpoint_listed(now, id, address, ready);
        self.process_candidates(now);
        if ready {
            self.apply_stage_input(now, StageReason::EndpointListed);
        }
    }

    /// Discovery's complete list consists of the endpoints in `listed`, each of which was already passed to
    /// [`endpoint_listed`](Self::endpoint_listed); all others are gone. `is_cold` says whether most of the ready ones have
    /// just started.
    pub fn list_completed(&mut self, now: Duration, listed: &[EndpointId], is_cold: bool) {
        if self.is_list_ignored() {
            return;
        }
        self.has_complete_list = true;
        self.has_outdated_list = false;
        self.candidates.retain_listed(now, listed);
        self.process_candidates(now);
        if is_cold {
            self.apply_stage_input(now, StageReason::ColdList);
        } else {
            self.apply_stage_input(now, StageReason::WarmList);
        }
    }

    /// Whether an injected fault makes the warm start ignore discovery's lists once it is over.
    fn is_list_ignored(&self) -> bool {
        self.stage() == WarmStartStage::Normal && is_injected!(self, ListAfterStartIgnored)
    }

    /// All peers have answered or cannot be reached.
    pub fn peer_queries_finished(&mut self, now: Duration) {
        self.apply_stage_input(now, StageReason::PeerQueriesFinished);
    }

    /// The probe of an endpoint has ended; `answered` says whether it got an answer.
    pub fn probe_finished(&mut self, now: Duration, id: EndpointId, answered: bool) {
        self.candidates.probe_finished(now, id, answered);
        self.process_candidates(now);
    }

    /// When [`handle_deadline`](Self::handle_deadline) is to be called next; `None` if nothing is due before the next input.
    pub fn next_deadline(&self) -> Option<Duration> {
        let next_probe_at = if self.probing_started {
            self.candidates.next_probe_at(self.settings.max_probes)
        } else {
            None
        };
        self.stages.deadline.into_iter().chain(next_probe_at).min()
    }

    /// Handles the deadlines that have passed, and sends the probes that are due.
    pub fn handle_deadline(&mut self, now: Duration) {
        if self.stages.deadline.is_some_and(|deadline| deadline <= now) {
            self.stages.deadline = None;
            self.apply_stage_input(now, StageReason::TimedOut);
        }
        self.process_candidates(now);
    }

    /// Sends the probes that are due, passes on the effects of the candidates, and applies those that change the stage.
    fn process_candidates(&mut self, now: Duration) {
        #[cfg(feature = "injected-faults")]
        {
            self.candidates.injected_fault = self.injected_fault;
            self.stages.injected_fault = self.injected_fault;
        }
        if self.probing_started {
            self.candidates.probe_due(now, self.settings.max_probes);
        }
        let mut any_answered = false;
        let mut any_lost = false;
        for effect in self.candidates.take_effects() {
            match effect {
                CandidateEffect::Probe(id) => self.effects.push(WarmStartEffect::Probe(id)),
                CandidateEffect::Use(id) => {
                    any_answered = true;
                    self.effects.push(WarmStartEffect::Use(id));
                }
                CandidateEffect::Drop(id, reason) => {
                    any_lost = true;
                    self.effects.push(WarmStartEffect::Drop(id, reason));
                }
                CandidateEffect::Delisted => any_lost = true,
            }
        }
        if any_answered {
            self.apply_stage_input(now, StageReason::EndpointAnswered);
        }
        if any_lost && self.candidates.usable_count() == 0 {
            self.apply_stage_input(now, StageReason::NoEndpointUsable);
        }
    }

    /// Applies an input to the stages and performs the action of its transition.
    fn apply_stage_input(&mut self, now: Duration, reason: StageReason) {
        let transition = self.stages.apply(now, reason.input(), &self.settings);
        let Some(transition) = transition else {
            return;
        };
        if transition.changed {
            let stage = self.stages.stage;
            self.effects
                .push(WarmStartEffect::StageChanged(stage, reason));
        }
        self.perform_action(now, transition.action);
    }

    fn perform_action(&mut self, now: Duration, action: StageAction) {
        match action {
            StageAction::QueueClients => self.set_admission(ClientAdmission::Queued),
            StageAction::AskPeers => {
                self.set_admission(ClientAdmission::Rejected);
                self.effects.push(WarmStartEffect::AskPeers);
            }
            StageAction::BeginProbing => {
                self.probing_started = true;
                self.set_admission(ClientAdmission::Rejected);
                self.process_candidates(now);
                // Discovery may have listed an endpoint already.
                if self.candidates.usable_count() > 0 {
                    self.apply_stage_input(now, StageReason::EndpointKnown);
                }
            }
            StageAction::RejectClients => {
                // By now, peers may know endpoints that they did not know before.
                if self.settings.has_peers && self.candidates.usable_count() == 0 {
                    self.effects.push(WarmStartEffect::AskPeers);
                }
                self.set_admission(ClientAdmission::Rejected);
                self.process_candidates(now);
            }
            StageAction::LimitClients => {
                // The remaining candidates are probed too.
                self.probing_started = true;
                self.set_admission(ClientAdmission::Limited);
                self.process_candidates(now);
            }
            StageAction::AdmitClients => self.set_admission(ClientAdmission::Open),
        }
    }

    fn set_admission(&mut self, admission: ClientAdmission) {
        self.effects.push(WarmStartEffect::Admit(admission));
    }
}
