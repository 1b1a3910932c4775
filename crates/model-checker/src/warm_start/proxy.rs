//! One proxy of the warm-start model: the decisions of its [`WarmStart`] and its information about endpoints.

use super::violation::WarmStartViolation;
use asterramp_warm_start::{
    CandidateState, ClientAdmission, EndpointId, EndpointReport, EndpointSource, InformationAge,
    WarmStart, WarmStartEffect, WarmStartSettings, WarmStartStage,
};
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Endpoints of the model: two from before the power loss, and the replacement of the second of them.
pub(super) const ENDPOINT_COUNT: usize = 3;
/// Proxies of the model, each a peer of the others.
pub(super) const PROXY_COUNT: usize = 3;
/// The endpoints from before the power loss, which snapshots contain.
pub(super) const FORMER_ENDPOINTS: [EndpointId; 2] = [0, 1];
/// The endpoint that was replaced during the power loss.
pub(super) const REPLACED_ENDPOINT: EndpointId = 1;
/// The endpoint that now has the address of [`REPLACED_ENDPOINT`].
pub(super) const REPLACEMENT_ENDPOINT: EndpointId = 2;

/// All durations are multiples of the model's tick, so that different orders of actions lead to equal states.
pub(super) const SETTINGS: WarmStartSettings = WarmStartSettings {
    discovery_timeout: Duration::from_millis(500),
    peer_timeout: Duration::from_millis(500),
    probe_timeout: Duration::from_millis(1_000),
    limited_admission_duration: Duration::from_millis(1_500),
    has_peers: true,
    max_probes: 1,
};
/// Revision of the endpoint list in a snapshot.
const SNAPSHOT_REVISION: u64 = 5;
/// Revision of the list of a discovery service whose revisions have begun anew.
const REVISION_BEGUN_ANEW: u64 = 1;
/// Revision of the endpoint list that peers know; newer than that in a snapshot.
const PEER_REVISION: u64 = 6;
/// Time after the start within which reports with a time in the future must have expired: 30 s, and 1 s until the
/// expiry takes effect.
const FUTURE_REPORT_EXPIRY: Duration = Duration::from_secs(31);
/// Greatest age of a stage that fingerprints distinguish. They tell only whether the stage has just begun: anything
/// else that depends on its age is covered by the deadline.
const MAX_STAGE_AGE: Duration = Duration::from_millis(1);
/// Port of endpoint 0; other endpoints listen on the ports after it, by id.
const FIRST_PORT: u16 = 4000;

/// State of a running proxy.
#[derive(Clone, Debug)]
pub(super) struct ProxyModel {
    /// Number of the proxy, from 0.
    number: usize,
    pub(super) warm_start: WarmStart,
    admission: ClientAdmission,
    /// Endpoints that sessions may be placed on.
    pub(super) used_endpoints: BTreeSet<EndpointId>,
    /// Endpoints that have answered a probe of this process or that discovery has listed to it.
    verified_endpoints: BTreeSet<EndpointId>,
    pub(super) probes_in_flight: BTreeSet<EndpointId>,
    /// Peers that have been queried and have not answered yet.
    pub(super) awaited_peers: BTreeSet<usize>,
    /// Endpoints in discovery's last complete list; `None` before the first one.
    pub(super) listed_endpoints: Option<BTreeSet<EndpointId>>,
    /// Whether the last list from discovery was outdated, and the complete one has not been requested since.
    awaits_list_request: bool,
    /// When deadlines were last handled.
    deadlines_handled_at: Duration,
    /// Since when clients have been admitted at a limited rate; `None` while they are not.
    limited_since: Option<Duration>,
    /// When the reports of its snapshot must have expired; `None` unless the snapshot's time is in the future.
    future_reports_expire_at: Option<Duration>,
    /// A violation by the current action.
    pub(super) violation: Option<WarmStartViolation>,
}

/// The address under which an endpoint is listed. The replacement has the address of the endpoint that it replaced.
fn address(endpoint: EndpointId) -> SocketAddr {
    let port_offset = if endpoint == REPLACEMENT_ENDPOINT {
        REPLACED_ENDPOINT
    } else {
        endpoint
    };
    SocketAddr::from((Ipv4Addr::LOCALHOST, FIRST_PORT + port_offset as u16))
}

