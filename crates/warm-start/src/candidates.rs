//! All candidates of a warm start: which are probed next, and on which sessions may be placed.

use crate::candidate::{
    Candidate, CandidateInput, CandidateState, DropReason, EndpointId, EndpointReport, next_state,
};
#[cfg(feature = "injected-faults")]
use crate::injected_fault::InjectedFault;
use crate::source::{CandidatePolicy, EndpointSource, InformationAge, candidate_policy};
use asterramp_injected_faults::is_injected;
use std::net::SocketAddr;
use std::time::Duration;

/// List revision of endpoints in discovery's current list: no report has a newer one.
const CURRENT_LIST_REVISION: u64 = u64::MAX;

/// Effect of an input on a candidate, for the warm start to pass on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CandidateEffect {
    /// Probe it.
    Probe(EndpointId),
    /// Place sessions on it.
    Use(EndpointId),
    /// Place no more sessions on it.
    Drop(EndpointId, DropReason),
    /// Place no more sessions on it: discovery listed it as draining or gone, or left it out. The caller has already done
    /// so.
    Delisted,
}

/// Numbers of candidates by their source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SourceCounts {
    /// Candidates whose strongest report is from this source.
    pub reported: usize,
    /// Candidates among them on which sessions may be placed.
    pub usable: usize,
}

/// All candidates of a warm start.
#[derive(Clone, Debug, Default)]
pub struct EndpointCandidates {
    /// Indexed by [`EndpointId`]; `None` for an endpoint that was never reported.
    candidates: Vec<Option<Candidate>>,
    probes_in_flight: usize,
    effects: Vec<CandidateEffect>,
    /// Reports that were ignored and candidates that were dropped.
    dropped: u64,
    /// The fault that the model checker injects; `None` for none.
    #[cfg(feature = "injected-faults")]
    pub(crate) injected_fault: Option<InjectedFault>,
}

impl EndpointCandidates {
    /// State of an endpoint.
    pub fn state(&self, id: EndpointId) -> CandidateState {
        self.get(id)
            .map_or(CandidateState::Unknown, |candidate| candidate.state)
    }

    /// Number of endpoints on which sessions may be placed.
    pub fn usable_count(&self) -> usize {
        self.count(|candidate| candidate.state.is_usable())
    }

    /// Numbers of endpoints that a source reported.
    pub fn source_counts(&self, source: EndpointSource) -> SourceCounts {
        let is_reported = |candidate: &Candidate| {
            candidate.source == source && candidate.state != CandidateState::Unknown
        };
        SourceCounts {
            reported: self.count(is_reported),
            usable: self.count(|candidate| is_reported(candidate) && candidate.state.is_usable()),
        }
    }

    /// Number of ignored reports plus number of candidates that expired, were replaced or were delisted.
    pub fn dropped_count(&self) -> u64 {
        self.dropped
    }

    fn count(&self, matches: impl Fn(&Candidate) -> bool) -> usize {
        self.candidates
            .iter()
            .flatten()
            .filter(|candidate| matches(candidate))
            .count()
    }

    fn get(&self, id: EndpointId) -> Option<&Candidate> {
        self.candidates.get(id as usize)?.as_ref()
    }

    pub(crate) fn take_effects(&mut self) -> Vec<CandidateEffect> {
        std::mem::take(&mut self.effects)
    }

    /// The whole state as text, with times relative to `now`: two sets of candidates with equal keys behave alike. The
    /// model checker uses it to recognise states that it has already explored.
    pub fn state_key(&self, now: Duration) -> String {
        let remaining = |at: Duration| at.saturating_sub(now).as_millis();
        let key_of = |candidate: &Candidate| {
            format!(
                "{:?}{}{:?}{}{:?}{}{}",
                candidate.state,
                candidate.address,
                candidate.source,
                candidate.list_revision,
                candidate.expires_at.map(remaining),
                remaining(candidate.next_probe_at),
                candidate.unanswered_probes
            )
        };
        let keys: Vec<String> = self
            .candidates
            .iter()
            .map(|slot| slot.as_ref().map_or("-".into(), key_of))
            .collect();
        format!("{}{}", keys.join(";"), self.probes_in_flight)
    }

