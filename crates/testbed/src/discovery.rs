//! Discovery: what is known of the hosts, and an agent a proxy that tells it over HTTP, late or wrongly on
//! request.

use crate::context::RunContext;
use crate::event_log::{Event, HostState};
use crate::link::Links;
use crate::link_ends::LinkEnds;
use crate::plan::HostPlan;
use crate::sockets::listen_again;
use rand::{RngExt, SeedableRng};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until, timeout};

#[derive(Clone, Debug)]
struct Entry {
    endpoint: SocketAddr,
    place: String,
    cell: u16,
    weight: f64,
    state: HostState,
    /// On the ledger's clock.
    started: Option<Duration>,
    version: u64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DiscoveryFaults {
    pub silent: u32,
    pub refuses: u32,
    pub babbles: u32,
    pub older: u32,
}

#[derive(Debug)]
pub struct EndpointRegistry {
    pub context: Arc<RunContext>,
    links: Arc<Links>,
    entries: Mutex<Vec<Entry>>,
    /// As they were before the run.
    first: Vec<Entry>,
    version: watch::Sender<u64>,
    pub faults: watch::Sender<DiscoveryFaults>,
    /// By proxy, how many faults keep its agent from hearing anything.
    pub cut_off_agents: watch::Sender<Vec<u32>>,
}

/// How often something is written on a quiet watch.
const BLANK: Duration = Duration::from_secs(2);
const LONGEST_HEAD: usize = 8192;

impl EndpointRegistry {
    pub fn new(
        context: Arc<RunContext>,
        links: Arc<Links>,
        addresses: impl Iterator<Item = SocketAddr>,
    ) -> EndpointRegistry {
        let scenario = &context.scenario;
        let entry = |(host, endpoint): (&HostPlan, SocketAddr)| Entry {
            endpoint,
            place: scenario.places[usize::from(host.place)].clone(),
            cell: host.cell,
            weight: host.weight,
            state: HostState::Ready,
            started: None,
            version: 1,
        };
        let first: Vec<Entry> = context
            .plan
            .hosts
            .iter()
            .zip(addresses)
            .map(entry)
            .collect();
        EndpointRegistry {
            entries: Mutex::new(first.clone()),
            first,
            version: watch::channel(1).0,
            faults: watch::channel(DiscoveryFaults::default()).0,
            cut_off_agents: watch::channel(vec![0; scenario.proxies.count as usize]).0,
            context,
            links,
        }
    }

    fn entries(&self) -> MutexGuard<'_, Vec<Entry>> {
        self.entries
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
    }

    /// Changes what is known of a host.
    pub fn set_state(&self, host: u16, state: HostState, started: Option<Duration>) {
        let version = *self.version.borrow() + 1;
        {
            let entry = &mut self.entries()[usize::from(host)];
            (entry.state, entry.version) = (state, version);
            entry.started = started.or(entry.started);
        }
        self.version.send_replace(version);
    }

    pub fn start_of(&self, host: u16) -> Option<Duration> {
        self.entries()[usize::from(host)].started
    }

    /// The list as one line for a proxy, of what changed after a version, or complete.
    pub fn list(&self, proxy: u16, after: Option<u64>) -> EndpointList {
        let version = *self.version.borrow();
        self.list_of(&self.entries(), version, proxy, after)
    }

    /// The complete list as it was before the run, under its old number.
    pub fn outdated_list(&self, proxy: u16) -> EndpointList {
        self.list_of(&self.first, 1, proxy, None)
    }

