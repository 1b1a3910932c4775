//! The endpoint list as discovery writes it.

use crate::event_log::HostState;
use std::net::SocketAddr;
use std::time::Duration;

/// The model that all hosts are said to run.
const MODEL: &str = "m1";

/// What discovery knows of one host.
#[derive(Clone, Debug)]
pub(super) struct Endpoint {
    pub(super) number: u16,
    pub(super) address: SocketAddr,
    pub(super) zone: String,
    pub(super) cell: u16,
    pub(super) weight: f64,
    pub(super) state: HostState,
    /// When its process started, on the event log's clock; `None`: long ago.
    pub(super) started: Option<Duration>,
    /// The version of the list in which it changed last.
    pub(super) version: u64,
}

/// What one message of discovery tells a proxy.
#[derive(Clone, Debug)]
pub struct EndpointList {
    /// The version of the list.
    pub version: u64,
    /// The list as it is sent, in one line.
    pub json: String,
    /// Whom it tells of.
    pub hosts: Vec<ListedHost>,
}

/// What a list tells of a host.
#[derive(Clone, Copy, Debug)]
pub struct ListedHost {
    /// Its index in the plan.
    pub number: u16,
    /// Whether it takes sessions.
    pub state: HostState,
    /// When its process started, on the event log's clock.
    pub started: Option<Duration>,
}

impl EndpointList {
    /// The list of those that changed after a version, or of all, where each is reached at `address_of`; `clock_start` is
    /// the Unix time at which the event log's clock began.
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
        // A complete list tells that a host is gone by leaving it out.
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

/// One host as the list writes it.
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

/// A host's name in discovery.
pub fn host_uid(host: u16) -> String {
    format!("s-{host:04}")
}