impl ProxyModel {
    /// A proxy that starts at `now`, without a snapshot.
    pub(super) fn new(number: usize, warm_start: WarmStart, now: Duration) -> ProxyModel {
        ProxyModel {
            number,
            warm_start,
            admission: ClientAdmission::Queued,
            used_endpoints: BTreeSet::new(),
            verified_endpoints: BTreeSet::new(),
            probes_in_flight: BTreeSet::new(),
            awaited_peers: BTreeSet::new(),
            listed_endpoints: None,
            awaits_list_request: false,
            deadlines_handled_at: now,
            limited_since: None,
            future_reports_expire_at: None,
            violation: None,
        }
    }

    /// Reads a snapshot of the former endpoints.
    pub(super) fn read_snapshot(&mut self, now: Duration, age: InformationAge) {
        if age == InformationAge::Unknown {
            self.future_reports_expire_at = Some(now + FUTURE_REPORT_EXPIRY);
        }
        self.warm_start.set_newest_revision(SNAPSHOT_REVISION);
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

    /// Handles a peer's answer: the endpoints that have answered that peer.
    pub(super) fn receive_peer_answer(
        &mut self,
        now: Duration,
        peer: usize,
        responsive: Vec<EndpointId>,
    ) {
        self.awaited_peers.remove(&peer);
        let reported = if self.warm_start.accepts_reports() {
            responsive
        } else {
            Vec::new()
        };
        for endpoint in reported {
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

    /// The endpoints that have answered this proxy; sent to peers that query it.
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
            self.verified_endpoints.insert(endpoint);
        }
        self.warm_start.probe_finished(now, endpoint, is_answered);
    }

    /// Handles a complete list from discovery. `is_cold` tells whether most of its endpoints have just started.
    pub(super) fn receive_list(&mut self, now: Duration, ready: &[EndpointId], is_cold: bool) {
        let listed: BTreeSet<EndpointId> = ready.iter().copied().collect();
        self.verified_endpoints = listed.clone();
        self.used_endpoints = listed.clone();
        self.listed_endpoints = Some(listed);
        self.awaits_list_request = false;
        for endpoint in ready {
            self.warm_start
                .endpoint_listed(now, *endpoint, address(*endpoint), true);
        }
        self.warm_start.list_completed(now, ready, is_cold);
    }

    /// Handles a complete list from a discovery service whose revisions have begun anew.
    pub(super) fn receive_list_begun_anew(&mut self, now: Duration, ready: &[EndpointId]) {
        if !self.warm_start.is_outdated(REVISION_BEGUN_ANEW) {
            return self.receive_list(now, ready, false);
        }
        for endpoint in ready {
            if !self.warm_start.accepts_reports() {
                break;
            }
            let report = EndpointReport {
                id: *endpoint,
                address: address(*endpoint),
                source: EndpointSource::Discovery,
                age: InformationAge::Old,
                list_revision: REVISION_BEGUN_ANEW,
            };
            self.warm_start.report(now, report);
        }
        self.warm_start.outdated_list_received();
        self.awaits_list_request = true;
    }

    /// Handles a report from discovery that one endpoint is gone.
    pub(super) fn receive_delisting(&mut self, now: Duration, endpoint: EndpointId) {
        self.used_endpoints.remove(&endpoint);
        self.verified_endpoints.remove(&endpoint);
        self.warm_start
            .endpoint_listed(now, endpoint, address(endpoint), false);
    }

    /// Handles a report from discovery that one endpoint is ready.
    pub(super) fn receive_listing(&mut self, now: Duration, endpoint: EndpointId) {
        self.used_endpoints.insert(endpoint);
        self.verified_endpoints.insert(endpoint);
        self.warm_start
            .endpoint_listed(now, endpoint, address(endpoint), true);
    }

    pub(super) fn handle_deadlines(&mut self, now: Duration) {
        self.warm_start.handle_deadline(now);
        if self.warm_start.take_list_request() {
            self.awaits_list_request = false;
        }
        self.deadlines_handled_at = now;
    }

    /// Carries out the effects that the production code has requested.
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
                    self.verified_endpoints.remove(&endpoint);
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
        if !self.verified_endpoints.contains(&endpoint) {
            self.violation = Some(WarmStartViolation::UnverifiedEndpointUsed {
                proxy: self.number,
                endpoint,
            });
        }
        self.used_endpoints.insert(endpoint);
    }

