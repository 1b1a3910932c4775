//! The load balancer in front of the proxies. It checks the health of each proxy, gives each client a proxy of the
//! client's zone, and removes a failed proxy only after a delay, in which clients still get it.

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

/// How long a proxy may take to answer a health check.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// An address by which clients reach a proxy.
#[derive(Clone, Copy, Debug)]
struct Backend {
    /// Zone of the proxy.
    zone: u8,
    /// The zone whose clients use this address; `None` for the clients of all zones.
    clients_of: Option<u8>,
    /// Number of the proxy.
    proxy: u16,
    address: SocketAddr,
    /// When it last answered a health check; `None` while it is not in use: before the first answer and after removal.
    last_answer: Option<Instant>,
}

impl Backend {
    /// Whether the address is in use for clients of a zone.
    fn serves(&self, zone: u8) -> bool {
        self.last_answer.is_some() && self.clients_of.is_none_or(|clients_of| clients_of == zone)
    }
}

/// The proxy that the front balancer selected for a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SelectedProxy {
    /// The proxy's number.
    pub number: u16,
    /// The address to which the client connects.
    pub address: SocketAddr,
}

/// The load balancer in front of the proxies.
#[derive(Debug)]
pub struct FrontBalancer {
    backends: Mutex<Vec<Backend>>,
}

impl FrontBalancer {
    /// A balancer over proxies, each with its zone and the address that all clients use.
    pub fn new(proxies: impl Iterator<Item = (u8, SocketAddr)>) -> FrontBalancer {
        FrontBalancer::with_links(proxies, &Links::default(), 1)
    }

    /// A balancer over proxies, where clients of one of the `zones` zones use the relay of their link to a proxy if
    /// there is one, and the proxy's own address otherwise.
    pub fn with_links(
        proxies: impl Iterator<Item = (u8, SocketAddr)>,
        links: &Links,
        zones: u8,
    ) -> FrontBalancer {
        let mut backends = Vec::new();
        for (proxy, (zone, own_address)) in (0..).zip(proxies) {
            for clients_of in 0..zones {
                let relay = links.address(LinkEnds::Clients(clients_of, proxy));
                let (clients_of, address) = match relay {
                    Some(relay) => (Some(clients_of), relay),
                    None if clients_of == 0 => (None, own_address),
                    None => continue,
                };
                backends.push(Backend {
                    zone,
                    clients_of,
                    proxy,
                    address,
                    last_answer: None,
                });
            }
        }
        FrontBalancer {
            backends: Mutex::new(backends),
        }
    }

    /// Whether all addresses are in use.
    pub fn all_up(&self) -> bool {
        self.first_unanswered().is_none()
    }

    /// Number of the first proxy with an address that is not in use.
    pub fn first_unanswered(&self) -> Option<usize> {
        self.backends()
            .iter()
            .find(|backend| backend.last_answer.is_none())
            .map(|backend| usize::from(backend.proxy))
    }

    /// Selects a proxy for a client of a zone by the random number `draw`, among those in use in the same zone, or
    /// among all in use if that zone has none; `None` if no proxy is in use.
    pub fn select_proxy(&self, zone: u8, draw: u64) -> Option<SelectedProxy> {
        let backends = self.backends();
        let in_use = || backends.iter().filter(|backend| backend.serves(zone));
        let in_zone: Vec<&Backend> = in_use().filter(|backend| backend.zone == zone).collect();
        let candidates = if in_zone.is_empty() {
            in_use().collect()
        } else {
            in_zone
        };
        let index = draw % candidates.len().max(1) as u64;
        let backend = candidates.get(index as usize)?;
        Some(SelectedProxy {
            number: backend.proxy,
            address: backend.address,
        })
    }

    /// Starts a task for each address that checks the proxy's health at the scenario's interval, until the
    /// runtime ends.
    pub fn start_health_checks(self: &Arc<Self>, context: &RunContext) {
        let (interval, removal_delay) = (
            context.scenario.front.health_check_interval,
            context.scenario.front.removal_delay,
        );
        let count = self.backends().len();
        for index in 0..count {
            let front = self.clone();
            tokio::spawn(async move {
                loop {
                    let address = front.backends()[index].address;
                    let answer = timeout(HEALTH_CHECK_TIMEOUT, answers_ping(address)).await;
                    front.record_health(index, answer == Ok(true), removal_delay);
                    sleep(interval).await;
                }
            });
        }
    }

    /// Records the result of a health check, and removes a backend without an answer for longer than `removal_delay`.
    fn record_health(&self, index: usize, is_healthy: bool, removal_delay: Duration) {
        let backend = &mut self.backends()[index];
        if is_healthy {
            backend.last_answer = Some(Instant::now());
        } else if backend
            .last_answer
            .is_some_and(|at| at.elapsed() > removal_delay)
        {
            backend.last_answer = None;
        }
    }

    fn backends(&self) -> MutexGuard<'_, Vec<Backend>> {
        self.backends
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// Whether a proxy answers `PING` with `PONG`.
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
