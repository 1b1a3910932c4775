//! Proxies as processes: their configuration, start, signals, use of CPU, memory and descriptors, and end.

use crate::discovery::DiscoveryAgent;
use crate::event_log::Event;
use crate::metrics_calls::{self, SharedAddress};
use crate::scenario::{InitialEndpointList, RetrySafety, RetryScope, Scenario};
use crate::testbed::Testbed;
use asterramp_admin_protocol::{AdminClient, AdminCommand, AdminRequest};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicU8, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::process::{Child, Command};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout};
use tracing::warn;

/// How a proxy is started: a program and its arguments; it finds its configuration as the platform says.
#[derive(Clone, Debug)]
pub struct Program {
    pub path: PathBuf,
    pub args: Vec<String>,
    /// Shown in reports.
    pub name: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProxyCommand {
    Start,
    Kill,
    /// SIGSTOP; SIGCONT.
    Stall,
    Wake,
    /// SIGTERM; a kill if it has not left by then.
    Leave,
    /// Discovery has moved: a new configuration and SIGHUP.
    Reload,
    /// A second process takes over, or is killed this long after its start.
    Replace(Option<Duration>),
    /// By the control socket.
    Drain(Duration),
    Undrain,
    /// What it keeps on disk is spoilt.
    Spoil,
}

/// What a proxy used, each second.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
pub struct ResourceUsage {
    pub second: u64,
    /// Share of a core.
    pub cpu: f64,
    pub resident_kb: u64,
    pub descriptors: u64,
}

pub struct Proxy {
    pub number: u16,
    pub place: u8,
    pub listen: SocketAddr,
    pub log: PathBuf,
    config: PathBuf,
    pub control: PathBuf,
    /// Where the process that serves is called by operators.
    pub door: SharedAddress,
    /// Where one that has just started will be called, and since when it has had time to listen.
    opens: Option<(SocketAddr, Instant)>,
    /// Where all proxies listen.
    others: Vec<SocketAddr>,
    /// Processes started so far, by which what is a process's own is named.
    started: u32,
    program: Program,
    agent: Arc<DiscoveryAgent>,
    child: Option<Child>,
    used: Arc<Mutex<Vec<ResourceUsage>>>,
}

/// Longest that a proxy told to leave may take: the longest wait and some.
const LEAVES: Duration = Duration::from_millis(4_500);
/// How often a proxy is looked at.
const LOOK: Duration = Duration::from_millis(200);
/// Longest that a second process may take to say yes.
const READY: Duration = Duration::from_secs(6);
/// How long one that starts may take to listen.
const LISTENS: Duration = Duration::from_secs(1);
/// Port of the door at which others ask; no other process listens there.
const ASKED: u16 = 9_000;
/// Pause after a proxy has left, before it may be started again.
const RESTARTS: Duration = Duration::from_millis(50);

/// Where a proxy's control socket is: a socket's path may be no longer than some hundred bytes, so it stands
/// in no folder of the user's choice.
pub fn control(run: u32, number: u16) -> PathBuf {
    std::env::temp_dir().join(format!(
        "asterramp-rig-{}-{run}-{number}.sock",
        std::process::id()
    ))
}

/// The file by which a `roll` asks for a restart.
fn marker(control: &Path) -> PathBuf {
    control.with_extension("restart")
}

/// Where operators call a proxy: at an address that nothing else has, so that no port is taken between its choice and its use.
fn doors_of(listen: SocketAddr) -> IpAddr {
    match listen.ip() {
        IpAddr::V4(ip) => {
            let [a, b, c, d] = ip.octets();
            IpAddr::from([a, b, c ^ 0x80, d])
        }
        other => other,
    }
}

/// The door at which others ask it.
fn door_of(listen: SocketAddr) -> SocketAddr {
    SocketAddr::new(doors_of(listen), ASKED)
}

/// A port below those that Linux hands out, another one each time.
///
/// It isn't found by binding and closing a socket: a process that is forked meanwhile holds that socket until its `exec`,
/// and the proxy would find its address in use.
fn unused_port() -> u16 {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    const FIRST_PORT: u32 = 20_000;
    const PORTS: u32 = 10_000;
    let nth = NEXT
        .fetch_add(1, Ordering::Relaxed)
        .wrapping_add(std::process::id());
    (FIRST_PORT + nth % PORTS) as u16
}

/// An address for each proxy, with an IP of its own.
pub fn addresses(scenario: &Scenario) -> Vec<(u8, SocketAddr)> {
    static RUNS: AtomicU8 = AtomicU8::new(0);
    // Runs side by side have addresses apart.
    let run = 60 + RUNS.fetch_add(1, Ordering::Relaxed) % 120;
    let places = scenario.places.len();
    let address = |nth: u32| {
        let host = [127, run, (nth / 250) as u8, 1 + (nth % 250) as u8];
        let address = SocketAddr::from((host, unused_port()));
        ((nth as usize % places) as u8, address)
    };
    (0..scenario.proxies.count).map(address).collect()
}

impl Proxy {
    pub async fn new(
        testbed: &Arc<Testbed>,
        number: u16,
        at: (u8, SocketAddr),
        others: Vec<SocketAddr>,
        program: &Program,
        folder: &Path,
    ) -> std::io::Result<Proxy> {
        let agent = DiscoveryAgent::start(testbed, number).await?;
        Ok(Proxy {
            number,
            place: at.0,
            listen: at.1,
            log: folder.join(format!("proxy-{number}.log")),
            config: folder.join(format!("proxy-{number}.json")),
            control: control(testbed.run, number),
            door: SharedAddress::default(),
            opens: None,
            started: 0,
            others,
            program: program.clone(),
            agent,
            child: None,
            used: Arc::default(),
        })
    }

