//! Begins a warm start, with the endpoints known from the last snapshot and from the configuration.

use super::{WarmStartPlan, WarmStartProgress, unix_time};
use crate::protocol::discovery::{EndpointList, ListedEndpoint};
use crate::routing::Router;
use crate::routing::peers::MAX_QUERIES_PER_ROUND;
use asterramp_placement::event::EndpointState;
use asterramp_snapshot::{SavedEndpoint, SavedEndpointState, Snapshot};
use asterramp_warm_start::{EndpointReport, EndpointSource, InformationAge, information_age};
use std::time::Duration;

/// An endpoint that is known from before the start.
struct RememberedEndpoint {
    /// The endpoint in discovery's form.
    listed: ListedEndpoint,
    source: EndpointSource,
    age: InformationAge,
    /// Revision of the list that contained it.
    list_revision: u64,
    /// Utilization per connection; `None` if it is unknown.
    load_per_connection: Option<f64>,
}

impl Router {
    /// Begins a warm start. No endpoint is used before it has responded to a probe or discovery has listed it.
    pub(in crate::routing) fn begin_warm_start(
        &mut self,
        plan: WarmStartPlan,
        configured: &EndpointList,
    ) {
        let peers = plan.peers.addresses.len();
        let reserved = peers.min(MAX_QUERIES_PER_ROUND);
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
        let newest_revision = configured.revision.max(snapshot.list_revision);
        progress.machine.set_newest_revision(newest_revision);
        progress.last_discovery_update = snapshot.last_discovery_update_ms.map(unix_time);
        for remembered in remembered_endpoints(self.now, &snapshot, configured) {
            self.report_remembered(&mut progress, remembered);
        }
        self.warm_start = Some(progress);
        self.apply_warm_start_effects();
    }

    /// Adds an endpoint to the endpoint table and reports it to the warm start.
    fn report_remembered(
        &mut self,
        progress: &mut WarmStartProgress,
        remembered: RememberedEndpoint,
    ) {
        let address = remembered.listed.address;
        let Some(endpoint) = self
            .endpoints
            .update(remembered.listed)
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

/// The ready endpoints of the snapshot and of the configuration. Those of the newer list come last, since the last one
/// takes precedence where two endpoints have the same address.
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
            listed: listed_from_saved(saved),
            source: EndpointSource::Snapshot,
            age,
            list_revision: snapshot.list_revision,
            load_per_connection: saved.load_per_connection,
        });
    let configured = configured
        .endpoints
        .iter()
        .filter(|listed| listed.state == EndpointState::Ready)
        .map(|listed| RememberedEndpoint {
            listed: listed.clone(),
            source: EndpointSource::Configuration,
            age: InformationAge::Unknown,
            list_revision: configured.revision,
            load_per_connection: None,
        });
    let mut remembered: Vec<RememberedEndpoint> = saved.chain(configured).collect();
    remembered.sort_by_key(|endpoint| endpoint.list_revision);
    remembered
}

/// Age of a snapshot's endpoint list: the time since discovery last responded, not since the list was last saved.
fn snapshot_age(now: Duration, snapshot: &Snapshot) -> InformationAge {
    let saved = Some(unix_time(snapshot.saved_at_ms));
    if information_age(now, saved) == InformationAge::Unknown {
        return InformationAge::Unknown;
    }
    information_age(now, snapshot.last_discovery_update_ms.map(unix_time))
}

/// A saved endpoint in the form in which discovery lists it, as ready.
fn listed_from_saved(saved: &SavedEndpoint) -> ListedEndpoint {
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
