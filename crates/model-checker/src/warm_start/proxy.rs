//! One proxy of the model: what its [`WarmStart`] decided, and what it has heard of endpoints.

use super::violation::WarmStartViolation;
use asterramp_warm_start::{
    CandidateState, ClientAdmission, EndpointId, EndpointReport, EndpointSource, InformationAge,
    WarmStart, WarmStartEffect, WarmStartSettings, WarmStartStage,
};
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Endpoints that exist: two from before the power loss, and one that has the address of the second of them.
pub(super) const ENDPOINT_COUNT: usize = 3;
/// Proxies, each a peer of the others.
pub(super) const PROXY_COUNT: usize = 3;
/// The endpoints from before the power loss, which snapshots name.
pub(super) const FORMER_ENDPOINTS: [EndpointId; 2] = [0, 1];
/// The endpoint that was replaced, and the one that has its address now.
pub(super) const REPLACED_ENDPOINT: EndpointId = 1;
pub(super) const REPLACEMENT_ENDPOINT: EndpointId = 2;

/// Round figures, so that different orders of actions lead to equal states.
pub(super) const SETTINGS: WarmStartSettings = WarmStartSettings {
    discovery_timeout: Duration::from_millis(500),
    peer_timeout: Duration::from_millis(500),
    probe_timeout: Duration::from_millis(1_000),
    limited_admission_duration: Duration::from_millis(1_500),
    has_peers: true,
    max_probes: 1,
};
/// Revision of the list in a snapshot, and of the newer one that peers know.
const SNAPSHOT_REVISION: u64 = 5;
const PEER_REVISION: u64 = 6;
/// Within how long a report with a wrong time must have expired: half a minute, and a second until this is noticed.
const FUTURE_REPORT_EXPIRY: Duration = Duration::from_secs(31);
/// Fingerprints tell only whether a stage has just begun: all else that depends on its age is a deadline.
const MAX_STAGE_AGE: Duration = Duration::from_millis(1);
/// Where endpoints listen, by their number.
const FIRST_PORT: u16 = 4000;

/// One proxy that runs.
#[derive(Clone, Debug)]
pub(super) struct ProxyModel {
    number: usize,
    pub(super) warm_start: WarmStart,
    admission: ClientAdmission,
    /// Endpoints that sessions may be placed on.
    pub(super) used_endpoints: BTreeSet<EndpointId>,
    /// Endpoints that have answered this process, or that discovery listed to it.
    verified: BTreeSet<EndpointId>,
    pub(super) probes_in_flight: BTreeSet<EndpointId>,
    /// Peers whose answers it waits for.
    pub(super) awaited_peers: BTreeSet<usize>,
    /// The endpoints of discovery's last complete list.
    pub(super) listed_endpoints: Option<BTreeSet<EndpointId>>,
    deadlines_handled_at: Duration,
    /// Since when clients are admitted at a limited rate.
    limited_since: Option<Duration>,
    /// When reports of its snapshot must have expired, if that is from the future.
    future_report_expires: Option<Duration>,
    /// A violation of the present action.
    pub(super) violation: Option<WarmStartViolation>,
}

/// Where an endpoint is said to listen.
fn address(endpoint: EndpointId) -> SocketAddr {
    let number = if endpoint == REPLACEMENT_ENDPOINT {
        REPLACED_ENDPOINT
    } else {
        endpoint
    };
    SocketAddr::from((Ipv4Addr::LOCALHOST, FIRST_PORT + number as u16))
}

impl ProxyModel {
    /// A proxy that starts at `now`, without a snapshot.
    pub(super) fn new(number: usize, warm_start: WarmStart, now: Duration) -> ProxyModel {
        ProxyModel {
            number,
            warm_start,
            admission: ClientAdmission::Queued,
            used_endpoints: BTreeSet::new(),
            verified: BTreeSet::new(),
            probes_in_flight: BTreeSet::new(),
            awaited_peers: BTreeSet::new(),
            listed_endpoints: None,
            deadlines_handled_at: now,
            limited_since: None,
            future_report_expires: None,
            violation: None,
        }
    }

    /// Reads a snapshot of the former endpoints.
    pub(super) fn read_snapshot(&mut self, now: Duration, age: InformationAge) {
        if age == InformationAge::Unknown {
            self.future_report_expires = Some(now + FUTURE_REPORT_EXPIRY);
        }
        for endpoint in FORMER_ENDPOINTS {
            let report = EndpointReport {
                id: endpoint,
                address: address(endpoint),
                source: EndpointSource::Snapshot,
                age,
                list_revision: SNAPSHOT_REVISION,
            };
            self.warm_start.report(now, report);
        }
    }

