//! A plain proxy for comparison only, with policies that know nothing of load. It keeps the rules in the
//! simplest way, or breaks one on request, so that it can be seen whether the judge notices.

use crate::line_reader::{Line, LineReader};
use clap::ValueEnum;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, SystemTime};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{Instant, sleep, timeout};

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Policy {
    Random,
    RoundRobin,
    LeastOpen,
}

/// What it does wrong on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Break {
    /// Dials a second host while the first dial is out.
    DoubleDial,
    /// Says a second final answer behind the first.
    AnswerTwice,
    /// Says nothing to a session that it gives up.
    NoAnswer,
    /// Answers a session that it gives up long after its time.
    LateAnswer,
    /// Dials once more after the final answer.
    DialAfter,
    /// Dials more often than is allowed.
    ManyDials,
    /// Goes on sending to hosts that drain.
    IgnoreDrains,
    /// Sends once-only sessions again though they may have run.
    EffectTwice,
    /// Refuses once-only sessions that may have run.
    RefuseRun,
    /// Sends everything to the host that started last.
    FloodCold,
    /// Cuts open connections off.
    CutOff,
    /// Holds lines back for longer than a second.
    HoldLines,
    /// Tells clients what no host said.
    MakeUp,
    /// Sends on what it cannot read.
    SendOn,
    /// Refuses what is worth most first.
    RefuseWorth,
    /// Ends by itself.
    Crash,
}

#[derive(Clone, Debug)]
struct InitialEndpointList {
    endpoint: SocketAddr,
    ready: bool,
    boot_ms: u64,
    open: u64,
}

struct Plain {
    policy: Policy,
    breaks: Option<Break>,
    config: Value,
    hosts: Mutex<BTreeMap<String, InitialEndpointList>>,
    turn: AtomicU64,
    leaving: AtomicBool,
    moving: AtomicBool,
}

/// How often the list is fetched; well within the drain grace.
const FETCH: Duration = Duration::from_millis(150);
const SERVES_ON: Duration = Duration::from_millis(500);
const LEAVES: Duration = Duration::from_millis(2_500);
const REFUSAL: &str = "BUSY 500\r\n";

fn ms(value: &Value) -> Duration {
    Duration::from_micros(value.as_u64().unwrap_or_default())
}

/// Serves until SIGTERM. The configuration is the platform's.
pub async fn run(policy: Policy, breaks: Option<Break>) -> Result<(), String> {
    let path = PathBuf::from(std::env::var("LB_CONFIG").map_err(|_| "LB_CONFIG is not set")?);
    let config = read(&path)?;
    let text = config["listen"].as_str().unwrap_or_default();
    let listen: SocketAddr = text
        .parse()
        .map_err(|_| format!("listen: {text:?} is no address"))?;
    let door = TcpListener::bind(listen)
        .await
        .map_err(|e| format!("listen: {listen}: {e}"))?;
    let mut hang_up = signal(SignalKind::hangup()).map_err(|e| e.to_string())?;
    let mut term = signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
    let plain = Arc::new(Plain {
        policy,
        breaks,
        config,
        hosts: Mutex::default(),
        turn: AtomicU64::new(0),
        leaving: AtomicBool::new(false),
        moving: AtomicBool::new(false),
    });
    tokio::spawn(plain.clone().fetch(path));
    // Nobody is served before the first list.
    while plain.hosts().is_empty() {
        sleep(Duration::from_millis(10)).await;
    }
    if breaks == Some(Break::Crash) {
        tokio::spawn(async {
            sleep(Duration::from_secs(2)).await;
            std::process::exit(3);
        });
    }
    loop {
        tokio::select! {
            _ = hang_up.recv() => {}
            _ = term.recv() => break,
            taken = door.accept() => if let Ok((stream, _)) = taken {
                tokio::spawn(plain.clone().client(stream));
            }
        }
    }
    plain.leaving.store(true, Ordering::Relaxed);
    let until = Instant::now() + SERVES_ON;
    while let Ok(taken) = tokio::time::timeout_at(until, door.accept()).await {
        if let Ok((stream, _)) = taken {
            tokio::spawn(plain.clone().client(stream));
        }
    }
    plain.moving.store(true, Ordering::Relaxed);
    drop(door);
    sleep(LEAVES).await;
    Ok(())
}

fn read(path: &PathBuf) -> Result<Value, String> {
    let bytes = std::fs::read(path).map_err(|e| format!("LB_CONFIG: {e}"))?;
    serde_json::from_slice(&bytes).map_err(|e| format!("configuration: {e}"))
}

