//! The warm start as a proxy drives it: candidates and stages together.

use crate::WarmStartSettings;
use crate::candidate::{DropReason, EndpointId, EndpointReport};
use crate::candidates::{CandidateEffect, EndpointCandidates};
#[cfg(feature = "injected-faults")]
use crate::injected_fault::InjectedFault;
use crate::stage::{ClientAdmission, StageAction, StageInput, StageMachine, WarmStartStage};
use std::net::SocketAddr;
use std::time::Duration;

/// Why the stage changed.
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
    /// The deadline of the stage before has passed.
    TimedOut,
    /// An endpoint answered its probe.
    EndpointAnswered,
    /// An endpoint could be used before probes began.
    EndpointKnown,
    /// No endpoint can be used any more.
    NoEndpointUsable,
}

impl StageReason {
    /// The reason's text in the log.
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

/// What the caller has to do, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WarmStartEffect {
    /// Ask peers which endpoints answer them.
    AskPeers,
    /// Probe an endpoint.
    Probe(EndpointId),
    /// Place sessions on an endpoint. Nobody said when it started, so it counts as just started.
    Use(EndpointId),
    /// Place no more sessions on an endpoint.
    Drop(EndpointId, DropReason),
    /// Admit clients this way from now on.
    Admit(ClientAdmission),
    /// The stage changed.
    StageChanged(WarmStartStage, StageReason),
}

/// A warm start, from the start of the process until service is normal.
#[derive(Clone, Debug, Default)]
pub struct WarmStart {
    settings: WarmStartSettings,
    candidates: EndpointCandidates,
    stages: StageMachine,
    effects: Vec<WarmStartEffect>,
    /// Whether endpoints are probed yet.
    is_probing: bool,
    /// The fault that the model checker injects, if any.
    #[cfg(feature = "injected-faults")]
    pub injected_fault: Option<InjectedFault>,
}

impl WarmStart {
    /// Begins a warm start, which waits for discovery first.
    pub fn new(now: Duration, settings: WarmStartSettings) -> WarmStart {
        let mut warm_start = WarmStart {
            settings,
            ..WarmStart::default()
        };
        warm_start.advance(now, StageReason::Started);
        warm_start
    }

    /// The present stage.
    pub fn stage(&self) -> WarmStartStage {
        self.stages.stage
    }

    /// Since when it is in this stage.
    pub fn stage_since(&self) -> Duration {
        self.stages.stage_since
    }

    /// The endpoints that were reported, and what is known of them.
    pub fn candidates(&self) -> &EndpointCandidates {
        &self.candidates
    }

    /// Takes out what there is to do, in order.
    pub fn drain_effects(&mut self) -> std::vec::Drain<'_, WarmStartEffect> {
        self.effects.drain(..)
    }

    /// Somebody other than discovery's current list reports an endpoint.
    pub fn report(&mut self, now: Duration, report: EndpointReport) {
        self.candidates.report(now, report);
        self.update(now);
    }

    /// Discovery lists an endpoint as ready, or as draining or gone.
    pub fn endpoint_listed(
        &mut self,
        now: Duration,
        id: EndpointId,
        address: SocketAddr,
        ready: bool,
    ) {
        self.candidates.listed(now, id, address, ready);
        self.update(now);
        if ready {
            self.advance(now, StageReason::EndpointListed);
        }
    }

    /// Discovery's list is complete with these endpoints, each of which came in by
    /// [`endpoint_listed`](Self::endpoint_listed) before; all others are gone. `is_cold` says whether most of those that
    /// are ready have just started.
    pub fn list_completed(&mut self, now: Duration, listed: &[EndpointId], is_cold: bool) {
        self.candidates.retain_listed(now, listed);
        self.update(now);
        if is_cold {
            self.advance(now, StageReason::ColdList);
        } else {
            self.advance(now, StageReason::WarmList);
        }
    }

    /// All peers have answered or cannot be reached.
    pub fn peer_queries_finished(&mut self, now: Duration) {
        self.advance(now, StageReason::PeerQueriesFinished);
    }

    /// The probe of an endpoint has ended.
    pub fn probe_finished(&mut self, now: Duration, id: EndpointId, answered: bool) {
        self.candidates.probe_finished(now, id, answered);
        self.update(now);
    }

    /// When [`handle_deadline`](Self::handle_deadline) is to be called next; `None` if only an input can change anything.
    pub fn next_deadline(&self) -> Option<Duration> {
        let next_probe_at = if self.is_probing {
            self.candidates.next_probe_at(self.settings.max_probes)
        } else {
            None
        };
        self.stages.deadline.into_iter().chain(next_probe_at).min()
    }

    /// Does what is due at `now`.
    pub fn handle_deadline(&mut self, now: Duration) {
        if self.stages.deadline.is_some_and(|deadline| deadline <= now) {
            self.stages.deadline = None;
            self.advance(now, StageReason::TimedOut);
        }
        self.update(now);
    }

    /// Sends the probes that are due and passes on what became of the candidates.
    fn update(&mut self, now: Duration) {
        #[cfg(feature = "injected-faults")]
        {
            self.candidates.injected_fault = self.injected_fault;
            self.stages.injected_fault = self.injected_fault;
        }
        if self.is_probing {
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
            self.advance(now, StageReason::EndpointAnswered);
        }
        if any_lost && self.candidates.usable_count() == 0 {
            self.advance(now, StageReason::NoEndpointUsable);
        }
    }

    /// Handles an input of the stages and does what its transition asks for.
    fn advance(&mut self, now: Duration, reason: StageReason) {
        let transition = self.stages.handle(now, reason.input(), &self.settings);
        let Some(transition) = transition else {
            return;
        };
        if transition.changed {
            let stage = self.stages.stage;
            self.effects
                .push(WarmStartEffect::StageChanged(stage, reason));
        }
        self.act(now, transition.action);
    }

    fn act(&mut self, now: Duration, action: StageAction) {
        match action {
            StageAction::QueueClients => self.admit(ClientAdmission::Queued),
            StageAction::AskPeers => {
                self.admit(ClientAdmission::Rejected);
                self.effects.push(WarmStartEffect::AskPeers);
            }
            StageAction::BeginProbing => {
                self.is_probing = true;
                self.admit(ClientAdmission::Rejected);
                self.update(now);
                // Discovery may have listed one before.
                if self.candidates.usable_count() > 0 {
                    self.advance(now, StageReason::EndpointKnown);
                }
            }
            StageAction::RejectClients => {
                // Peers may know by now what they did not know before.
                if self.settings.has_peers && self.candidates.usable_count() == 0 {
                    self.effects.push(WarmStartEffect::AskPeers);
                }
                self.admit(ClientAdmission::Rejected);
                self.update(now);
            }
            StageAction::LimitClients => {
                // The remaining candidates are probed as well.
                self.is_probing = true;
                self.admit(ClientAdmission::Limited);
                self.update(now);
            }
            StageAction::AdmitClients => self.admit(ClientAdmission::Open),
        }
    }

    fn admit(&mut self, admission: ClientAdmission) {
        self.effects.push(WarmStartEffect::Admit(admission));
    }
}
