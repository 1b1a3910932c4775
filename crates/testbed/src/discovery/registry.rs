//! The registry of the hosts that all discovery agents serve, and the faults of discovery.

use super::endpoint_list::{Endpoint, EndpointList};
use crate::context::RunContext;
use crate::event_log::HostState;
use crate::link::Links;
use crate::link_ends::LinkEnds;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::watch;

/// The version of the list before the run.
const FIRST_VERSION: u64 = 1;

/// How many faults of each kind discovery has now; 0: none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DiscoveryFaults {
    /// Agents accept requests and answer nothing.
    pub silent: u32,
    /// Agents refuse connections.
    pub refuses: u32,
    /// Agents send text that is not an endpoint list on watches.
    pub sends_garbage: u32,
    /// Agents send the list from before the run, with its old version, on watches.
    pub sends_outdated_list: u32,
}

/// The hosts as discovery lists them.
#[derive(Debug)]
pub struct EndpointRegistry {
    pub(crate) context: Arc<RunContext>,
    links: Arc<Links>,
    endpoints: Mutex<Vec<Endpoint>>,
    /// The endpoints as they were before the run.
    first_endpoints: Vec<Endpoint>,
    version: watch::Sender<u64>,
    /// The faults that all agents share.
    pub faults: watch::Sender<DiscoveryFaults>,
    /// By proxy number, how many faults cut its agent off from the registry.
    pub cut_off_agents: watch::Sender<Vec<u32>>,
}

impl EndpointRegistry {
    /// Registers all hosts of the plan as ready, at addresses in the order of the plan.
    pub fn new(
        context: Arc<RunContext>,
        links: Arc<Links>,
        addresses: impl Iterator<Item = SocketAddr>,
    ) -> EndpointRegistry {
        let first_endpoints = first_endpoints(&context, addresses);
        let agents = context.scenario.proxies.count as usize;
        EndpointRegistry {
            endpoints: Mutex::new(first_endpoints.clone()),
            first_endpoints,
            version: watch::channel(FIRST_VERSION).0,
            faults: watch::channel(DiscoveryFaults::default()).0,
            cut_off_agents: watch::channel(vec![0; agents]).0,
            context,
            links,
        }
    }

    /// Sets a host's state in a new version of the list; `started` is the time of a new start, `None` keeps the former
    /// one.
    pub fn set_state(&self, host: u16, state: HostState, started: Option<Duration>) {
        let version = *self.version.borrow() + 1;
        {
            let endpoint = &mut self.endpoints()[usize::from(host)];
            (endpoint.state, endpoint.version) = (state, version);
            endpoint.started = started.or(endpoint.started);
        }
        self.version.send_replace(version);
    }

    /// When a host's process last started, on the event log's clock; `None`: before the run.
    pub fn start_time(&self, host: u16) -> Option<Duration> {
        self.endpoints()[usize::from(host)].started
    }

    /// The list for a proxy: the changes after the version `after`, or complete for `None`.
    pub fn list(&self, proxy: u16, after: Option<u64>) -> EndpointList {
        let version = *self.version.borrow();
        self.list_of(&self.endpoints(), version, proxy, after)
    }

    /// The complete list for a proxy as it was before the run, with the version of that time.
    pub fn outdated_list(&self, proxy: u16) -> EndpointList {
        self.list_of(&self.first_endpoints, FIRST_VERSION, proxy, None)
    }

    /// The list's version, with its changes.
    pub(super) fn subscribe_version(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }

    fn list_of(
        &self,
        endpoints: &[Endpoint],
        version: u64,
        proxy: u16,
        after: Option<u64>,
    ) -> EndpointList {
        // If the link between a proxy and a host has a relay, the proxy is given the relay's address.
        let address_of = |endpoint: &Endpoint| {
            let ends = LinkEnds::Proxy(proxy, endpoint.number);
            self.links.address(ends).unwrap_or(endpoint.address)
        };
        let clock_start = self.context.event_log.unix_start;
        EndpointList::new(endpoints, version, after, clock_start, address_of)
    }

    fn endpoints(&self) -> MutexGuard<'_, Vec<Endpoint>> {
        self.endpoints
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
    }
}

fn first_endpoints(
    context: &RunContext,
    addresses: impl Iterator<Item = SocketAddr>,
) -> Vec<Endpoint> {
    let hosts = (0..).zip(&context.plan.hosts).zip(addresses);
    hosts
        .map(|((number, host), address)| Endpoint {
            number,
            address,
            zone: context.scenario.zones[usize::from(host.zone)].clone(),
            cell: host.cell,
            weight: host.weight,
            state: HostState::Ready,
            started: None,
            version: FIRST_VERSION,
        })
        .collect()
}
