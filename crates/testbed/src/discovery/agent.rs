//! The listener of a proxy's discovery agent.

use super::answer::answer_request;
use super::registry::EndpointRegistry;
use crate::sockets::listen_again;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// Agents that get an address in one network of 256 addresses.
const AGENTS_PER_NETWORK: u16 = 250;
/// Pause before a listener is opened again.
const LISTEN_RETRY: Duration = Duration::from_millis(50);

/// The discovery agent of one proxy; it may change its address.
#[derive(Debug)]
pub struct DiscoveryAgent {
    registry: Arc<EndpointRegistry>,
    proxy: u16,
    address: watch::Sender<SocketAddr>,
}

impl DiscoveryAgent {
    /// Starts the agent of a proxy.
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

    /// Where it is reached now.
    pub fn address(&self) -> SocketAddr {
        *self.address.borrow()
    }

    /// Listens at another address from now on; the old one is refused and its watches break.
    pub async fn change_address(self: &Arc<Self>) -> std::io::Result<()> {
        let listener = TcpListener::bind(any_port(self.proxy)).await?;
        self.address.send_replace(listener.local_addr()?);
        tokio::spawn(self.clone().serve(listener));
        Ok(())
    }

    /// Takes connections for as long as this is its address.
    async fn serve(self: Arc<Self>, listener: TcpListener) {
        let Ok(own) = listener.local_addr() else {
            return;
        };
        let mut listener = Some(listener);
        let mut faults = self.registry.faults.subscribe();
        let mut address = self.address.subscribe();
        while *address.borrow_and_update() == own {
            let refuses = faults.borrow_and_update().refuses > 0;
            if refuses {
                listener = None;
            } else if listener.is_none() {
                listener = listen_again(own);
                if listener.is_none() {
                    sleep(LISTEN_RETRY).await;
                    continue;
                }
            }
            tokio::select! {
                _ = faults.changed() => {}
                _ = address.changed() => {}
                accepted = accept(listener.as_ref()) => if let Ok(stream) = accepted {
                    tokio::spawn(self.clone().serve_connection(stream, own));
                }
            }
        }
    }

    /// Answers one connection until that is over, or it refuses connections, or has another address.
    async fn serve_connection(self: Arc<Self>, mut stream: TcpStream, own: SocketAddr) {
        tokio::select! {
            _ = self.leaves(own) => {}
            _ = answer_request(&self.registry, self.proxy, &mut stream) => {}
        }
    }

    /// Waits until it is not reached at an address any more.
    async fn leaves(&self, own: SocketAddr) {
        let mut faults = self.registry.faults.subscribe();
        let mut address = self.address.subscribe();
        loop {
            let refuses = faults.borrow_and_update().refuses > 0;
            if refuses || *address.borrow_and_update() != own {
                return;
            }
            tokio::select! {
                _ = faults.changed() => {}
                _ = address.changed() => {}
            }
        }
    }
}

/// The next connection, or none for ever where there is no listener.
async fn accept(listener: Option<&TcpListener>) -> std::io::Result<TcpStream> {
    match listener {
        Some(listener) => Ok(listener.accept().await?.0),
        None => std::future::pending().await,
    }
}

/// An address for a proxy's agent, at any free port.
fn any_port(proxy: u16) -> SocketAddr {
    let network = (proxy / AGENTS_PER_NETWORK) as u8;
    let host = 1 + (proxy % AGENTS_PER_NETWORK) as u8;
    SocketAddr::from(([127, 30, network, host], 0))
}