    /// A peer answers with the endpoints that have answered it.
    pub(super) fn receive_peer_answer(
        &mut self,
        now: Duration,
        peer: usize,
        responsive: Vec<EndpointId>,
    ) {
        self.awaited_peers.remove(&peer);
        for endpoint in responsive {
            let report = EndpointReport {
                id: endpoint,
                address: address(endpoint),
                source: EndpointSource::Peer,
                age: InformationAge::Fresh,
                list_revision: PEER_REVISION,
            };
            self.warm_start.report(now, report);
        }
        if self.awaited_peers.is_empty() {
            self.warm_start.peer_queries_finished(now);
        }
    }

    /// The endpoints that have answered this proxy, as it tells its peers.
    pub(super) fn responsive_endpoints(&self) -> Vec<EndpointId> {
        let candidates = self.warm_start.candidates();
        let all = 0..ENDPOINT_COUNT as EndpointId;
        all.filter(|endpoint| candidates.state(*endpoint) == CandidateState::Responsive)
            .collect()
    }

    pub(super) fn finish_probe(&mut self, now: Duration, endpoint: EndpointId, is_answered: bool) {
        self.probes_in_flight.remove(&endpoint);
        let is_listed = self
            .listed_endpoints
            .as_ref()
            .is_none_or(|listed| listed.contains(&endpoint));
        if is_answered && is_listed {
            self.verified.insert(endpoint);
        }
        self.warm_start.probe_finished(now, endpoint, is_answered);
    }

    /// Discovery sends a complete list.
    pub(super) fn receive_list(&mut self, now: Duration, ready: &[EndpointId], is_cold: bool) {
        let listed: BTreeSet<EndpointId> = ready.iter().copied().collect();
        self.probes_in_flight
            .retain(|endpoint| listed.contains(endpoint));
        self.verified = listed.clone();
        self.used_endpoints = listed.clone();
        self.listed_endpoints = Some(listed);
        for endpoint in ready {
            self.warm_start
                .endpoint_listed(now, *endpoint, address(*endpoint), true);
        }
        self.warm_start.list_completed(now, ready, is_cold);
    }

    /// Discovery tells that one endpoint is gone.
    pub(super) fn receive_delisting(&mut self, now: Duration, endpoint: EndpointId) {
        self.used_endpoints.remove(&endpoint);
        self.verified.remove(&endpoint);
        self.warm_start
            .endpoint_listed(now, endpoint, address(endpoint), false);
    }

    /// Discovery tells that one endpoint is ready.
    pub(super) fn receive_listing(&mut self, now: Duration, endpoint: EndpointId) {
        self.used_endpoints.insert(endpoint);
        self.verified.insert(endpoint);
        self.warm_start
            .endpoint_listed(now, endpoint, address(endpoint), true);
    }

    pub(super) fn handle_deadlines(&mut self, now: Duration) {
        self.warm_start.handle_deadline(now);
        self.deadlines_handled_at = now;
    }

    /// Does what was decided.
    pub(super) fn carry_out_effects(&mut self, now: Duration) {
        let effects: Vec<WarmStartEffect> = self.warm_start.drain_effects().collect();
        for effect in effects {
            match effect {
                WarmStartEffect::AskPeers => self.ask_peers(),
                WarmStartEffect::Probe(endpoint) => {
                    self.probes_in_flight.insert(endpoint);
                }
                WarmStartEffect::Use(endpoint) => self.use_endpoint(endpoint),
                WarmStartEffect::Drop(endpoint, _) => {
                    self.used_endpoints.remove(&endpoint);
                    self.verified.remove(&endpoint);
                }
                WarmStartEffect::Admit(admission) => self.set_admission(now, admission),
                WarmStartEffect::StageChanged(..) => {}
            }
        }
    }

    fn ask_peers(&mut self) {
        self.awaited_peers = (0..PROXY_COUNT)
            .filter(|peer| *peer != self.number)
            .collect();
    }

    fn use_endpoint(&mut self, endpoint: EndpointId) {
        if !self.verified.contains(&endpoint) {
            self.violation = Some(WarmStartViolation::UnverifiedEndpointUsed {
                proxy: self.number,
                endpoint,
            });
        }
        self.used_endpoints.insert(endpoint);
    }

