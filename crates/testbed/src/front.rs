//! The front: learns by health checks which proxies live, deals clients out among those of their zone, and drops dead ones
//! late.

use crate::context::RunContext;
use crate::line_reader::{Line, LineReader};
use crate::link::Links;
use crate::link_ends::LinkEnds;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

/// Longest that a proxy may take to answer a health check.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// A proxy as the clients of a zone reach it.
#[derive(Clone, Copy, Debug)]
struct Backend {
    /// Where the proxy is.
    zone: u8,
    /// The zone whose clients reach it by this address; `None`: those of all zones.
    clients_of: Option<u8>,
    proxy: u16,
    address: SocketAddr,
    /// When it last answered; `None` while it is not used.
    answered: Option<Instant>,
}

impl Backend {
    /// Whether it is in use for the clients of a zone.
    fn serves(&self, zone: u8) -> bool {
        self.answered.is_some() && self.clients_of.is_none_or(|own| own == zone)
    }
}

/// A proxy that a client is given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PickedProxy {
    /// The proxy's number.
    pub number: u16,
    /// Where the client reaches it.
    pub address: SocketAddr,
}

/// Where clients find a proxy.
#[derive(Debug)]
pub struct Front {
    backends: Mutex<Vec<Backend>>,
}

impl Front {
    /// A front of proxies, each with its zone, which all clients reach by the same address.
    pub fn new(proxies: impl Iterator<Item = (u8, SocketAddr)>) -> Front {
        Front::with_links(proxies, &Links::default(), 1)
    }

    /// The same, where clients of each zone reach a proxy by a link of their own if there is one.
    pub fn with_links(
        proxies: impl Iterator<Item = (u8, SocketAddr)>,
        links: &Links,
        zones: u8,
    ) -> Front {
        let mut backends = Vec::new();
        for (proxy, (zone, direct)) in (0..).zip(proxies) {
            for clients_of in 0..zones {
                let relay = links.address(LinkEnds::Clients(clients_of, proxy));
                let (clients_of, address) = match relay {
                    Some(relay) => (Some(clients_of), relay),
                    None if clients_of == 0 => (None, direct),
                    None => continue,
                };
                backends.push(Backend {
                    zone,
                    clients_of,
                    proxy,
                    address,
                    answered: None,
                });
            }
        }
        Front {
            backends: Mutex::new(backends),
        }
    }

    /// Whether all proxies are in use.
    pub fn all_up(&self) -> bool {
        self.first_unanswered().is_none()
    }

    /// The first proxy that has not answered yet.
    pub fn first_unanswered(&self) -> Option<usize> {
        self.backends()
            .iter()
            .find(|backend| backend.answered.is_none())
            .map(|backend| usize::from(backend.proxy))
    }

    /// A proxy for a client of a zone, by a number drawn; another zone's where that has none.
    pub fn pick(&self, zone: u8, draw: u64) -> Option<PickedProxy> {
        let backends = self.backends();
        let in_use = || backends.iter().filter(|backend| backend.serves(zone));
        let near: Vec<&Backend> = in_use().filter(|backend| backend.zone == zone).collect();
        let candidates = if near.is_empty() {
            in_use().collect()
        } else {
            near
        };
        let nth = draw % candidates.len().max(1) as u64;
        let backend = candidates.get(nth as usize)?;
        Some(PickedProxy {
            number: backend.proxy,
            address: backend.address,
        })
    }

    /// Checks each proxy's health for as long as the run lasts.
    pub fn watch(self: &Arc<Self>, context: &RunContext) {
        let (interval, drop_after) = (
            context.scenario.front.health_check_interval,
            context.scenario.front.removal_delay,
        );
        let count = self.backends().len();
        for nth in 0..count {
            let front = self.clone();
            tokio::spawn(async move {
                loop {
                    let address = front.backends()[nth].address;
                    let answer = timeout(HEALTH_CHECK_TIMEOUT, answers_ping(address)).await;
                    front.record_health(nth, answer == Ok(true), drop_after);
                    sleep(interval).await;
                }
            });
        }
    }

    fn record_health(&self, nth: usize, lives: bool, drop_after: Duration) {
        let backend = &mut self.backends()[nth];
        if lives {
            backend.answered = Some(Instant::now());
        } else if backend.answered.is_some_and(|at| at.elapsed() > drop_after) {
            backend.answered = None;
        }
    }

    fn backends(&self) -> MutexGuard<'_, Vec<Backend>> {
        self.backends
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
    }
}

async fn answers_ping(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return false;
    };
    if stream.write_all(b"PING\r\n").await.is_err() {
        return false;
    }
    let (read, _write) = stream.into_split();
    LineReader::new(read).next().await == Line::Text("PONG".into())
}