    fn list_of(
        &self,
        entries: &[Entry],
        version: u64,
        proxy: u16,
        after: Option<u64>,
    ) -> EndpointList {
        let unix = self.context.event_log.unix;
        let mut named = Vec::new();
        let mut lines = Vec::new();
        for (nth, e) in entries.iter().enumerate() {
            if after.is_some_and(|after| e.version <= after) {
                continue;
            }
            named.push(ListedHost {
                number: nth as u16,
                state: e.state,
                started: e.started,
            });
            // A whole list tells that one is gone by leaving it out.
            if after.is_none() && e.state == HostState::Gone {
                continue;
            }
            let state = match e.state {
                HostState::Ready => "ready",
                HostState::Draining => "draining",
                HostState::Gone => "gone",
            };
            // A proxy has its own way to a host where that goes through a stand-in.
            let endpoint = self
                .links
                .address(LinkEnds::Proxy(proxy, nth as u16))
                .unwrap_or(e.endpoint);
            let boot = e.started.map_or(0, |at| (unix + at).as_millis() as u64);
            lines.push(serde_json::json!({
                "uid": uid(nth as u16), "endpoint": endpoint.to_string(), "az": e.place, "model": "m1",
                "pod_group": e.cell, "state": state, "capacity_hint": e.weight, "boot_ms": boot,
            }));
        }
        let list = serde_json::json!({"rev": version, "all": after.is_none(), "targets": lines});
        EndpointList {
            version,
            json: list.to_string(),
            hosts: named,
        }
    }
}

/// What one message of discovery tells a proxy.
#[derive(Clone, Debug)]
pub struct EndpointList {
    pub version: u64,
    /// The list as it is sent, in one line.
    pub json: String,
    /// Whom it tells of.
    pub hosts: Vec<ListedHost>,
}

/// What a list tells of a host.
#[derive(Clone, Copy, Debug)]
pub struct ListedHost {
    pub number: u16,
    pub state: HostState,
    pub started: Option<Duration>,
}

pub fn uid(host: u16) -> String {
    format!("s-{host:04}")
}

/// The agent of one proxy; it may move to another address.
#[derive(Debug)]
pub struct DiscoveryAgent {
    registry: Arc<EndpointRegistry>,
    proxy: u16,
    address: watch::Sender<SocketAddr>,
}

impl DiscoveryAgent {
    pub async fn start(
        registry: &Arc<EndpointRegistry>,
        proxy: u16,
    ) -> std::io::Result<Arc<DiscoveryAgent>> {
        let door = TcpListener::bind(place(proxy)).await?;
        let agent = Arc::new(DiscoveryAgent {
            registry: registry.clone(),
            proxy,
            address: watch::channel(door.local_addr()?).0,
        });
        tokio::spawn(agent.clone().serve(door));
        Ok(agent)
    }

    pub fn address(&self) -> SocketAddr {
        *self.address.borrow()
    }

    /// Stands at another address from now on; the old one is refused and its watches break.
    pub async fn change_address(self: &Arc<Self>) -> std::io::Result<()> {
        let door = TcpListener::bind(place(self.proxy)).await?;
        self.address.send_replace(door.local_addr()?);
        tokio::spawn(self.clone().serve(door));
        Ok(())
    }

