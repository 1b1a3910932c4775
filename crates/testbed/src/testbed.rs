//! All actors of a run together, with the context that they share.

use crate::context::RunContext;
use crate::discovery::EndpointRegistry;
use crate::front_balancer::FrontBalancer;
use crate::host::{self, Host};
use crate::link::Links;
use crate::sockets::BoundListener;
use std::sync::Arc;

/// The actors that stand around the proxies of a run.
#[derive(Debug)]
pub struct Testbed {
    /// What all of them share.
    pub context: Arc<RunContext>,
    /// The network paths that faults can strike.
    pub links: Arc<Links>,
    /// What discovery knows of the hosts.
    pub discovery: Arc<EndpointRegistry>,
    /// The hosts, by their numbers.
    pub hosts: Vec<Arc<Host>>,
    /// Where clients find a proxy.
    pub front: Arc<FrontBalancer>,
}

impl Testbed {
    /// Starts the hosts of the plan, each at a listener that was bound for it; see [`host::bind_all`].
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
                links.connections.clone(),
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