    pub fn used(&self) -> Arc<Mutex<Vec<ResourceUsage>>> {
        self.used.clone()
    }

    fn configure(&self, testbed: &Testbed) -> std::io::Result<()> {
        let known = match testbed.scenario.proxies.known {
            InitialEndpointList::Fresh => testbed.discovery.list(testbed, self.number, None).1,
            InitialEndpointList::Old => testbed.discovery.older(testbed, self.number).1,
            InitialEndpointList::Empty => r#"{"rev":0,"all":true,"targets":[]}"#.into(),
        };
        let known: Value = serde_json::from_str(&known)?;
        let mixed = (u64::from(self.number) + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let proxies = &testbed.scenario.proxies;
        let config = json!({
            "name": format!("n{}", self.number), "listen": self.listen.to_string(),
            "discovery": self.agent.address().to_string(), "seed": format!("{mixed:016x}"),
            "limits": {"cores": 1.0, "memory_mb": proxies.memory_mb, "sockets": proxies.sockets},
            "known": known, "settings": settings(&testbed.scenario, self.number, self.place),
        });
        // Whole or not at all: a proxy may read it at any time.
        let part = self.config.with_extension("part");
        std::fs::write(&part, config.to_string())?;
        std::fs::rename(part, &self.config)
    }

    /// Where the second of two processes has its control socket: it does not start where somebody listens.
    fn control_of_next(&self, testbed: &Testbed) -> PathBuf {
        control(testbed.run, self.number).with_extension(format!("{}.sock", self.started))
    }

    fn start(&mut self, testbed: &Testbed) -> std::io::Result<()> {
        let (child, door) = self.spawn(testbed)?;
        testbed
            .event_log
            .put(Event::ProxyStarted { proxy: self.number });
        self.child = Some(child);
        self.opens = Some((door, Instant::now() + LISTENS));
        Ok(())
    }

    /// Operators call a process that has just started once it listens, or should.
    async fn look_at_door(&mut self) {
        let Some((door, by)) = self.opens else { return };
        let listens = timeout(LOOK, metrics_calls::call(door, "GET /ops/readiness")).await;
        if matches!(listens, Ok(Some(_))) || Instant::now() >= by {
            self.call_at(Some(door));
        }
    }

    fn call_at(&mut self, door: Option<SocketAddr>) {
        self.opens = None;
        metrics_calls::set(&self.door, door);
    }

    /// Starts a process, with a second address of its own.
    fn spawn(&mut self, testbed: &Testbed) -> std::io::Result<(Child, SocketAddr)> {
        self.configure(testbed)?;
        self.started += 1;
        let asked = testbed.scenario.proxies.asks && self.child.is_none();
        let door = if asked {
            door_of(self.listen)
        } else {
            SocketAddr::new(doors_of(self.listen), unused_port())
        };
        let shared = self.config.with_extension("tmp");
        std::fs::create_dir_all(&shared)?;
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let mut command = Command::new(&self.program.path);
        command
            .args(&self.program.args)
            .env("LB_CONFIG", &self.config)
            .kill_on_drop(true);
        command
            .env("LB_OPERATOR", door.to_string())
            .env("TMPDIR", shared);
        let proxies = &testbed.scenario.proxies;
        let mut text = String::new();
        if testbed.plan.drains() || proxies.roll_at.is_some() || proxies.watchers > 0 {
            let control = self.control.display().to_string();
            text += &format!("[control]\nsocket = {control:?}\n");
            text += "[drain]\nclosing = \"2s\"\nquiet = \"600ms\"\nback = \"2s\"\n";
        }
        if proxies.saves {
            text += &format!(
                "[state]\nfolder = {:?}\nevery = \"200ms\"\n",
                self.disk().display().to_string()
            );
        }
        if proxies.stages {
            text += "[recovery]\nstages = true\n";
            if proxies.asks {
                let others = self.others.iter().filter(|at| **at != self.listen);
                let doors: Vec<String> = others
                    .map(|at| format!("{:?}", door_of(*at).to_string()))
                    .collect();
                text += &format!("fleet = \"rig\"\nothers = [{}]\n", doors.join(", "));
            }
        }
        if proxies.by_worth {
            text += "[site]\nby_worth = true\n";
        }
        if !text.is_empty() {
            let operator = self.config.with_extension("toml");
            std::fs::write(&operator, text)?;
            command.env("ASTERRAMP_OPERATOR", operator);
        }
        command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        Ok((command.spawn()?, door))
    }

    /// Where it keeps what it knows for its next start.
    fn disk(&self) -> PathBuf {
        std::env::current_dir()
            .unwrap_or_default()
            .join(self.config.with_extension("state"))
    }

    /// One file is cut short, one overwritten.
    fn spoil(&self) {
        for (file, short) in [("state.0", true), ("state.1", false)] {
            let path = self.disk().join(file);
            if let Ok(mut bytes) = std::fs::read(&path) {
                match short {
                    true => bytes.truncate(bytes.len() / 2),
                    false => bytes
                        .iter_mut()
                        .skip(50)
                        .step_by(7)
                        .for_each(|byte| *byte ^= 0x55),
                }
                // It may be gone meanwhile: the proxy replaces it.
                let _ = std::fs::write(&path, bytes);
            }
        }
    }

    /// Starts a second process beside the first and, once it says yes, tells the first to go.
    async fn replace(
        &mut self,
        testbed: &Testbed,
        killed_after: Option<Duration>,
    ) -> Result<(), String> {
        if self.child.is_none() {
            return Ok(());
        }
        let number = self.number;
        let next = self.control_of_next(testbed);
        let control = std::mem::replace(&mut self.control, next);
        testbed.event_log.put(Event::ProxyBeside { proxy: number });
        let (mut second, door) = self
            .spawn(testbed)
            .map_err(|e| format!("proxy {number}: {e}"))?;
        let since = Instant::now();
        let mut yes = None;
        while yes.is_none() && killed_after.is_none() && since.elapsed() < READY {
            let heard = metrics_calls::call(door, "GET /ops/readiness").await;
            yes = heard
                .filter(|heard| heard.0 == 200)
                .map(|_| since.elapsed());
            sleep(Duration::from_millis(20)).await;
        }
        match killed_after {
            Some(span) => sleep(span).await,
            None => testbed
                .event_log
                .put(Event::Replaced { proxy: number, yes }),
        }
        if yes.is_none() {
            // The first goes on, as nobody told it to go.
            self.end_at_once(testbed, &mut second).await;
            let _ = std::fs::remove_file(std::mem::replace(&mut self.control, control));
            return Ok(());
        }
        self.call_at(None);
        self.signal(Signal::TERM);
        let first = self.child.replace(second);
        self.ends(testbed, first).await;
        let _ = std::fs::remove_file(control);
        testbed.event_log.put(Event::ProxyServes { proxy: number });
        self.call_at(Some(door));
        Ok(())
    }

    /// Waits for a process that was told to go.
    async fn ends(&self, testbed: &Testbed, child: Option<Child>) {
        let Some(mut child) = child else { return };
        let code = match timeout(LEAVES, child.wait()).await {
            Ok(status) => status.ok().and_then(|status| status.code()),
            Err(_) => {
                let _ = child.kill().await;
                None
            }
        };
        testbed.event_log.put(Event::ProxyExited {
            proxy: self.number,
            code,
            asked: true,
        });
    }

    fn signal(&self, signal: Signal) {
        let id = self
            .child
            .as_ref()
            .and_then(Child::id)
            .and_then(|id| Pid::from_raw(id as i32));
        if let Some(id) = id {
            // It fails only for a process that has ended.
            let _ = kill_process(id, signal);
        }
    }

    /// Carries out orders until there are none, then has the proxy leave in good order.
    pub async fn run(
        mut self,
        testbed: Arc<Testbed>,
        mut orders: mpsc::Receiver<ProxyCommand>,
    ) -> Result<(), String> {
        let (number, mut looks) = (self.number, 0_u32);
        loop {
            let ended = async {
                match &mut self.child {
                    Some(child) => child.wait().await,
                    None => std::future::pending().await,
                }
            };
            let order = tokio::select! {
                order = orders.recv() => order,
                status = ended => {
                    let code = status.ok().and_then(|status| status.code());
                    testbed.event_log.put(Event::ProxyExited { proxy: number, code, asked: false });
                    self.child = None;
                    continue;
                }
                _ = sleep(LOOK) => {
                    looks += 1;
                    self.look_at_door().await;
                    if looks % 5 == 0 {
                        self.sample(&testbed);
                    }
                    if std::fs::remove_file(marker(&self.control)).is_ok() {
                        self.leave(&testbed).await;
                        self.start(&testbed).map_err(|e| format!("proxy {number}: {e}"))?;
                    }
                    continue;
                }
            };
            match order {
                Some(ProxyCommand::Start) if self.child.is_none() => {
                    self.start(&testbed)
                        .map_err(|e| format!("proxy {number}: {e}"))?;
                }
                Some(ProxyCommand::Kill) => self.kill(&testbed).await,
                Some(ProxyCommand::Stall) => self.stall(&testbed, true),
                Some(ProxyCommand::Wake) => self.stall(&testbed, false),
                Some(ProxyCommand::Leave) => self.leave(&testbed).await,
                Some(ProxyCommand::Reload) => {
                    let moved = self
                        .agent
                        .moves(&testbed)
                        .await
                        .and_then(|()| self.configure(&testbed));
                    moved.map_err(|e| format!("proxy {number}: {e}"))?;
                    self.signal(Signal::HUP);
                }
                Some(ProxyCommand::Start) => {}
                Some(ProxyCommand::Replace(killed_after)) => {
                    self.replace(&testbed, killed_after).await?
                }
                Some(ProxyCommand::Drain(within)) => {
                    let deadline_ms = Some(within.as_millis() as u64);
                    self.ask(AdminRequest {
                        deadline_ms,
                        ..AdminRequest::new(AdminCommand::Drain)
                    })
                    .await;
                }
                Some(ProxyCommand::Spoil) => self.spoil(),
                Some(ProxyCommand::Undrain) => {
                    self.ask(AdminRequest::new(AdminCommand::Undrain)).await
                }
                None => {
                    self.leave(&testbed).await;
                    // A proxy that was killed has left it.
                    let _ = std::fs::remove_file(&self.control);
                    return Ok(());
                }
            }
        }
    }

    /// By the control socket. It may fail where another fault has the proxy down.
    async fn ask(&self, request: AdminRequest) {
        let at = self.control.clone();
        let asked =
            tokio::task::spawn_blocking(move || AdminClient::connect(&at)?.send(&request)).await;
        if let Ok(Err(what)) = asked {
            warn!(proxy = self.number, %what);
        }
    }

    fn stall(&self, testbed: &Testbed, stops: bool) {
        if self.child.is_some() {
            // What comes before the signal and after the other is not held against it.
            if stops {
                testbed.event_log.put(Event::ProxyStalls {
                    proxy: self.number,
                    stops,
                });
            }
            self.signal(if stops { Signal::STOP } else { Signal::CONT });
            if !stops {
                testbed.event_log.put(Event::ProxyStalls {
                    proxy: self.number,
                    stops,
                });
            }
        }
    }

    async fn kill(&mut self, testbed: &Testbed) {
        if let Some(mut child) = self.child.take() {
            self.call_at(None);
            self.end_at_once(testbed, &mut child).await;
        }
    }

    async fn end_at_once(&self, testbed: &Testbed, child: &mut Child) {
        testbed
            .event_log
            .put(Event::ProxyKilled { proxy: self.number });
        let _ = child.kill().await;
        testbed
            .event_log
            .put(Event::ProxyDead { proxy: self.number });
    }

    async fn leave(&mut self, testbed: &Testbed) {
        if self.child.is_none() {
            return;
        }
        self.call_at(None);
        // One that is stopped could not even hear that it is to leave.
        self.signal(Signal::CONT);
        testbed
            .event_log
            .put(Event::ProxyLeaves { proxy: self.number });
        self.signal(Signal::TERM);
        let child = self.child.take();
        self.ends(testbed, child).await;
        sleep(RESTARTS).await;
    }

    fn sample(&self, testbed: &Testbed) {
        let Some(id) = self.child.as_ref().and_then(Child::id) else {
            return;
        };
        if let Some(used) = usage(id, testbed.now().as_secs()) {
            self.used
                .lock()
                .unwrap_or_else(|broken| broken.into_inner())
                .push(used);
        }
    }
}

/// What a process used since it started, as the system counts it; CPU in seconds.
pub fn usage(id: u32, second: u64) -> Option<ResourceUsage> {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    let fields: Vec<&str> = stat.rsplit_once(") ")?.1.split(' ').collect();
    let ticks: u64 = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
    let statm = std::fs::read_to_string(format!("/proc/{id}/statm")).ok()?;
    let pages: u64 = statm.split(' ').nth(1)?.parse().ok()?;
    let descriptors = std::fs::read_dir(format!("/proc/{id}/fd")).ok()?.count() as u64;
    let hertz = rustix::param::clock_ticks_per_second() as f64;
    let page = rustix::param::page_size() as u64;
    Some(ResourceUsage {
        second,
        cpu: ticks as f64 / hertz,
        resident_kb: pages * page / 1024,
        descriptors,
    })
}

/// The settings of the platform that a scenario stands for, as the configuration nests them.
pub fn settings(scenario: &Scenario, number: u16, place: u8) -> Value {
    let us = |span: Duration| span.as_micros() as u64;
    let platform = &scenario.platform;
    let listener = |l: &crate::scenario::Listener| {
        let semantics = match l.kind {
            RetrySafety::Repeatable => "read_like",
            RetrySafety::Referenced => "idempotency_key",
            RetrySafety::OnceOnly => "non_idempotent",
        };
        let group = match l.circle {
            RetryScope::All => "all",
            RetryScope::Zone => "zone",
            RetryScope::Cell => "cell",
        };
        json!({"name": l.name, "semantics": semantics, "group": group, "key_ttl": us(l.key_ttl),
            "handshake_target": us(l.handshake_target), "give_up": us(l.dial_timeout),
            "utility": l.utility, "overdue_utility": 0.0, "stream": true})
    };
    let aims: Vec<f64> = scenario
        .listeners
        .iter()
        .map(|l| us(l.message_target) as f64)
        .collect();
    let portions: f64 = scenario.members.iter().map(|m| m.portion).sum();
    let member =
        |m: &crate::scenario::Member| json!({"name": m.name, "portion": m.portion / portions});
    json!({
        "discovery": "pushed", "instances": scenario.proxies.count, "self_index": number, "zone": place,
        "localities": scenario.places, "weights": "fixed",
        "listeners": scenario.listeners.iter().map(listener).collect::<Vec<_>>(),
        "tenants": scenario.members.iter().map(member).collect::<Vec<_>>(),
        "load_info": {"fields": scenario.fleet.report_fields, "how": "on_probe"},
        "permissions": {
            "max_dials": platform.max_dials, "cancelling": true, "retry_after": true,
            "max_retry_after": us(platform.max_retry_after), "dial_timeout": us(platform.connect_within),
            "may_probe": platform.may_probe, "second_copies": false, "peers": false,
        },
        "rules": {
            "cold": us(scenario.fleet.warm_after), "cold_share": scenario.fleet.cold_share,
            "tip_multiple": scenario.fleet.tip_multiple, "drain_grace": us(platform.drain_grace),
            "overload_for": us(scenario.fleet.overload_for), "answer_slack": 16000,
        },
        "specifics": {"message_aim": aims, "mode": "proxy", "groups": scenario.traffic.groups > 0},
    })
}