impl Plain {
    fn hosts(&self) -> MutexGuard<'_, BTreeMap<String, InitialEndpointList>> {
        self.hosts
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
    }

    fn breaks(&self, what: Break) -> bool {
        self.breaks == Some(what)
    }

    /// Fetches the list again and again, from where the configuration says at that time.
    async fn fetch(self: Arc<Self>, path: PathBuf) {
        loop {
            let address = read(&path)
                .ok()
                .and_then(|c| c["discovery"].as_str()?.parse().ok());
            if let Some(address) = address
                && let Ok(Some(list)) = timeout(Duration::from_secs(1), fetched(address)).await
            {
                self.learn(&list);
            }
            sleep(FETCH).await;
        }
    }

    fn learn(&self, list: &Value) {
        let Some(targets) = list["targets"].as_array() else {
            return;
        };
        let mut hosts = self.hosts();
        let mut left: Vec<String> = hosts.keys().cloned().collect();
        for target in targets {
            let text = |key: &str| target[key].as_str().unwrap_or_default().to_string();
            let Ok(endpoint) = text("endpoint").parse() else {
                continue;
            };
            let open = hosts.get(&text("uid")).map_or(0, |known| known.open);
            let (ready, boot_ms) = (
                text("state") == "ready",
                target["boot_ms"].as_u64().unwrap_or(0),
            );
            hosts.insert(
                text("uid"),
                InitialEndpointList {
                    endpoint,
                    ready,
                    boot_ms,
                    open,
                },
            );
            left.retain(|uid| *uid != text("uid"));
        }
        hosts.retain(|uid, _| !left.contains(uid));
    }

    /// A host for a dial, other than those tried.
    fn pick(&self, tried: &[String]) -> Option<(String, SocketAddr)> {
        let unix = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        let warm = ms(&self.config["settings"]["rules"]["cold"]);
        let cold = |known: &InitialEndpointList| {
            let up = (unix.as_millis() as u64).saturating_sub(known.boot_ms);
            known.boot_ms > 0 && u128::from(up) < warm.as_millis()
        };
        let hosts = self.hosts();
        if self.breaks(Break::FloodCold) {
            let newest = hosts
                .iter()
                .filter(|h| cold(h.1))
                .max_by_key(|h| h.1.boot_ms);
            if let Some((uid, known)) = newest {
                return Some((uid.clone(), known.endpoint));
            }
        }
        if self.breaks(Break::IgnoreDrains)
            && let Some((uid, known)) = hosts.iter().find(|h| !h.1.ready)
        {
            return Some((uid.clone(), known.endpoint));
        }
        // It never sends to a cold one: that is safe, and all that a plain proxy needs.
        let fit =
            |h: &(&String, &InitialEndpointList)| h.1.ready && !cold(h.1) && !tried.contains(h.0);
        let fit: Vec<(&String, &InitialEndpointList)> = hosts.iter().filter(fit).collect();
        let nth = self.turn.fetch_add(1, Ordering::Relaxed);
        let drawn = nth.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33;
        let (uid, known) = match self.policy {
            _ if fit.is_empty() => return None,
            Policy::Random => fit[drawn as usize % fit.len()],
            Policy::RoundRobin => fit[nth as usize % fit.len()],
            Policy::LeastOpen => *fit.iter().min_by_key(|h| h.1.open)?,
        };
        Some((uid.clone(), known.endpoint))
    }

    fn opened(&self, uid: &str, up: bool) {
        if let Some(known) = self.hosts().get_mut(uid) {
            known.open = if up {
                known.open + 1
            } else {
                known.open.saturating_sub(1)
            };
        }
    }

    async fn client(self: Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (read, mut write) = stream.into_split();
        let mut lines = LineReader::new(read);
        loop {
            match timeout(Duration::from_secs(2), lines.next()).await {
                Ok(Line::Text(line)) if line == "PING" => {
                    if self.leaving.load(Ordering::Relaxed)
                        || write.write_all(b"PONG\r\n").await.is_err()
                    {
                        return;
                    }
                }
                Ok(Line::Text(line)) if line.starts_with("OPEN ") => {
                    return self.session(&line, &mut lines, &mut write).await;
                }
                Ok(Line::Text(line)) if self.breaks(Break::SendOn) => {
                    if let Some((_, at)) = self.pick(&[])
                        && let Ok(mut stream) = TcpStream::connect(at).await
                    {
                        let _ = stream.write_all(format!("{line}\r\n").as_bytes()).await;
                        let _ = stream.read_u8().await;
                    }
                    return;
                }
                Ok(Line::Fin | Line::Reset) => return,
                _ => return part(&mut lines, &mut write, "ERR\r\n").await,
            }
        }
    }

    async fn session(&self, line: &str, lines: &mut LineReader, write: &mut OwnedWriteHalf) {
        let figure = |name: &str| line.split([',', ' ']).find_map(|p| p.strip_prefix(name));
        let wait = figure("d=")
            .and_then(|d| d.parse::<u64>().ok())
            .filter(|ms| *ms <= 3_600_000);
        let listeners = self.config["settings"]["listeners"]
            .as_array()
            .cloned()
            .unwrap_or_default();
        let listener = listeners
            .iter()
            .find(|l| l["name"].as_str() == figure("c="));
        let (Some(wait), Some(listener)) = (wait, listener) else {
            return part(lines, write, "ERR\r\n").await;
        };
        // A client waits for its answer, so more than one line is none of its.
        if lines.ready() {
            return part(lines, write, "ERR\r\n").await;
        }
        let utility = |l: &Value| l["utility"].as_f64().unwrap_or(1.0);
        let most = listeners.iter().map(utility).fold(0.0, f64::max);
        if self.breaks(Break::RefuseWorth)
            && utility(listener) >= most
            && self.turn.fetch_add(1, Ordering::Relaxed).is_multiple_of(2)
        {
            return part(lines, write, REFUSAL).await;
        }
        let semantics = listener["semantics"].as_str().unwrap_or_default();
        let harmless = semantics == "read_like";
        let began = Instant::now();
        let ends = began + Duration::from_millis(wait);
        let max = self.config["settings"]["permissions"]["max_dials"]
            .as_u64()
            .unwrap_or(1);
        let max = if self.breaks(Break::ManyDials) {
            max + 3
        } else {
            max
        };
        let inherited = figure("at=").map(String::from);
        let (mut tried, mut may_have_run) = (Vec::new(), false);
        let mut kept = Vec::new();
        for nth in 0..max {
            let picked = match &inherited {
                Some(uid) => self
                    .hosts()
                    .get(uid)
                    .map(|known| (uid.clone(), known.endpoint)),
                None => self.pick(&tried),
            };
            let Some((uid, at)) = picked else { break };
            let left = ends.saturating_duration_since(Instant::now());
            let waits = if nth + 1 == max {
                left
            } else {
                (left / 2).min(Duration::from_millis(400))
            };
            let hurry = self.breaks(Break::DoubleDial) || self.breaks(Break::ManyDials);
            let waits = if hurry {
                Duration::from_millis(60).min(left)
            } else {
                waits
            };
            let dial = self.dial(line, wait, at, waits);
            let dialled = tokio::select! {
                dialled = dial => dialled,
                // The client has left, or speaks before it is answered.
                _ = lines.end() => return,
            };
            match dialled {
                Dialled::Up(first, host, host_write) => {
                    drop(kept);
                    self.opened(&uid, true);
                    let _ = write.write_all(format!("{first}\r\n").as_bytes()).await;
                    self.relay(lines, write, host, host_write).await;
                    return self.opened(&uid, false);
                }
                Dialled::Never => {}
                Dialled::Maybe(stream) => {
                    may_have_run = true;
                    if self.breaks(Break::DoubleDial) {
                        kept.extend(stream);
                    }
                    let again = harmless || self.breaks(Break::EffectTwice);
                    if !again {
                        break;
                    }
                }
            }
            if !self.breaks(Break::ManyDials) {
                tried.push(uid);
            }
            if Instant::now() >= ends {
                break;
            }
        }
        drop(kept);
        let refuses = harmless || !may_have_run || self.breaks(Break::RefuseRun);
        let text = if refuses { REFUSAL } else { "ERR\r\n" };
        match self.breaks {
            Some(Break::NoAnswer) => return sleep(Duration::from_secs(20)).await,
            Some(Break::LateAnswer) => {
                let late = ends + Duration::from_millis(700);
                sleep(late.saturating_duration_since(Instant::now())).await;
            }
            Some(Break::AnswerTwice) => {
                let _ = write.write_all(text.as_bytes()).await;
                sleep(Duration::from_millis(20)).await;
                return part(lines, write, "ERR\r\n").await;
            }
            Some(Break::DialAfter) => {
                let _ = write.write_all(text.as_bytes()).await;
                sleep(Duration::from_millis(300)).await;
                if let Some((_, at)) = self.pick(&[]) {
                    self.dial(line, wait, at, Duration::from_millis(300)).await;
                }
                return;
            }
            _ => {}
        }
        part(lines, write, text).await;
    }

    async fn dial(&self, line: &str, wait: u64, at: SocketAddr, waits: Duration) -> Dialled {
        let connect = ms(&self.config["settings"]["permissions"]["dial_timeout"]);
        let Ok(Ok(stream)) = timeout(connect.min(waits), TcpStream::connect(at)).await else {
            return Dialled::Never;
        };
        let _ = stream.set_nodelay(true);
        let (read, mut write) = stream.into_split();
        let mut lines = LineReader::new(read);
        let told = line.replace(&format!(",d={wait}"), &format!(",d={}", waits.as_millis()));
        if write
            .write_all(format!("{told}\r\n").as_bytes())
            .await
            .is_err()
        {
            return Dialled::Maybe(None);
        }
        match timeout(waits, lines.next()).await {
            Ok(Line::Text(first)) if first.starts_with("UP ") => Dialled::Up(first, lines, write),
            Ok(Line::Text(first)) if first.starts_with("BUSY") => Dialled::Never,
            Ok(_) => Dialled::Maybe(None),
            Err(_) => Dialled::Maybe(Some((lines, write))),
        }
    }

    /// Passes lines on, both ways, until one side ends or this proxy leaves.
    async fn relay(
        &self,
        client: &mut LineReader,
        to_client: &mut OwnedWriteHalf,
        mut host: LineReader,
        mut to_host: OwnedWriteHalf,
    ) {
        let cut_at = Instant::now() + Duration::from_millis(1_200);
        loop {
            if self.moving.load(Ordering::Relaxed) {
                drop((host, to_host));
                return part(client, to_client, "MOVE\r\n").await;
            }
            let (line, up) = tokio::select! {
                line = client.next() => (line, true),
                line = host.next() => (line, false),
                _ = sleep(Duration::from_millis(100)) => {
                    if self.breaks(Break::CutOff) && Instant::now() > cut_at {
                        return;
                    }
                    continue;
                }
            };
            let Line::Text(line) = line else { return };
            if self.breaks(Break::HoldLines) && up {
                sleep(Duration::from_millis(1_600)).await;
            }
            if self.breaks(Break::MakeUp) && !up {
                let _ = to_client.write_all(b"NEWS of mine\r\n").await;
            }
            let to = if up { &mut to_host } else { &mut *to_client };
            let sent = timeout(
                Duration::from_secs(5),
                to.write_all(format!("{line}\r\n").as_bytes()),
            )
            .await;
            if !matches!(sent, Ok(Ok(()))) {
                return;
            }
        }
    }
}