    fn set_admission(&mut self, now: Duration, admission: ClientAdmission) {
        self.admission = admission;
        let is_limited_period_over = self
            .limited_since
            .is_some_and(|since| now >= since + SETTINGS.limited_admission_duration);
        if admission == ClientAdmission::Open
            && self.listed_endpoints.is_none()
            && !is_limited_period_over
        {
            let proxy = self.number;
            self.violation = Some(WarmStartViolation::AdmissionUnlimited { proxy });
        }
        self.limited_since = (admission == ClientAdmission::Limited).then_some(now);
    }

    /// Checks the safety properties after an action. `endpoint_up` tells for each endpoint whether it is up.
    pub(super) fn check(
        &self,
        now: Duration,
        endpoint_up: &[bool; ENDPOINT_COUNT],
    ) -> Result<(), WarmStartViolation> {
        let proxy = self.number;
        self.check_deadline()?;
        self.check_admission()?;
        if self.awaits_list_request && self.warm_start.stage() == WarmStartStage::Normal {
            return Err(WarmStartViolation::OutdatedListKept { proxy });
        }
        let uses_both = self.used_endpoints.contains(&REPLACED_ENDPOINT)
            && self.used_endpoints.contains(&REPLACEMENT_ENDPOINT);
        if uses_both
            && !(endpoint_up[REPLACED_ENDPOINT as usize]
                && endpoint_up[REPLACEMENT_ENDPOINT as usize])
        {
            return Err(WarmStartViolation::TwoEndpointsAtOneAddress { proxy });
        }
        let is_expired = self.future_reports_expire_at.is_some_and(|at| now > at);
        if is_expired
            && self.relies_on_snapshot_of(REPLACED_ENDPOINT)
            && !endpoint_up[REPLACED_ENDPOINT as usize]
        {
            return Err(WarmStartViolation::FutureReportNeverExpires { proxy });
        }
        Ok(())
    }

    /// Checks that no deadline stays due once it has been handled: it would be handled in an endless loop.
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

    /// Whether the proxy still probes an endpoint that it may know only from its snapshot.
    fn relies_on_snapshot_of(&self, endpoint: EndpointId) -> bool {
        let candidates = self.warm_start.candidates();
        let is_candidate = matches!(
            candidates.state(endpoint),
            CandidateState::AwaitingProbe | CandidateState::Unresponsive | CandidateState::Probing
        );
        let reported = candidates.source_counts(EndpointSource::Snapshot).reported;
        is_candidate && reported > 0 && self.listed_endpoints.is_none()
    }

    /// Whether the proxy knows any endpoint that it may use or that is up, so that it will answer. After an empty complete
    /// list from discovery it knows none.
    pub(super) fn knows_any_endpoint(&self, endpoint_up: &[bool; ENDPOINT_COUNT]) -> bool {
        let candidates = self.warm_start.candidates();
        (0..ENDPOINT_COUNT as EndpointId).any(|endpoint| match candidates.state(endpoint) {
            CandidateState::Unknown => false,
            CandidateState::Responsive | CandidateState::Listed => true,
            CandidateState::AwaitingProbe
            | CandidateState::Probing
            | CandidateState::Unresponsive => endpoint_up[endpoint as usize],
        })
    }

    /// Text that is equal for proxies with the same behaviour from `now` on.
    pub(super) fn fingerprint(&self, now: Duration) -> String {
        let remaining = |at: Duration| at.saturating_sub(now).as_millis();
        let stage = self.warm_start.stage();
        let stage_age = (now - self.warm_start.stage_since()).min(MAX_STAGE_AGE);
        let endpoints = (
            &self.used_endpoints,
            &self.verified_endpoints,
            &self.probes_in_flight,
        );
        let peers_and_list = (
            &self.awaited_peers,
            &self.listed_endpoints,
            self.awaits_list_request,
        );
        let future_report = self.future_reports_expire_at.map(remaining);
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