    /// Handles a report of an endpoint, unless a stronger one is known.
    pub(crate) fn report(&mut self, now: Duration, report: EndpointReport) {
        let age = if is_injected!(self, FutureCountsAsFresh) {
            InformationAge::Fresh
        } else {
            report.age
        };
        let forget_after = match candidate_policy(report.source, age) {
            CandidatePolicy::Probe { forget_after } => forget_after,
            // Only discovery's current list is used at once, and it is handled by `endpoint_listed`.
            CandidatePolicy::Use => return,
            CandidatePolicy::Ignore => {
                self.dropped += 1;
                return;
            }
        };
        if self
            .get(report.id)
            .is_some_and(|known| known.outranks(&report))
        {
            return;
        }
        if !self.drop_other_endpoint_at_address(now, &report) {
            self.dropped += 1;
            return;
        }
        let candidate = Candidate {
            state: self.state(report.id),
            address: report.address,
            source: report.source,
            list_revision: report.list_revision,
            expires_at: forget_after.map(|timeout| now + timeout),
            next_probe_at: now,
            unanswered_probes: 0,
        };
        self.set_candidate(report.id, candidate);
        self.apply(now, report.id, CandidateInput::Reported);
        if self.is_used_unprobed(report.source) {
            self.apply(now, report.id, CandidateInput::ProbeSent);
            self.apply(now, report.id, CandidateInput::Answered);
        }
    }

    /// Drops another endpoint at the address of the report. `false` if a stronger report names that other endpoint, which
    /// then stays.
    fn drop_other_endpoint_at_address(&mut self, now: Duration, report: &EndpointReport) -> bool {
        let Some(other) = self.other_endpoint_at(report.id, report.address) else {
            return true;
        };
        if self.get(other).is_some_and(|known| known.outranks(report)) {
            return false;
        }
        self.apply(now, other, CandidateInput::Replaced);
        true
    }

    /// Whether an injected fault makes endpoints of this source usable without a probe.
    fn is_used_unprobed(&self, source: EndpointSource) -> bool {
        match source {
            EndpointSource::Snapshot => is_injected!(self, SnapshotUsedUnprobed),
            EndpointSource::Peer => is_injected!(self, PeerReportUsedUnprobed),
            EndpointSource::Configuration | EndpointSource::Discovery => false,
        }
    }

    /// Discovery's current list has an endpoint, as ready or (`ready` is false) as draining or gone.
    pub(crate) fn endpoint_listed(
        &mut self,
        now: Duration,
        id: EndpointId,
        address: SocketAddr,
        ready: bool,
    ) {
        if !ready {
            self.apply(now, id, CandidateInput::Delisted);
            return;
        }
        if let Some(other) = self.other_endpoint_at(id, address) {
            self.apply(now, other, CandidateInput::Replaced);
        }
        let candidate = Candidate {
            state: self.state(id),
            address,
            source: EndpointSource::Discovery,
            list_revision: CURRENT_LIST_REVISION,
            expires_at: None,
            next_probe_at: now,
            unanswered_probes: 0,
        };
        self.set_candidate(id, candidate);
        self.apply(now, id, CandidateInput::Listed);
    }

    /// Drops every endpoint that is missing from discovery's complete list.
    pub(crate) fn retain_listed(&mut self, now: Duration, listed: &[EndpointId]) {
        if is_injected!(self, DelistedStays) {
            return;
        }
        for id in 0..self.candidates.len() as EndpointId {
            if !listed.contains(&id) {
                self.apply(now, id, CandidateInput::Delisted);
            }
        }
    }

