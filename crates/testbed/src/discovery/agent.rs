//! A proxy's discovery agent: its listener, its address, and when it accepts connections.

use super::answer::answer_request;
use super::registry::EndpointRegistry;
use crate::sockets::listen_again;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// Agents that have their addresses in the same /24 network.
const AGENTS_PER_NETWORK: u16 = 250;
/// The pause between attempts to open a listener again.
const LISTEN_RETRY: Duration = Duration::from_millis(50);

/// The discovery agent of one proxy. Its address changes with [`DiscoveryAgent::change_address`].
#[derive(Debug)]
pub struct DiscoveryAgent {
    registry: Arc<EndpointRegistry>,
    proxy: u16,
    address: watch::Sender<SocketAddr>,
}

impl DiscoveryAgent {
    /// Starts the agent of a proxy, given by its number.
    pub async fn start(
        registry: &Arc<EndpointRegistry>,
        proxy: u16,
    ) -> std::io::Result<Arc<DiscoveryAgent>> {
        let listener = TcpListener::bind(any_port(proxy)).await?;
        let agent = Arc::new(DiscoveryAgent {
            registry: registry.clone(),
            proxy,
            address: watch::channel(listener.local_addr()?).0,
        });
        tokio::spawn(agent.clone().serve(listener));
        Ok(agent)
    }

    /// The address at which the agent listens now.
    pub fn address(&self) -> SocketAddr {
        *self.address.borrow()
    }

    /// Moves the agent to another address; the old one refuses connections, and watches there are closed.
    pub async fn change_address(self: &Arc<Self>) -> std::io::Result<()> {
        let listener = TcpListener::bind(any_port(self.proxy)).await?;
        self.address.send_replace(listener.local_addr()?);
        tokio::spawn(self.clone().serve(listener));
        Ok(())
    }

    /// Accepts connections on the listener until the agent's address changes.
    async fn serve(self: Arc<Self>, listener: TcpListener) {
        let Ok(own_address) = listener.local_addr() else {
            return;
        };
        let mut listener = Some(listener);
        let mut faults = self.registry.faults.subscribe();
        let mut address = self.address.subscribe();
        while *address.borrow_and_update() == own_address {
            let refuses = faults.borrow_and_update().refuses > 0;
            if refuses {
                listener = None;
            } else if listener.is_none() {
                listener = listen_again(own_address);
                if listener.is_none() {
                    sleep(LISTEN_RETRY).await;
                    continue;
                }
            }
            tokio::select! {
                _ = faults.changed() => {}
                _ = address.changed() => {}
                accepted = accept(listener.as_ref()) => if let Ok(stream) = accepted {
                    tokio::spawn(self.clone().serve_connection(stream, own_address));
                }
            }
        }
    }

    /// Serves one connection until it ends, or until the agent refuses connections or changes its address.
    async fn serve_connection(self: Arc<Self>, mut stream: TcpStream, own_address: SocketAddr) {
        tokio::select! {
            _ = self.wait_until_unreachable(own_address) => {}
            _ = answer_request(&self.registry, self.proxy, &mut stream) => {}
        }
    }

    /// Waits until the agent refuses connections or has another address than this one.
    async fn wait_until_unreachable(&self, own_address: SocketAddr) {
        let mut faults = self.registry.faults.subscribe();
        let mut address = self.address.subscribe();
        loop {
            let refuses = faults.borrow_and_update().refuses > 0;
            if refuses || *address.borrow_and_update() != own_address {
                return;
            }
            tokio::select! {
                _ = faults.changed() => {}
                _ = address.changed() => {}
            }
        }
    }
}

/// Accepts the next connection; never returns without a listener.
async fn accept(listener: Option<&TcpListener>) -> std::io::Result<TcpStream> {
    match listener {
        Some(listener) => Ok(listener.accept().await?.0),
        None => std::future::pending().await,
    }
}

/// The address to bind for a proxy's agent, with any free port.
fn any_port(proxy: u16) -> SocketAddr {
    let network = (proxy / AGENTS_PER_NETWORK) as u8;
    let host = 1 + (proxy % AGENTS_PER_NETWORK) as u8;
    SocketAddr::from(([127, 30, network, host], 0))
}
