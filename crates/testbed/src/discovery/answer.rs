//! How an agent answers one HTTP request: with the complete endpoint list, or with a watch that streams every change.

use super::endpoint_list::EndpointList;
use super::registry::{DiscoveryFaults, EndpointRegistry};
use crate::event_log::Event;
use crate::plan::SeededRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// How often an empty line is sent on a watch without changes.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// The longest request head that is accepted, in bytes.
const MAX_HEAD_BYTES: usize = 8192;
/// The longest wait for the next byte of a request head.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// How often an agent with the fault `discovery-babbles` sends text that is not an endpoint list.
const GARBAGE_INTERVAL: Duration = Duration::from_millis(200);
/// Texts that are not valid endpoint lists, for the fault `discovery-babbles`: broken JSON, wrong types, and no JSON at
/// all.
const GARBAGE: [&str; 3] = ["{\"rev\":[}", "{\"rev\":-1,\"targets\":7}", "\u{fffd}\u{1}"];
/// XORed with the proxy's number into the seed of a watch's random draws.
const WATCH_SEED: u64 = 0xd15c;
/// The path of the endpoint list; a query follows for a watch.
const PATH: &str = "/discovery/hosts";
const NOT_FOUND: &str = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
const WATCH_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// The faults that keep an agent from answering.
struct AgentFaults {
    proxy: usize,
    discovery: watch::Receiver<DiscoveryFaults>,
    /// By proxy, how many faults cut its agent off from the registry.
    cut_off_agents: watch::Receiver<Vec<u32>>,
}

impl AgentFaults {
    fn new(registry: &EndpointRegistry, proxy: u16) -> AgentFaults {
        AgentFaults {
            proxy: usize::from(proxy),
            discovery: registry.faults.subscribe(),
            cut_off_agents: registry.cut_off_agents.subscribe(),
        }
    }

    /// Waits until discovery is not silent, and then until this agent is not cut off.
    async fn wait_until_answering(&mut self) {
        let _ = self.discovery.wait_for(|faults| faults.silent == 0).await;
        let proxy = self.proxy;
        let _ = self
            .cut_off_agents
            .wait_for(|cut_off| cut_off[proxy] == 0)
            .await;
    }
}

/// Reads a request and answers it, with a watch until the connection ends; `None` if the request is invalid or the
/// connection fails.
pub(super) async fn answer_request(
    registry: &EndpointRegistry,
    proxy: u16,
    stream: &mut TcpStream,
) -> Option<()> {
    let mut faults = AgentFaults::new(registry, proxy);
    let head = read_head(stream).await?;
    let path = head.split(' ').nth(1)?;
    faults.wait_until_answering().await;
    let Some(query) = path.strip_prefix(PATH) else {
        return stream.write_all(NOT_FOUND.as_bytes()).await.ok();
    };
    if query.contains("stream=1") {
        let known_version = query
            .split("index=")
            .nth(1)
            .and_then(|index| index.split('&').next()?.parse::<u64>().ok());
        return Watch::new(registry, proxy, known_version, faults)
            .serve(stream)
            .await;
    }
    let list = registry.list(proxy, None);
    let (length, json) = (list.json.len(), &list.json);
    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{json}");
    stream.write_all(answer.as_bytes()).await.ok()?;
    record_listed(registry, proxy, &list);
    Some(())
}

/// Reads a request head up to and including its blank line.
async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        if head.len() > MAX_HEAD_BYTES {
            return None;
        }
        let byte = timeout(READ_TIMEOUT, stream.read_u8()).await;
        head.push(byte.ok()?.ok()?);
    }
    String::from_utf8(head).ok()
}

/// A watch: sends the endpoint list, and then each change of it.
struct Watch<'a> {
    registry: &'a EndpointRegistry,
    proxy: u16,
    /// The version that the proxy has; `None`: it has none and needs the complete list.
    sent_version: Option<u64>,
    /// Whether the last list came from before the run, because of the fault `discovery-older`.
    sent_outdated: bool,
    faults: AgentFaults,
    version: watch::Receiver<u64>,
    random: SeededRng,
}

impl Watch<'_> {
    fn new(
        registry: &EndpointRegistry,
        proxy: u16,
        known_version: Option<u64>,
        faults: AgentFaults,
    ) -> Watch<'_> {
        let version = registry.subscribe_version();
        // A version that this registry never had says nothing about what the proxy knows.
        let sent_version = known_version.filter(|known| (1..=*version.borrow()).contains(known));
        Watch {
            registry,
            proxy,
            sent_version,
            sent_outdated: false,
            faults,
            version,
            random: SeededRng::seed_from_u64(u64::from(proxy) ^ WATCH_SEED),
        }
    }

    async fn serve(mut self, stream: &mut TcpStream) -> Option<()> {
        stream.write_all(WATCH_HEAD.as_bytes()).await.ok()?;
        loop {
            self.faults.wait_until_answering().await;
            if self.faults.discovery.borrow_and_update().sends_garbage > 0 {
                let garbage = GARBAGE[self.random.random_range(0..GARBAGE.len())];
                write_chunk(stream, garbage).await.ok()?;
                sleep(GARBAGE_INTERVAL).await;
                continue;
            }
            self.write_changes(stream).await?;
            let keep_alive_at = Instant::now() + KEEP_ALIVE_INTERVAL;
            tokio::select! {
                _ = sleep_until(keep_alive_at) => write_chunk(stream, "").await.ok()?,
                _ = self.faults.discovery.changed() => {}
                _ = self.faults.cut_off_agents.changed() => {}
                _ = self.version.changed() => sleep(self.notification_delay()).await,
            }
        }
    }

    /// Sends the changes after the version that the proxy has, if there are any.
    async fn write_changes(&mut self, stream: &mut TcpStream) -> Option<()> {
        self.version.borrow_and_update();
        let outdated = self
            .faults
            .discovery
            .borrow_and_update()
            .sends_outdated_list
            > 0;
        // A complete list follows when the fault begins or ends: changes would not undo the outdated list.
        if outdated != self.sent_outdated {
            (self.sent_outdated, self.sent_version) = (outdated, None);
        }
        let list = if outdated {
            self.registry.outdated_list(self.proxy)
        } else {
            self.registry.list(self.proxy, self.sent_version)
        };
        if self
            .sent_version
            .is_none_or(|version| version < list.version)
        {
            write_chunk(stream, &list.json).await.ok()?;
            record_listed(self.registry, self.proxy, &list);
            self.sent_version = Some(list.version);
        }
        Some(())
    }

    /// Draws the delay between a change and its announcement.
    fn notification_delay(&mut self) -> Duration {
        let longest = self.registry.context.scenario.fleet.max_propagation_delay;
        longest.mul_f64(self.random.random::<f64>())
    }
}

/// Records the state of each host that a list announced to a proxy.
fn record_listed(registry: &EndpointRegistry, proxy: u16, list: &EndpointList) {
    for host in &list.hosts {
        registry.context.event_log.record(Event::HostListed {
            proxy,
            host: host.number,
            standing: host.state,
            started: host.started,
        });
    }
}

/// Sends one line as a chunk of a response with chunked transfer encoding.
async fn write_chunk(stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
    let chunk = format!("{:x}\r\n{text}\n\r\n", text.len() + 1);
    stream.write_all(chunk.as_bytes()).await
}
