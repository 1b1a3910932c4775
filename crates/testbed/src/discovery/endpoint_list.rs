//! Endpoint lists, and their JSON form on the wire.

use crate::event_log::HostState;
use std::net::SocketAddr;
use std::time::Duration;

/// The value of `model` that discovery announces for all hosts.
const MODEL: &str = "m1";

/// One host in the registry.
#[derive(Clone, Debug)]
pub(super) struct Endpoint {
    pub(super) number: u16,
    pub(super) address: SocketAddr,
    pub(super) zone: String,
    pub(super) cell: u16,
    pub(super) weight: f64,
    pub(super) state: HostState,
    /// When its process started, on the event log's clock; `None`: before the run.
    pub(super) started: Option<Duration>,
    /// The version of the list with its last change.
    pub(super) version: u64,
}

/// One message of discovery to a proxy: the complete list, or the changes after a version.
#[derive(Clone, Debug)]
pub struct EndpointList {
    /// The list's version (`rev` on the wire); it grows with each change.
    pub version: u64,
    /// The message as it is sent, one line of JSON.
    pub json: String,
    /// The hosts that the message covers, including those that a complete list leaves out because they are gone.
    pub hosts: Vec<ListedHost>,
}

/// The state of one host in an [`EndpointList`].
#[derive(Clone, Copy, Debug)]
pub struct ListedHost {
    /// The host's index in the plan.
    pub number: u16,
    /// The host's state.
    pub state: HostState,
    /// When its process started, on the event log's clock; `None`: before the run.
    pub started: Option<Duration>,
}

impl EndpointList {
    /// Builds the list of the endpoints that changed after the version `after`, or of all for `None`. `address_of`
    /// gives the address to announce for each; `clock_start` is the Unix time at which the event log's clock started.
    pub(super) fn new(
        endpoints: &[Endpoint],
        version: u64,
        after: Option<u64>,
        clock_start: Duration,
        address_of: impl Fn(&Endpoint) -> SocketAddr,
    ) -> EndpointList {
        let complete = after.is_none();
        let changed = |endpoint: &&Endpoint| after.is_none_or(|after| endpoint.version > after);
        let changed: Vec<&Endpoint> = endpoints.iter().filter(changed).collect();
        let hosts = changed.iter().map(|endpoint| ListedHost {
            number: endpoint.number,
            state: endpoint.state,
            started: endpoint.started,
        });
        // A complete list leaves out hosts that are gone; only a list of changes names them.
        let listed = changed
            .iter()
            .filter(|endpoint| !(complete && endpoint.state == HostState::Gone));
        let targets: Vec<serde_json::Value> = listed
            .map(|endpoint| target(endpoint, address_of(endpoint), clock_start))
            .collect();
        let list = serde_json::json!({"rev": version, "all": complete, "targets": targets});
        EndpointList {
            version,
            json: list.to_string(),
            hosts: hosts.collect(),
        }
    }
}

/// The JSON object of one host.
fn target(endpoint: &Endpoint, address: SocketAddr, clock_start: Duration) -> serde_json::Value {
    let state = match endpoint.state {
        HostState::Ready => "ready",
        HostState::Draining => "draining",
        HostState::Gone => "gone",
    };
    let started_ms = endpoint
        .started
        .map_or(0, |at| (clock_start + at).as_millis() as u64);
    serde_json::json!({
        "uid": host_uid(endpoint.number), "endpoint": address.to_string(), "az": endpoint.zone, "model": MODEL,
        "pod_group": endpoint.cell, "state": state, "capacity_hint": endpoint.weight, "boot_ms": started_ms,
    })
}

/// The `uid` by which discovery names a host.
pub fn host_uid(host: u16) -> String {
    format!("s-{host:04}")
}
