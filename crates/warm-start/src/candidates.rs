//! All candidates of a warm start, which of them are probed next, and which sessions may be placed on.

use crate::candidate::{
    Candidate, CandidateInput, CandidateState, DropReason, EndpointId, EndpointReport, next_state,
};
#[cfg(feature = "injected-faults")]
use crate::injected_fault::InjectedFault;
use crate::source::{CandidatePolicy, EndpointSource, InformationAge, candidate_policy};
use asterramp_injected_faults::is_injected;
use std::net::SocketAddr;
use std::time::Duration;

/// Revision of an endpoint that discovery lists now: no report is newer.
const CURRENT_LIST: u64 = u64::MAX;

/// What is to be done about a candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CandidateEffect {
    /// Send it a probe.
    Probe(EndpointId),
    /// Place sessions on it.
    Use(EndpointId),
    /// Place no more sessions on it.
    Drop(EndpointId, DropReason),
    /// The same, but by discovery's own list, which the caller has applied already.
    Delisted,
}

/// How many candidates a source reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SourceCounts {
    /// Candidates whose strongest report is the source's.
    pub reported: usize,
    /// Those of them that answered a probe or that discovery listed since.
    pub usable: usize,
}

/// All candidates of a warm start.
#[derive(Clone, Debug, Default)]
pub struct EndpointCandidates {
    /// By endpoint.
    candidates: Vec<Option<Candidate>>,
    probes_in_flight: usize,
    effects: Vec<CandidateEffect>,
    dropped: u64,
    /// The fault that the model checker injected, if any.
    #[cfg(feature = "injected-faults")]
    pub(crate) injected_fault: Option<InjectedFault>,
}

impl EndpointCandidates {
    /// How far an endpoint has come.
    pub fn state(&self, id: EndpointId) -> CandidateState {
        self.get(id)
            .map_or(CandidateState::Unknown, |candidate| candidate.state)
    }

    /// On how many endpoints sessions may be placed.
    pub fn usable_count(&self) -> usize {
        self.count(|candidate| candidate.state.is_usable())
    }

    /// How many endpoints a source reported, and how many of these can be used.
    pub fn source_counts(&self, source: EndpointSource) -> SourceCounts {
        let is_reported = |candidate: &Candidate| {
            candidate.source == source && candidate.state != CandidateState::Unknown
        };
        SourceCounts {
            reported: self.count(is_reported),
            usable: self.count(|candidate| is_reported(candidate) && candidate.state.is_usable()),
        }
    }

    /// How many reports were ignored, and how many candidates expired, were replaced or were delisted.
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

    /// Everything that decides about the future, with times relative to `now`: two sets of candidates with equal keys
    /// behave alike. The model checker recognises by it the states that it has explored.
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