    async fn serve(self: Arc<Self>, door: TcpListener) {
        let Ok(own) = door.local_addr() else { return };
        let mut door = Some(door);
        let (mut mood, mut address) = (self.registry.faults.subscribe(), self.address.subscribe());
        while *address.borrow_and_update() == own {
            let refuses = mood.borrow_and_update().refuses > 0;
            if refuses {
                door = None;
            } else if door.is_none() {
                door = listen_again(own);
                if door.is_none() {
                    sleep(Duration::from_millis(50)).await;
                    continue;
                }
            }
            let taken = async {
                match &door {
                    Some(door) => door.accept().await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                _ = mood.changed() => {}
                _ = address.changed() => {}
                taken = taken => if let Ok((stream, _)) = taken {
                    tokio::spawn(self.clone().answer(stream, own));
                }
            }
        }
    }

    async fn answer(self: Arc<Self>, mut stream: TcpStream, own: SocketAddr) {
        let (mut mood, mut address) = (self.registry.faults.subscribe(), self.address.subscribe());
        let over = async {
            loop {
                if mood.borrow_and_update().refuses > 0 || *address.borrow_and_update() != own {
                    return;
                }
                tokio::select! {
                    _ = mood.changed() => {}
                    _ = address.changed() => {}
                }
            }
        };
        tokio::select! {
            _ = over => {}
            _ = self.talk(&mut stream) => {}
        }
    }

    async fn talk(&self, stream: &mut TcpStream) -> Option<()> {
        let mut mood = self.registry.faults.subscribe();
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            if head.len() > LONGEST_HEAD {
                return None;
            }
            let byte = timeout(Duration::from_secs(5), stream.read_u8())
                .await
                .ok()?
                .ok()?;
            head.push(byte);
        }
        let head = String::from_utf8(head).ok()?;
        let path = head.split(' ').nth(1)?;
        let (mut apart, own) = (
            self.registry.cut_off_agents.subscribe(),
            usize::from(self.proxy),
        );
        let _ = mood.wait_for(|mood| mood.silent == 0).await;
        let _ = apart.wait_for(|apart| apart[own] == 0).await;
        let Some(rest) = path.strip_prefix("/discovery/hosts") else {
            let text = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
            return stream.write_all(text.as_bytes()).await.ok();
        };
        if !rest.contains("stream=1") {
            let list = self.registry.list(self.proxy, None);
            let (length, text) = (list.json.len(), &list.json);
            let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{text}");
            stream.write_all(text.as_bytes()).await.ok()?;
            self.record_listed(&list);
            return Some(());
        }
        let asked = rest
            .split("index=")
            .nth(1)
            .and_then(|n| n.split('&').next()?.parse::<u64>().ok());
        let mut version = self.registry.version.subscribe();
        // A version that this discovery never had tells nothing.
        let mut after = asked.filter(|n| (1..=*version.borrow()).contains(n));
        let mut old = false;
        let mut chance = crate::plan::SeededRng::seed_from_u64(u64::from(self.proxy) ^ 0xd15c);
        stream
            .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            .await
            .ok()?;
        loop {
            let _ = mood.wait_for(|mood| mood.silent == 0).await;
            let _ = apart.wait_for(|apart| apart[own] == 0).await;
            if mood.borrow_and_update().babbles > 0 {
                let text = [
                    "{\"version\":[}",
                    "{\"version\":-1,\"targets\":7}",
                    "\u{fffd}\u{1}",
                ];
                chunk(stream, text[chance.random_range(0..text.len())])
                    .await
                    .ok()?;
                sleep(Duration::from_millis(200)).await;
                continue;
            }
            version.borrow_and_update();
            let older = mood.borrow_and_update().older > 0;
            // Whoever was told the old list is told the whole one when that is over.
            if older != old {
                (old, after) = (older, None);
            }
            let list = match older {
                true => self.registry.outdated_list(self.proxy),
                false => self.registry.list(self.proxy, after),
            };
            if after.is_none_or(|after| after < list.version) {
                chunk(stream, &list.json).await.ok()?;
                self.record_listed(&list);
                after = Some(list.version);
            }
            let blank = Instant::now() + BLANK;
            tokio::select! {
                _ = sleep_until(blank) => chunk(stream, "").await.ok()?,
                _ = mood.changed() => {}
                _ = apart.changed() => {}
                _ = version.changed() => {
                    sleep(self.registry.context.scenario.fleet.told_within.mul_f64(chance.random::<f64>())).await;
                }
            }
        }
    }

    fn record_listed(&self, list: &EndpointList) {
        for host in &list.hosts {
            self.registry.context.event_log.record(Event::HostListed {
                proxy: self.proxy,
                host: host.number,
                standing: host.state,
                started: host.started,
            });
        }
    }
}

fn place(proxy: u16) -> SocketAddr {
    SocketAddr::from(([127, 30, (proxy / 250) as u8, 1 + (proxy % 250) as u8], 0))
}

async fn chunk(stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
    let text = format!("{:x}\r\n{text}\n\r\n", text.len() + 1);
    stream.write_all(text.as_bytes()).await
}
