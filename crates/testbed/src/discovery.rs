//! Discovery: what is known of the hosts, and an agent a proxy that tells it over HTTP, late or wrongly on
//! request.

use crate::event_log::{Event, HostState};
use crate::host::Host;
use crate::link::LinkEnds;
use crate::plan::Plan;
use crate::scenario::Scenario;
use crate::testbed::Testbed;
use rand::{RngExt, SeedableRng};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until, timeout};

#[derive(Clone, Debug)]
struct Entry {
    endpoint: SocketAddr,
    place: String,
    cell: u16,
    weight: f64,
    standing: HostState,
    /// On the ledger's clock.
    started: Option<Duration>,
    rev: u64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DiscoveryFaults {
    pub silent: u32,
    pub refuses: u32,
    pub babbles: u32,
    pub older: u32,
}

pub struct EndpointRegistry {
    entries: Mutex<Vec<Entry>>,
    /// As they were before the run.
    first: Vec<Entry>,
    rev: watch::Sender<u64>,
    pub mood: watch::Sender<DiscoveryFaults>,
}

/// How often something is written on a quiet watch.
const BLANK: Duration = Duration::from_secs(2);
const LONGEST_HEAD: usize = 8192;

impl EndpointRegistry {
    pub fn new(plan: &Plan, hosts: &[Arc<Host>], scenario: &Scenario) -> EndpointRegistry {
        let entry = |(host, at): (&crate::plan::HostPlan, &Arc<Host>)| Entry {
            endpoint: at.address,
            place: scenario.places[usize::from(host.place)].clone(),
            cell: host.cell,
            weight: host.weight,
            standing: HostState::Ready,
            started: None,
            rev: 1,
        };
        let first: Vec<Entry> = plan.hosts.iter().zip(hosts).map(entry).collect();
        EndpointRegistry {
            entries: Mutex::new(first.clone()),
            first,
            rev: watch::channel(1).0,
            mood: watch::channel(DiscoveryFaults::default()).0,
        }
    }

    fn entries(&self) -> MutexGuard<'_, Vec<Entry>> {
        self.entries
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
    }

    /// Changes what is known of a host.
    pub fn change(&self, host: u16, standing: HostState, started: Option<Duration>) {
        let rev = *self.rev.borrow() + 1;
        {
            let entry = &mut self.entries()[usize::from(host)];
            (entry.standing, entry.rev) = (standing, rev);
            entry.started = started.or(entry.started);
        }
        self.rev.send_replace(rev);
    }

    pub fn started(&self, host: u16) -> Option<Duration> {
        self.entries()[usize::from(host)].started
    }

    /// The list as one line, of what changed after a version, or whole; and whom it names.
    pub fn list(
        &self,
        testbed: &Testbed,
        proxy: u16,
        after: Option<u64>,
    ) -> (u64, String, Vec<(u16, ListedHost)>) {
        let rev = *self.rev.borrow();
        self.told(testbed, proxy, after, rev, &self.entries())
    }

    /// The whole list as it was before the run, under its old number.
    pub fn older(&self, testbed: &Testbed, proxy: u16) -> (u64, String, Vec<(u16, ListedHost)>) {
        self.told(testbed, proxy, None, 1, &self.first)
    }

    fn told(
        &self,
        testbed: &Testbed,
        proxy: u16,
        after: Option<u64>,
        rev: u64,
        entries: &[Entry],
    ) -> (u64, String, Vec<(u16, ListedHost)>) {
        let unix = testbed.event_log.unix;
        let mut named = Vec::new();
        let mut lines = Vec::new();
        for (nth, e) in entries.iter().enumerate() {
            if after.is_some_and(|after| e.rev <= after) {
                continue;
            }
            named.push((
                nth as u16,
                ListedHost {
                    standing: e.standing,
                    started: e.started,
                },
            ));
            // A whole list tells that one is gone by leaving it out.
            if after.is_none() && e.standing == HostState::Gone {
                continue;
            }
            let state = match e.standing {
                HostState::Ready => "ready",
                HostState::Draining => "draining",
                HostState::Gone => "gone",
            };
            // A proxy has its own way to a host where that goes through a stand-in.
            let endpoint = testbed
                .links
                .address(LinkEnds::Proxy(proxy, nth as u16))
                .unwrap_or(e.endpoint);
            let boot = e.started.map_or(0, |at| (unix + at).as_millis() as u64);
            lines.push(serde_json::json!({
                "uid": uid(nth as u16), "endpoint": endpoint.to_string(), "az": e.place, "model": "m1",
                "pod_group": e.cell, "state": state, "capacity_hint": e.weight, "boot_ms": boot,
            }));
        }
        let list = serde_json::json!({"rev": rev, "all": after.is_none(), "targets": lines});
        (rev, list.to_string(), named)
    }
}

/// What a list told of a host.
#[derive(Clone, Copy, Debug)]
pub struct ListedHost {
    pub standing: HostState,
    pub started: Option<Duration>,
}

pub fn uid(host: u16) -> String {
    format!("s-{host:04}")
}

/// The agent of one proxy; it may move to another address.
pub struct DiscoveryAgent {
    proxy: u16,
    address: watch::Sender<SocketAddr>,
}