    /// Another endpoint known at the same address; only one of the two can be running there.
    fn other_endpoint_at(&self, id: EndpointId, address: SocketAddr) -> Option<EndpointId> {
        if is_injected!(self, TwoAtOneAddress) {
            return None;
        }
        let is_at_address = |candidate: &Candidate| {
            candidate.address == address && candidate.state != CandidateState::Unknown
        };
        (0..)
            .zip(&self.candidates)
            .find(|(other, slot)| *other != id && slot.as_ref().is_some_and(is_at_address))
            .map(|(other, _)| other)
    }

    /// Replaces what is known of an endpoint.
    fn set_candidate(&mut self, id: EndpointId, candidate: Candidate) {
        let index = id as usize;
        if self.candidates.len() <= index {
            self.candidates.resize(index + 1, None);
        }
        self.candidates[index] = Some(candidate);
    }

    /// The probe of an endpoint has ended; `answered` says whether it got an answer.
    pub(crate) fn probe_finished(&mut self, now: Duration, id: EndpointId, answered: bool) {
        if answered || is_injected!(self, SilenceCountsAsAnswer) {
            self.apply(now, id, CandidateInput::Answered);
        } else {
            self.apply(now, id, CandidateInput::Unanswered);
        }
    }

    /// When the next probe is due; `None` if no endpoint needs one. Also `None` while `max_probes` are in flight: no probe can
    /// be sent until one of them ends, and a deadline in the past would make the caller's timer expire over and over.
    pub(crate) fn next_probe_at(&self, max_probes: usize) -> Option<Duration> {
        if self.probes_in_flight >= max_probes {
            return None;
        }
        self.candidates
            .iter()
            .flatten()
            .filter(|candidate| candidate.state.needs_probe())
            .map(|candidate| candidate.next_probe_at)
            .min()
    }

    /// Probes the endpoints that are due, with at most `max_probes` in flight, and drops those that have expired.
    pub(crate) fn probe_due(&mut self, now: Duration, max_probes: usize) {
        for id in 0..self.candidates.len() as EndpointId {
            let Some(candidate) = self.get(id) else {
                continue;
            };
            if !candidate.state.needs_probe() {
                continue;
            }
            let is_expired = candidate
                .expires_at
                .is_some_and(|expires_at| expires_at <= now);
            if candidate.state == CandidateState::Unresponsive && is_expired {
                self.apply(now, id, CandidateInput::Expired);
            } else if candidate.next_probe_at <= now && self.probes_in_flight < max_probes {
                self.apply(now, id, CandidateInput::ProbeSent);
            }
        }
    }

    /// Applies an input to a candidate and records its effects.
    fn apply(&mut self, now: Duration, id: EndpointId, input: CandidateInput) {
        let slot = self.candidates.get_mut(id as usize);
        let Some(candidate) = slot.and_then(Option::as_mut) else {
            return;
        };
        let before = candidate.state;
        let Some(next) = next_state(before, input) else {
            return;
        };
        candidate.state = next;
        if before == CandidateState::Probing {
            self.probes_in_flight -= 1;
        }
        if next == CandidateState::Probing {
            self.probes_in_flight += 1;
        }
        match input {
            CandidateInput::Reported | CandidateInput::Listed => {}
            CandidateInput::ProbeSent => self.effects.push(CandidateEffect::Probe(id)),
            CandidateInput::Answered => self.effects.push(CandidateEffect::Use(id)),
            CandidateInput::Unanswered => {
                candidate.back_off(now);
                if is_injected!(self, ProbedOnlyOnce) {
                    candidate.next_probe_at = Duration::MAX;
                }
            }
            CandidateInput::Expired => {
                self.drop_candidate(CandidateEffect::Drop(id, DropReason::NoAnswer));
            }
            CandidateInput::Replaced => {
                self.drop_candidate(CandidateEffect::Drop(id, DropReason::AddressTaken));
            }
            CandidateInput::Delisted => self.drop_candidate(CandidateEffect::Delisted),
        }
    }

    fn drop_candidate(&mut self, effect: CandidateEffect) {
        self.dropped += 1;
        self.effects.push(effect);
    }
}
