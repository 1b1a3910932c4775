//! Passes endpoint lists from discovery and results of probes to the warm start while it lasts.

use super::WarmStartProgress;
use crate::routing::{ReasonCode, Router};
use asterramp_placement::PlacementEvent;
use asterramp_placement::event::{Endpoint, EndpointState, EndpointUpdate, Outcome, ServerId};
use asterramp_warm_start::{
    EndpointId, EndpointReport, EndpointSource, InformationAge, WarmStartStage,
};
use std::time::Duration;

impl WarmStartProgress {
    /// Whether the last stage of the warm start has been reached.
    pub(super) fn is_over(&self) -> bool {
        self.machine.stage() == WarmStartStage::Normal
    }
}

impl Router {
    /// Whether a list from discovery is older than one that was known at the start. Always false once the warm start is
    /// over.
    pub(in crate::routing) fn is_outdated_list(&self, list_revision: u64) -> bool {
        self.warm_start_state()
            .is_some_and(|warm_start| warm_start.is_outdated(list_revision))
    }

    /// Requests the complete list if the warm start has ended on an outdated one: discovery sends no more than changes to
    /// it.
    pub(super) fn request_list_again_after_start(&mut self) {
        let is_due = self
            .warm_start
            .as_mut()
            .is_some_and(|progress| progress.machine.take_list_request());
        if is_due {
            self.request_complete_list();
        }
    }

    /// Applies an outdated list: endpoints that are draining or gone are taken out of use at once, while ready ones
    /// must respond to a probe first, and are ignored after a current complete list.
    pub(in crate::routing) fn apply_outdated_list(
        &mut self,
        list_revision: u64,
        listed: Vec<Endpoint>,
    ) {
        let now = self.now;
        let mut out_of_use = Vec::new();
        for endpoint in listed {
            let id = endpoint.server;
            let address = self.endpoints.address(id);
            let (Some(progress), Some(address)) = (&mut self.warm_start, address) else {
                return;
            };
            if endpoint.state != EndpointState::Ready {
                progress.machine.endpoint_listed(now, id, address, false);
                out_of_use.push(endpoint);
            } else if progress.machine.accepts_reports() {
                let report = EndpointReport {
                    id,
                    address,
                    source: EndpointSource::Discovery,
                    age: InformationAge::Old,
                    list_revision,
                };
                progress.machine.report(now, report);
            }
        }
        let mut newest = 0;
        if let Some(progress) = &mut self.warm_start {
            progress.machine.outdated_list_received();
            newest = progress.machine.newest_revision();
        }
        self.log_event(
            ReasonCode::EndpointListOutdated,
            format!("rev={list_revision} had={newest}"),
        );
        self.handle_placement_event(PlacementEvent::EndpointsUpdated(EndpointUpdate::Changes(
            out_of_use,
        )));
        self.apply_warm_start_effects();
    }

    /// Notifies the warm start of endpoints that discovery has listed, and fills in the load per connection known from
    /// before the start. `complete` says whether they are the complete list. The caller passes them on to the placement
    /// engine.
    ///
    /// A warm start that has ended without a list still probes the endpoints that have not answered, and uses those that
    /// do; so it is notified until it has a complete list.
    pub(in crate::routing) fn record_listed_endpoints(
        &mut self,
        listed: &mut [Endpoint],
        complete: bool,
    ) {
        let now = self.now;
        let warm_after = self.settings.deployment.slow_start.warm_after;
        let Some(progress) = &mut self.warm_start else {
            return;
        };
        for endpoint in listed.iter_mut() {
            endpoint.load_per_connection = progress.load_per_connection(endpoint.server);
        }
        if progress.machine.is_settled() {
            return;
        }
        for endpoint in listed.iter() {
            if let Some(address) = self.endpoints.address(endpoint.server) {
                let ready = endpoint.state == EndpointState::Ready;
                progress
                    .machine
                    .endpoint_listed(now, endpoint.server, address, ready);
            }
        }
        if complete {
            let ids: Vec<EndpointId> = listed.iter().map(|endpoint| endpoint.server).collect();
            let is_cold = is_mostly_cold(now, warm_after, listed);
            progress.machine.list_completed(now, &ids, is_cold);
        }
        self.apply_warm_start_effects();
    }

    /// Reports the end of a probe to the warm start. Any response counts as success, since a server that rejects or
    /// fails a session is running.
    pub(in crate::routing) fn record_warm_start_probe(
        &mut self,
        server: ServerId,
        outcome: Outcome,
    ) {
        let responded = matches!(outcome, Outcome::Ok | Outcome::Full | Outcome::ServerError);
        let now = self.now;
        if let Some(progress) = &mut self.warm_start {
            progress.machine.probe_finished(now, server, responded);
            self.apply_warm_start_effects();
        }
    }
}

/// Whether more than half of the ready endpoints started less than `warm_after` ago. Those with an unknown start count
/// as warm.
fn is_mostly_cold(now: Duration, warm_after: Duration, listed: &[Endpoint]) -> bool {
    let mut ready = 0;
    let mut cold = 0;
    for endpoint in listed {
        if endpoint.state != EndpointState::Ready {
            continue;
        }
        ready += 1;
        let uptime = endpoint.started_at.map(|at| now.saturating_sub(at));
        if uptime.is_some_and(|uptime| uptime < warm_after) {
            cold += 1;
        }
    }
    cold * 2 > ready
}
