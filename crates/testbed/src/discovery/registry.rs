//! What discovery knows of the hosts, and the faults that it has.

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

/// How many faults of each kind discovery has now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DiscoveryFaults {
    /// It accepts requests and answers nothing.
    pub silent: u32,
    /// It refuses connections.
    pub refuses: u32,
    /// It writes what is no endpoint list.
    pub sends_garbage: u32,
    /// It writes the list as it was before the run, under its old version.
    pub sends_outdated_list: u32,
}

/// The hosts as discovery knows them.
#[derive(Debug)]
pub struct EndpointRegistry {
    pub(crate) context: Arc<RunContext>,
    links: Arc<Links>,
    endpoints: Mutex<Vec<Endpoint>>,
    /// As they were before the run.
    first_endpoints: Vec<Endpoint>,
    version: watch::Sender<u64>,
    /// The faults of all agents.
    pub faults: watch::Sender<DiscoveryFaults>,
    /// By proxy, how many faults keep its agent from hearing anything.
    pub cut_off_agents: watch::Sender<Vec<u32>>,
}

impl EndpointRegistry {
    /// All hosts of the plan, ready at these addresses.
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

    /// Changes a host's state, and when it started if it has started anew.
    pub fn set_state(&self, host: u16, state: HostState, started: Option<Duration>) {
        let version = *self.version.borrow() + 1;
        {
            let endpoint = &mut self.endpoints()[usize::from(host)];
            (endpoint.state, endpoint.version) = (state, version);
            endpoint.started = started.or(endpoint.started);
        }
        self.version.send_replace(version);
    }

    /// When a host's process started, if it did during the run.
    pub fn start_of(&self, host: u16) -> Option<Duration> {
        self.endpoints()[usize::from(host)].started
    }

    /// The list for a proxy: of what changed after a version, or complete.
    pub fn list(&self, proxy: u16, after: Option<u64>) -> EndpointList {
        let version = *self.version.borrow();
        self.list_of(&self.endpoints(), version, proxy, after)
    }

    /// The complete list for a proxy as it was before the run, under its old version.
    pub fn outdated_list(&self, proxy: u16) -> EndpointList {
        self.list_of(&self.first_endpoints, FIRST_VERSION, proxy, None)
    }

    /// The version of the list, now and from now on.
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
        // A proxy has its own address of a host where the link between them has a relay.
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
