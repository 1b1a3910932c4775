//! This proxy's response to the queries of other proxies.

use super::message::{Known, KnownHost, MAX_ENDPOINTS_IN_RESPONSE, MESSAGE_VERSION};
use crate::protocol::discovery::ListedEndpoint;
use crate::routing::Router;
use crate::routing::endpoints::KnownEndpoint;
use asterramp_placement::event::{EndpointState, ServerId, ServerLoad};
use asterramp_warm_start::{CandidateState, MIN_CONNECTIONS_FOR_LOAD};
use std::time::Duration;

/// Weight sent for an endpoint whose own weight is not finite, which JSON cannot express.
const DEFAULT_WEIGHT: f64 = 1.0;

impl Router {
    /// Whether this proxy responds to other proxies' queries, which it does only as a member of a fleet.
    pub(in crate::routing) fn serves_peer_queries(&self) -> bool {
        !self.peers.settings.fleet.is_empty()
    }

    /// The response's body: ready endpoints that responded to this proxy or that discovery lists, the most recently
    /// confirmed first.
    pub(in crate::routing) fn known_endpoints_text(&self) -> String {
        let known = Known {
            version: MESSAGE_VERSION,
            fleet: self.peers.settings.fleet.clone(),
            stage: self
                .warm_start_state()
                .map_or("normal", |warm_start| warm_start.stage().name())
                .into(),
            list_revision: self.discovery_watch.revision(),
            discovery_responded_ms: self.discovery_watch.last_line_at().map(milliseconds),
            pending_sessions: self.drain_view().pending_sessions,
            hosts: self.endpoints_for_peers(),
        };
        serde_json::to_string(&known).unwrap_or_default() + "\n"
    }

    fn endpoints_for_peers(&self) -> Vec<KnownHost> {
        let listed = self.endpoints.listed_endpoints();
        let known = self.endpoints.known_endpoints();
        let mut hosts: Vec<KnownHost> = (0..)
            .zip(listed.zip(known))
            .filter(|(server, (listed, _))| {
                listed.state == EndpointState::Ready && self.is_confirmed(*server)
            })
            .map(|(_, (listed, known))| self.endpoint_for_peers(listed, known))
            .collect();
        hosts.sort_by_key(|host| host.age_ms);
        hosts.truncate(MAX_ENDPOINTS_IN_RESPONSE);
        hosts
    }

    /// Whether an endpoint responded to this proxy or is listed by discovery, and not only known from before a warm
    /// start.
    fn is_confirmed(&self, server: ServerId) -> bool {
        let Some(warm_start) = self.warm_start_state() else {
            return true;
        };
        let has_responded_or_is_listed = matches!(
            warm_start.candidates().state(server),
            CandidateState::Responsive | CandidateState::Listed
        );
        warm_start.is_settled() || has_responded_or_is_listed
    }

    fn endpoint_for_peers(&self, listed: ListedEndpoint, known: &KnownEndpoint) -> KnownHost {
        let discovery_responded_at = self
            .discovery_watch
            .last_line_at()
            .unwrap_or(self.started_at);
        let last_confirmed_at = known.reported_at.max(discovery_responded_at);
        let weight = if listed.weight.is_finite() {
            listed.weight
        } else {
            DEFAULT_WEIGHT
        };
        KnownHost {
            uid: listed.uid,
            address: listed.address,
            zone: listed.zone,
            cell: listed.cell,
            weight,
            started_ms: listed.started_at.map(milliseconds),
            age_ms: milliseconds(self.now.saturating_sub(last_confirmed_at)),
            load_per_connection: load_per_connection(&known.load),
        }
    }
}

/// Utilization per connection by a load report; `None` if a figure is missing or the connections are too few.
fn load_per_connection(load: &ServerLoad) -> Option<f64> {
    let utilization = load.utilization?;
    let connections = load
        .connections
        .filter(|n| *n >= MIN_CONNECTIONS_FOR_LOAD)?;
    Some(utilization / connections)
}

fn milliseconds(time: Duration) -> u64 {
    time.as_millis() as u64
}