    /// Takes in a report of an endpoint, unless a stronger one came before.
    pub(crate) fn report(&mut self, now: Duration, report: EndpointReport) {
        let age = if is_injected!(self, FutureCountsAsFresh) {
            InformationAge::Fresh
        } else {
            report.age
        };
        let forget_after = match candidate_policy(report.source, age) {
            CandidatePolicy::Probe { forget_after } => forget_after,
            // Only discovery's current list is used at once, and that comes in by `listed`.
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
        if !self.replace_other_at(now, &report) {
            self.dropped += 1;
            return;
        }
        let candidate = Candidate {
            state: self.state(report.id),
            address: report.address,
            source: report.source,
            list_revision: report.list_revision,
            expires_at: forget_after.map(|span| now + span),
            next_probe_at: now,
            unanswered_probes: 0,
        };
        self.put(report.id, candidate);
        self.handle(now, report.id, CandidateInput::Reported);
        if self.is_used_unprobed(report.source) {
            self.handle(now, report.id, CandidateInput::ProbeSent);
            self.handle(now, report.id, CandidateInput::Answered);
        }
    }

    /// Drops another endpoint at the report's address; `false` if a stronger report names that one.
    fn replace_other_at(&mut self, now: Duration, report: &EndpointReport) -> bool {
        let Some(other) = self.other_at(report.id, report.address) else {
            return true;
        };
        if self.get(other).is_some_and(|known| known.outranks(report)) {
            return false;
        }
        self.handle(now, other, CandidateInput::Replaced);
        true
    }

    /// Whether an injected fault lets the endpoints of this source be used without a probe.
    fn is_used_unprobed(&self, source: EndpointSource) -> bool {
        match source {
            EndpointSource::Snapshot => is_injected!(self, SnapshotUsedUnprobed),
            EndpointSource::Peer => is_injected!(self, PeerReportUsedUnprobed),
            EndpointSource::Configuration | EndpointSource::Discovery => false,
        }
    }

    /// Discovery's current list names an endpoint, ready or not.
    pub(crate) fn listed(
        &mut self,
        now: Duration,
        id: EndpointId,
        address: SocketAddr,
        ready: bool,
    ) {
        if !ready {
            self.handle(now, id, CandidateInput::Delisted);
            return;
        }
        if let Some(other) = self.other_at(id, address) {
            self.handle(now, other, CandidateInput::Replaced);
        }
        let candidate = Candidate {
            state: self.state(id),
            address,
            source: EndpointSource::Discovery,
            list_revision: CURRENT_LIST,
            expires_at: None,
            next_probe_at: now,
            unanswered_probes: 0,
        };
        self.put(id, candidate);
        self.handle(now, id, CandidateInput::Listed);
    }

    /// Drops every endpoint that discovery's complete list leaves out.
    pub(crate) fn retain_listed(&mut self, now: Duration, listed: &[EndpointId]) {
        if is_injected!(self, DelistedStays) {
            return;
        }
        for id in 0..self.candidates.len() as EndpointId {
            if !listed.contains(&id) {
                self.handle(now, id, CandidateInput::Delisted);
            }
        }
    }

    /// Another endpoint that was reported at the same address: only one of the two can be there.
    fn other_at(&self, id: EndpointId, address: SocketAddr) -> Option<EndpointId> {
        if is_injected!(self, TwoAtOneAddress) {
            return None;
        }
        let is_there = |candidate: &Candidate| {
            candidate.address == address && candidate.state != CandidateState::Unknown
        };
        (0..)
            .zip(&self.candidates)
            .find(|(other, slot)| *other != id && slot.as_ref().is_some_and(is_there))
            .map(|(other, _)| other)
    }

    /// Replaces what is known of an endpoint.
    fn put(&mut self, id: EndpointId, candidate: Candidate) {
        let index = id as usize;
        if self.candidates.len() <= index {
            self.candidates.resize(index + 1, None);
        }
        self.candidates[index] = Some(candidate);
    }

    /// The probe of an endpoint has ended.
    pub(crate) fn probe_finished(&mut self, now: Duration, id: EndpointId, answered: bool) {
        if answered || is_injected!(self, SilenceCountsAsAnswer) {
            self.handle(now, id, CandidateInput::Answered);
        } else {
            self.handle(now, id, CandidateInput::Unanswered);
        }
    }

    /// When the next probe is due; `None` while as many are in flight as may be. An answer is what is waited for then: a
    /// deadline in the past would fire again and again.
    pub(crate) fn next_probe_at(&self, max_probes: usize) -> Option<Duration> {
        if self.probes_in_flight >= max_probes {
            return None;
        }
        self.candidates
            .iter()
            .flatten()
            .filter(|candidate| candidate.state.wants_probe())
            .map(|candidate| candidate.next_probe_at)
            .min()
    }

    /// Probes the endpoints that are due, with at most `max_probes` in flight, and drops those that have expired.
    pub(crate) fn probe_due(&mut self, now: Duration, max_probes: usize) {
        for id in 0..self.candidates.len() as EndpointId {
            let Some(candidate) = self.get(id) else {
                continue;
            };
            if !candidate.state.wants_probe() {
                continue;
            }
            let is_expired = candidate
                .expires_at
                .is_some_and(|expires_at| expires_at <= now);
            if candidate.state == CandidateState::Unresponsive && is_expired {
                self.handle(now, id, CandidateInput::Expired);
            } else if candidate.next_probe_at <= now && self.probes_in_flight < max_probes {
                self.handle(now, id, CandidateInput::ProbeSent);
            }
        }
    }

    fn handle(&mut self, now: Duration, id: EndpointId, input: CandidateInput) {
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