    fn set_admission(&mut self, now: Duration, admission: ClientAdmission) {
        self.admission = admission;
        let are_endpoints_warm = self
            .limited_since
            .is_some_and(|since| now >= since + SETTINGS.limited_admission_duration);
        if admission == ClientAdmission::Open
            && self.listed_endpoints.is_none()
            && !are_endpoints_warm
        {
            let proxy = self.number;
            self.violation = Some(WarmStartViolation::AdmissionUnlimited { proxy });
        }
        self.limited_since = (admission == ClientAdmission::Limited).then_some(now);
    }

    /// What must hold after each action. `up` tells which endpoints are up.
    pub(super) fn check(
        &self,
        now: Duration,
        up: &[bool; ENDPOINT_COUNT],
    ) -> Result<(), WarmStartViolation> {
        let proxy = self.number;
        self.check_deadline()?;
        self.check_admission()?;
        let uses_both = self.used_endpoints.contains(&REPLACED_ENDPOINT)
            && self.used_endpoints.contains(&REPLACEMENT_ENDPOINT);
        if uses_both && !(up[REPLACED_ENDPOINT as usize] && up[REPLACEMENT_ENDPOINT as usize]) {
            return Err(WarmStartViolation::TwoEndpointsAtOneAddress { proxy });
        }
        let is_expired = self.future_report_expires.is_some_and(|at| now > at);
        if is_expired
            && self.relies_on_snapshot_of(REPLACED_ENDPOINT)
            && !up[REPLACED_ENDPOINT as usize]
        {
            return Err(WarmStartViolation::FutureReportNeverExpires { proxy });
        }
        Ok(())
    }

    /// A deadline that stays due would be handled again and again, and nothing else.
    fn check_deadline(&self) -> Result<(), WarmStartViolation> {
        let deadline = self.warm_start.next_deadline();
        if deadline.is_some_and(|due| due <= self.deadlines_handled_at) {
            let proxy = self.number;
            return Err(WarmStartViolation::DeadlineStaysDue { proxy });
        }
        Ok(())
    }

    fn check_admission(&self) -> Result<(), WarmStartViolation> {
        let proxy = self.number;
        let has_no_endpoint = self.listed_endpoints.is_none() && self.used_endpoints.is_empty();
        if has_no_endpoint && self.admission == ClientAdmission::Limited {
            return Err(WarmStartViolation::AdmissionWithoutEndpoint { proxy });
        }
        let stage = self.warm_start.stage();
        if self.admission == ClientAdmission::Open && stage != WarmStartStage::Normal {
            let stage = stage.name();
            return Err(WarmStartViolation::OpenDuringWarmStart { proxy, stage });
        }
        Ok(())
    }

    /// Whether it still tries to reach an endpoint that only its snapshot may have named.
    fn relies_on_snapshot_of(&self, endpoint: EndpointId) -> bool {
        let candidates = self.warm_start.candidates();
        let is_tried = matches!(
            candidates.state(endpoint),
            CandidateState::AwaitingProbe | CandidateState::Unresponsive | CandidateState::Probing
        );
        let reported = candidates.source_counts(EndpointSource::Snapshot).reported;
        is_tried && reported > 0 && self.listed_endpoints.is_none()
    }

    /// Whether any endpoint is known to it. Where discovery said that there is none, there is none.
    pub(super) fn knows_any_endpoint(&self) -> bool {
        let candidates = self.warm_start.candidates();
        (0..ENDPOINT_COUNT as EndpointId)
            .any(|endpoint| candidates.state(endpoint) != CandidateState::Unknown)
    }

    /// Equal for proxies that behave alike from `now` on.
    pub(super) fn fingerprint(&self, now: Duration) -> String {
        let remaining = |at: Duration| at.saturating_sub(now).as_millis();
        let stage = self.warm_start.stage();
        let stage_age = (now - self.warm_start.stage_since()).min(MAX_STAGE_AGE);
        let endpoints = (&self.used_endpoints, &self.verified, &self.probes_in_flight);
        let peers_and_list = (&self.awaited_peers, &self.listed_endpoints);
        let future_report = self.future_report_expires.map(remaining);
        let limited_for = self.limited_since.map(|since| now - since);
        let candidates = self.warm_start.candidates().state_key(now);
        let deadline = self.warm_start.next_deadline().map(remaining);
        format!(
            "{stage:?}{stage_age:?}{:?}{endpoints:?}{peers_and_list:?}\
             {future_report:?}{limited_for:?}{candidates}{deadline:?}",
            self.admission
        )
    }
}
