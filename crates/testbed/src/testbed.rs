//! The emulated actors of a run other than clients, with the context that they share.

use crate::context::RunContext;
use crate::discovery::EndpointRegistry;
use crate::front_balancer::FrontBalancer;
use crate::host::{self, Host};
use crate::link::Links;
use crate::sockets::BoundListener;
use std::sync::Arc;

/// The emulated processes and network paths around the proxies of a run.
#[derive(Debug)]
pub struct Testbed {
    /// The state that all actors of the run share.
    pub context: Arc<RunContext>,
    /// The network paths with a relay, where faults can be injected.
    pub links: Arc<Links>,
    /// The hosts as discovery lists them.
    pub discovery: Arc<EndpointRegistry>,
    /// The hosts, indexed by host number.
    pub hosts: Vec<Arc<Host>>,
    /// The load balancer by which clients choose a proxy.
    pub front: Arc<FrontBalancer>,
}

impl Testbed {
    /// Starts the hosts of the plan, each on its own listener; [`host::bind_all`] returns these in the order of the
    /// plan.
    pub fn start(
        context: Arc<RunContext>,
        host_listeners: Vec<BoundListener>,
        front: FrontBalancer,
        links: Arc<Links>,
    ) -> Testbed {
        let addresses = host_listeners.iter().map(|bound| bound.address);
        let discovery = Arc::new(EndpointRegistry::new(
            context.clone(),
            links.clone(),
            addresses,
        ));
        let mut hosts = Vec::new();
        for (number, bound) in (0..).zip(host_listeners) {
            let host = Arc::new(Host::new(
                number,
                bound.address,
                discovery.clone(),
                links.relayed_dials.clone(),
            ));
            tokio::spawn(host::serve(host.clone(), bound.listener));
            hosts.push(host);
        }
        Testbed {
            context,
            links,
            discovery,
            hosts,
            front: Arc::new(front),
        }
    }
}
