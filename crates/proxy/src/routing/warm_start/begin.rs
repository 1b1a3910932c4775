//! The beginning of a warm start: endpoints known from the last snapshot and from the configuration.

use super::{WarmStartPlan, WarmStartProgress, unix_time};
use crate::protocol::discovery::{EndpointList, ListedEndpoint};
use crate::routing::Router;
use asterramp_placement::event::EndpointState;
use asterramp_snapshot::{SavedEndpoint, SavedEndpointState, Snapshot};
use asterramp_warm_start::{EndpointReport, EndpointSource, InformationAge, information_age};
use std::time::Duration;

/// Connections to peers that the resource budget sets aside at most.
const MAX_RESERVED_PEERS: usize = 8;

/// An endpoint that is known from before the start.
struct RememberedEndpoint {
    line: ListedEndpoint,
    source: EndpointSource,
    age: InformationAge,
    list_revision: u64,
    load_per_connection: Option<f64>,
}

impl Router {
    /// Begins a warm start. No endpoint is used before it has answered a probe, or discovery has listed it.
    pub(in crate::routing) fn begin_warm_start(
        &mut self,
        plan: WarmStartPlan,
        configured: &EndpointList,
    ) {
        let peers = plan.peers.addresses.len();
        let reserved = peers.min(MAX_RESERVED_PEERS);
        self.resource_budget = self.resource_budget.reduced_by(reserved);
        self.configure_peers(plan.peers);
        let mut settings = plan.settings;
        settings.has_peers = peers > 0;
        settings.max_probes = self
            .resource_budget
            .max_probes
            .min(settings.max_probes)
            .max(1);
        let snapshot = plan.snapshot.unwrap_or_default();
        let mut progress = WarmStartProgress::new(self.now, settings);
        progress.newest_revision = configured.revision.max(snapshot.list_revision);
        progress.discovery_heard = snapshot.last_discovery_update_ms.map(unix_time);
        for remembered in remembered_endpoints(self.now, &snapshot, configured) {
            self.report_remembered(&mut progress, remembered);
        }
        self.warm_start = Some(progress);
        self.apply_warm_start_effects();
    }

    fn report_remembered(
        &mut self,
        progress: &mut WarmStartProgress,
        remembered: RememberedEndpoint,
    ) {
        let address = remembered.line.address;
        let Some(endpoint) = self
            .endpoints
            .update(remembered.line)
            .map(|change| change.endpoint)
        else {
            return;
        };
        let id = endpoint.server;
        progress.restore_load_per_connection(id, remembered.load_per_connection);
        let report = EndpointReport {
            id,
            address,
            source: remembered.source,
            age: remembered.age,
            list_revision: remembered.list_revision,
        };
        progress.machine.report(self.now, report);
    }
}

/// The endpoints of the snapshot and of the configuration that were ready. Those of the newer list come last: where two
/// endpoints have one address, the last one counts.
fn remembered_endpoints(
    now: Duration,
    snapshot: &Snapshot,
    configured: &EndpointList,
) -> Vec<RememberedEndpoint> {
    let age = snapshot_age(now, snapshot);
    let saved = snapshot
        .endpoints
        .iter()
        .filter(|saved| saved.state == SavedEndpointState::Ready)
        .map(|saved| RememberedEndpoint {
            line: line_of(saved),
            source: EndpointSource::Snapshot,
            age,
            list_revision: snapshot.list_revision,
            load_per_connection: saved.load_per_connection,
        });
    let configured = configured
        .endpoints
        .iter()
        .filter(|line| line.state == EndpointState::Ready)
        .map(|line| RememberedEndpoint {
            line: line.clone(),
            source: EndpointSource::Configuration,
            age: InformationAge::Unknown,
            list_revision: configured.revision,
            load_per_connection: None,
        });
    let mut remembered: Vec<RememberedEndpoint> = saved.chain(configured).collect();
    remembered.sort_by_key(|endpoint| endpoint.list_revision);
    remembered
}

/// How old a snapshot's endpoint list is: since discovery answered, not since the list was saved again.
fn snapshot_age(now: Duration, snapshot: &Snapshot) -> InformationAge {
    let saved = Some(unix_time(snapshot.saved_at_ms));
    if information_age(now, saved) == InformationAge::Unknown {
        return InformationAge::Unknown;
    }
    information_age(now, snapshot.last_discovery_update_ms.map(unix_time))
}

/// A saved endpoint in the form in which discovery lists it.
fn line_of(saved: &SavedEndpoint) -> ListedEndpoint {
    ListedEndpoint {
        uid: saved.uid.clone(),
        address: saved.address,
        zone: saved.zone.clone(),
        cell: saved.cell,
        state: EndpointState::Ready,
        weight: saved.weight,
        started_at: saved.started_at_ms.map(unix_time),
    }
}