impl DiscoveryAgent {
    pub async fn start(testbed: &Arc<Testbed>, proxy: u16) -> std::io::Result<Arc<DiscoveryAgent>> {
        let door = TcpListener::bind(place(proxy)).await?;
        let agent = Arc::new(DiscoveryAgent {
            proxy,
            address: watch::channel(door.local_addr()?).0,
        });
        tokio::spawn(agent.clone().serve(testbed.clone(), door));
        Ok(agent)
    }

    pub fn address(&self) -> SocketAddr {
        *self.address.borrow()
    }

    /// Stands at another address from now on; the old one is refused and its watches break.
    pub async fn moves(self: &Arc<Self>, testbed: &Arc<Testbed>) -> std::io::Result<()> {
        let door = TcpListener::bind(place(self.proxy)).await?;
        self.address.send_replace(door.local_addr()?);
        tokio::spawn(self.clone().serve(testbed.clone(), door));
        Ok(())
    }

    async fn serve(self: Arc<Self>, testbed: Arc<Testbed>, door: TcpListener) {
        let Ok(own) = door.local_addr() else { return };
        let mut door = Some(door);
        let (mut mood, mut address) =
            (testbed.discovery.mood.subscribe(), self.address.subscribe());
        while *address.borrow_and_update() == own {
            let refuses = mood.borrow_and_update().refuses > 0;
            if refuses {
                door = None;
            } else if door.is_none() {
                door = reopened(own);
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
                    tokio::spawn(self.clone().answer(testbed.clone(), stream, own));
                }
            }
        }
    }

    async fn answer(
        self: Arc<Self>,
        testbed: Arc<Testbed>,
        mut stream: TcpStream,
        own: SocketAddr,
    ) {
        let (mut mood, mut address) =
            (testbed.discovery.mood.subscribe(), self.address.subscribe());
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
            _ = self.talk(&testbed, &mut stream) => {}
        }
    }

    async fn talk(&self, testbed: &Testbed, stream: &mut TcpStream) -> Option<()> {
        let mut mood = testbed.discovery.mood.subscribe();
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
        let (mut apart, own) = (testbed.apart.subscribe(), usize::from(self.proxy));
        let _ = mood.wait_for(|mood| mood.silent == 0).await;
        let _ = apart.wait_for(|apart| apart[own] == 0).await;
        let Some(rest) = path.strip_prefix("/discovery/hosts") else {
            let text = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
            return stream.write_all(text.as_bytes()).await.ok();
        };
        if !rest.contains("stream=1") {
            let (_, text, named) = testbed.discovery.list(testbed, self.proxy, None);
            let length = text.len();
            let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{text}");
            stream.write_all(text.as_bytes()).await.ok()?;
            self.told(testbed, &named);
            return Some(());
        }
        let asked = rest
            .split("index=")
            .nth(1)
            .and_then(|n| n.split('&').next()?.parse::<u64>().ok());
        let mut rev = testbed.discovery.rev.subscribe();
        // A version that this discovery never had tells nothing.
        let mut after = asked.filter(|n| (1..=*rev.borrow()).contains(n));
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
                let text = ["{\"rev\":[}", "{\"rev\":-1,\"targets\":7}", "\u{fffd}\u{1}"];
                chunk(stream, text[chance.random_range(0..text.len())])
                    .await
                    .ok()?;
                sleep(Duration::from_millis(200)).await;
                continue;
            }
            rev.borrow_and_update();
            let older = mood.borrow_and_update().older > 0;
            // Whoever was told the old list is told the whole one when that is over.
            if older != old {
                (old, after) = (older, None);
            }
            let (at, text, named) = match older {
                true => testbed.discovery.older(testbed, self.proxy),
                false => testbed.discovery.list(testbed, self.proxy, after),
            };
            if after.is_none_or(|after| after < at) {
                chunk(stream, &text).await.ok()?;
                self.told(testbed, &named);
                after = Some(at);
            }
            let blank = Instant::now() + BLANK;
            tokio::select! {
                _ = sleep_until(blank) => chunk(stream, "").await.ok()?,
                _ = mood.changed() => {}
                _ = apart.changed() => {}
                _ = rev.changed() => {
                    sleep(testbed.scenario.fleet.told_within.mul_f64(chance.random::<f64>())).await;
                }
            }
        }
    }

    fn told(&self, testbed: &Testbed, named: &[(u16, ListedHost)]) {
        for (host, entry) in named {
            let (standing, started) = (entry.standing, entry.started);
            testbed.event_log.put(Event::HostListed {
                proxy: self.proxy,
                host: *host,
                standing,
                started,
            });
        }
    }
}

fn place(proxy: u16) -> SocketAddr {
    SocketAddr::from(([127, 30, (proxy / 250) as u8, 1 + (proxy % 250) as u8], 0))
}

/// Listens again where a listener was closed.
pub fn reopened(at: SocketAddr) -> Option<TcpListener> {
    let socket = TcpSocket::new_v4().ok()?;
    socket.set_reuseaddr(true).ok()?;
    socket.bind(at).ok()?;
    socket.listen(1024).ok()
}

async fn chunk(stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
    let text = format!("{:x}\r\n{text}\n\r\n", text.len() + 1);
    stream.write_all(text.as_bytes()).await
}