enum Dialled {
    Up(String, LineReader, OwnedWriteHalf),
    /// It has never run.
    Never,
    /// It may have; the connection, where it is still up.
    Maybe(Option<(LineReader, OwnedWriteHalf)>),
}

async fn part(lines: &mut LineReader, write: &mut OwnedWriteHalf, text: &str) {
    let _ = write.write_all(text.as_bytes()).await;
    let _ = write.shutdown().await;
    let _ = timeout(Duration::from_secs(1), async {
        while !matches!(lines.next().await, Line::Fin | Line::Reset) {}
    })
    .await;
}

async fn fetched(address: SocketAddr) -> Option<Value> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    let request = "GET /discovery/hosts HTTP/1.1\r\nHost: roster\r\n\r\n";
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut answer = Vec::new();
    stream.take(8 << 20).read_to_end(&mut answer).await.ok()?;
    let body = answer.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    serde_json::from_slice(&answer[body..]).ok()
}

/// The plain proxy as a program that a run may start.
pub fn program(
    rig: &std::path::Path,
    policy: Policy,
    breaks: Option<Break>,
) -> crate::proxies::Program {
    let word = |value: &dyn Fn() -> Option<clap::builder::PossibleValue>| {
        value()
            .map(|value| value.get_name().to_string())
            .unwrap_or_default()
    };
    let mut args = vec![
        "plain-proxy".to_string(),
        word(&|| policy.to_possible_value()),
    ];
    let mut name = args.join(" ");
    if let Some(breaks) = breaks {
        args.extend(["--break".to_string(), word(&|| breaks.to_possible_value())]);
        name += &format!(" breaking {}", args[3]);
    }
    crate::proxies::Program {
        path: rig.to_path_buf(),
        args,
        name,
    }
}
