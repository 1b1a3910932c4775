//! How an agent answers one request: the complete list at once, or a watch on which every change follows.

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

/// How often something is written on a watch without changes.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// The longest request head that is read, in bytes.
const LONGEST_HEAD: usize = 8192;
/// Longest pause between two bytes of a request head.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// How often an agent writes what is no list, while a fault has it do so.
const GARBAGE_INTERVAL: Duration = Duration::from_millis(200);
/// What it writes then.
const GARBAGE: [&str; 3] = ["{\"rev\":[}", "{\"rev\":-1,\"targets\":7}", "\u{fffd}\u{1}"];
/// Sets the random numbers of watches apart from all other ones.
const WATCH_SEED: u64 = 0xd15c;
const PATH: &str = "/discovery/hosts";
const NOT_FOUND: &str = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
const WATCH_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// What keeps an agent from answering.
struct Obstacles {
    proxy: usize,
    faults: watch::Receiver<DiscoveryFaults>,
    cut_off_agents: watch::Receiver<Vec<u32>>,
}

impl Obstacles {
    fn new(registry: &EndpointRegistry, proxy: u16) -> Obstacles {
        Obstacles {
            proxy: usize::from(proxy),
            faults: registry.faults.subscribe(),
            cut_off_agents: registry.cut_off_agents.subscribe(),
        }
    }

    /// Waits until discovery speaks, and then until this agent hears of it.
    async fn wait_until_none(&mut self) {
        let _ = self.faults.wait_for(|faults| faults.silent == 0).await;
        let proxy = self.proxy;
        let _ = self
            .cut_off_agents
            .wait_for(|cut_off| cut_off[proxy] == 0)
            .await;
    }
}

/// Reads a request and answers it for as long as the connection lasts; `None` where that has failed.
pub(super) async fn answer_request(
    registry: &EndpointRegistry,
    proxy: u16,
    stream: &mut TcpStream,
) -> Option<()> {
    let mut obstacles = Obstacles::new(registry, proxy);
    let head = read_head(stream).await?;
    let path = head.split(' ').nth(1)?;
    obstacles.wait_until_none().await;
    let Some(query) = path.strip_prefix(PATH) else {
        return stream.write_all(NOT_FOUND.as_bytes()).await.ok();
    };
    if query.contains("stream=1") {
        let asked_after = query
            .split("index=")
            .nth(1)
            .and_then(|index| index.split('&').next()?.parse::<u64>().ok());
        return Watch::new(registry, proxy, asked_after, obstacles)
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

/// Reads a request up to its blank line.
async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        if head.len() > LONGEST_HEAD {
            return None;
        }
        let byte = timeout(READ_TIMEOUT, stream.read_u8()).await;
        head.push(byte.ok()?.ok()?);
    }
    String::from_utf8(head).ok()
}

/// A watch: the list, and then each change of it.
struct Watch<'a> {
    registry: &'a EndpointRegistry,
    proxy: u16,
    /// The version that the proxy has.
    after: Option<u64>,
    /// It was told the list from before the run.
    outdated: bool,
    obstacles: Obstacles,
    version: watch::Receiver<u64>,
    random: SeededRng,
}

impl Watch<'_> {
    fn new(
        registry: &EndpointRegistry,
        proxy: u16,
        asked_after: Option<u64>,
        obstacles: Obstacles,
    ) -> Watch<'_> {
        let version = registry.subscribe_version();
        // A version that this discovery never had tells nothing.
        let after = asked_after.filter(|asked| (1..=*version.borrow()).contains(asked));
        Watch {
            registry,
            proxy,
            after,
            outdated: false,
            obstacles,
            version,
            random: SeededRng::seed_from_u64(u64::from(proxy) ^ WATCH_SEED),
        }
    }

    async fn serve(mut self, stream: &mut TcpStream) -> Option<()> {
        stream.write_all(WATCH_HEAD.as_bytes()).await.ok()?;
        loop {
            self.obstacles.wait_until_none().await;
            if self.obstacles.faults.borrow_and_update().sends_garbage > 0 {
                let garbage = GARBAGE[self.random.random_range(0..GARBAGE.len())];
                write_chunk(stream, garbage).await.ok()?;
                sleep(GARBAGE_INTERVAL).await;
                continue;
            }
            self.write_changes(stream).await?;
            let keep_alive_at = Instant::now() + KEEP_ALIVE_INTERVAL;
            tokio::select! {
                _ = sleep_until(keep_alive_at) => write_chunk(stream, "").await.ok()?,
                _ = self.obstacles.faults.changed() => {}
                _ = self.obstacles.cut_off_agents.changed() => {}
                _ = self.version.changed() => sleep(self.notification_delay()).await,
            }
        }
    }

    /// Writes what the proxy has not been told yet, if there is anything.
    async fn write_changes(&mut self, stream: &mut TcpStream) -> Option<()> {
        self.version.borrow_and_update();
        let outdated = self
            .obstacles
            .faults
            .borrow_and_update()
            .sends_outdated_list
            > 0;
        // Whoever was told the old list is told the complete one when that is over.
        if outdated != self.outdated {
            (self.outdated, self.after) = (outdated, None);
        }
        let list = if outdated {
            self.registry.outdated_list(self.proxy)
        } else {
            self.registry.list(self.proxy, self.after)
        };
        if self.after.is_none_or(|after| after < list.version) {
            write_chunk(stream, &list.json).await.ok()?;
            record_listed(self.registry, self.proxy, &list);
            self.after = Some(list.version);
        }
        Some(())
    }

    /// How long after a change it is told.
    fn notification_delay(&mut self) -> Duration {
        let longest = self.registry.context.scenario.fleet.max_propagation_delay;
        longest.mul_f64(self.random.random::<f64>())
    }
}

/// Records what a proxy was told of each host.
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

/// Writes one line as a chunk of a chunked answer.
async fn write_chunk(stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
    let chunk = format!("{:x}\r\n{text}\n\r\n", text.len() + 1);
    stream.write_all(chunk.as_bytes()).await
}
