//! One run: starts a scenario's peers and proxies, plays its plan, ends all of it again.

use crate::client;
use crate::event_log::{Event, HostState, LoggedEvent};
use crate::front::Front;
use crate::host::Host;
use crate::judge::{JudgeSettings, Verdict, judge};
use crate::link::{self, LinkEnds, Links};
use crate::metrics_calls;
use crate::misbehaving_clients;
use crate::plan::{Plan, PlannedFault};
use crate::proxies::{self, Program, Proxy, ProxyCommand, ResourceUsage};
use crate::scenario::{FaultKind, LinkKind, RecoveredPart, Scenario};
use crate::testbed::{ClientSignal, Testbed};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};
use tracing::info;

/// Why a run told nothing.
#[derive(Debug)]
pub enum RunError {
    /// The scenario or the machine: said before anything started.
    Input(String),
    /// Something did not work that is not the proxy's.
    Run(String),
}

pub struct RunOutcome {
    pub testbed: Arc<Testbed>,
    pub records: Vec<LoggedEvent>,
    pub verdict: Verdict,
    /// The longest that the rig itself was late.
    pub late: Duration,
    pub void: bool,
    /// What each proxy used, second by second.
    pub used: Vec<Vec<ResourceUsage>>,
    /// What each host was asked for, second by second, as a multiple of what it could do.
    pub loads: Vec<Vec<f32>>,
    /// What became of a roll, where one was asked for: how long it took.
    pub rolled: Option<Result<Duration, String>>,
}

/// What a run is made of beside its scenario.
#[derive(Clone, Debug)]
pub struct RunOptions {
    pub seed: u64,
    pub chaos: Option<u64>,
    pub program: Program,
    /// Where logs and configurations go.
    pub folder: PathBuf,
    /// Shows a line every two seconds.
    pub progress: bool,
}

/// Descriptors that a standing connection takes in the rig, and some to spare for all else.
const EACH: u64 = 2;
const SPARE: u64 = 1_500;
/// Connections that one proxy's clients can have, by the ports of one address.
const PORTS: usize = 27_000;
const READY: Duration = Duration::from_secs(10);

/// Whether this machine can carry a scenario; says by how much not.
pub fn fits(scenario: &Scenario, plan: &Plan) -> Result<(), RunError> {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile);
    let holds = limit.maximum.unwrap_or(u64::MAX);
    // A process may always take what its hard limit allows.
    let raised = rustix::process::Rlimit {
        current: limit.maximum,
        maximum: limit.maximum,
    };
    let _ = rustix::process::setrlimit(rustix::process::Resource::Nofile, raised);
    let standing = plan.standing();
    let probes = u64::from(scenario.proxies.count) * u64::from(scenario.hosts()).min(64) * 2;
    let wants = standing as u64 * EACH + probes + SPARE;
    if wants > holds {
        let what = format!("{standing} standing connections want {wants} descriptors of the rig");
        return Err(RunError::Input(format!(
            "{what}, and this machine allows {holds}"
        )));
    }
    let each = standing / scenario.proxies.count as usize;
    if each > PORTS {
        return Err(RunError::Input(format!(
            "{each} connections a proxy, and ports allow {PORTS}"
        )));
    }
    let most = u64::from(scenario.proxies.sockets);
    if most > holds {
        return Err(RunError::Input(format!(
            "proxies.sockets is {most}, and this machine allows {holds}"
        )));
    }
    Ok(())
}

pub async fn run(scenario: Scenario, order: &RunOptions) -> Result<RunOutcome, RunError> {
    let plan = Plan::new(&scenario, order.seed, order.chaos);
    fits(&scenario, &plan)?;
    let broke = |e: std::io::Error| RunError::Run(format!("starting: {e}"));
    std::fs::create_dir_all(&order.folder).map_err(broke)?;
    let (hosts, doors): (Vec<_>, Vec<_>) = Host::all(&plan, &scenario)
        .await
        .map_err(broke)?
        .into_iter()
        .unzip();
    let at = proxies::addresses(&scenario);
    let (links, ways) = Links::open(pairs(&scenario, &plan, &hosts, &at))
        .await
        .map_err(broke)?;
    let front = Front::over(at.iter().copied(), &links, scenario.places.len() as u8);
    let testbed = Arc::new(Testbed::new(scenario, plan, hosts, front, Arc::new(links)));
    for (link, door) in testbed.links.all().iter().zip(ways) {
        tokio::spawn(link.clone().serve(testbed.clone(), door));
    }
    for (host, door) in testbed.hosts.iter().zip(doors) {
        tokio::spawn(host.clone().serve(testbed.clone(), door));
    }
    let (mut orders, mut used, mut running) = (Vec::new(), Vec::new(), JoinSet::new());
    let mut doors = Vec::new();
    let listens: Vec<SocketAddr> = at.iter().map(|at| at.1).collect();
    for (nth, at) in at.into_iter().enumerate() {
        let proxy = Proxy::new(
            &testbed,
            nth as u16,
            at,
            listens.clone(),
            &order.program,
            &order.folder,
        )
        .await
        .map_err(broke)?;
        used.push(proxy.used());
        doors.push(proxy.door.clone());
        let (send, receive) = mpsc::channel(64);
        let _ = send.send(ProxyCommand::Start).await;
        orders.push(send);
        running.spawn(proxy.run(testbed.clone(), receive));
    }
    Front::watch(&testbed);
    let since = Instant::now();
    while !testbed.front.all_up() {
        if since.elapsed() > READY {
            let nth = testbed.front.waits_for().unwrap_or_default();
            let log = std::fs::read_to_string(order.folder.join(format!("proxy-{nth}.log")));
            let log = log.unwrap_or_default();
            let last: Vec<&str> = log.lines().rev().take(3).collect();
            return Err(RunError::Run(format!(
                "proxy {nth} never became ready; its log ends {last:?}"
            )));
        }
        if let Some(Ok(Err(what))) = running.try_join_next() {
            return Err(RunError::Run(what));
        }
        sleep(Duration::from_millis(20)).await;
    }
    let loads = Arc::new(Mutex::new(Vec::new()));
    let watches = [
        tokio::spawn(lateness(testbed.clone())),
        tokio::spawn(weigh(testbed.clone(), loads.clone())),
        tokio::spawn(faults(testbed.clone(), orders.clone())),
    ];
    let mut callers = JoinSet::new();
    for (number, door) in doors
        .iter()
        .enumerate()
        .filter(|_| testbed.scenario.proxies.callers > 0)
    {
        callers.spawn(metrics_calls::stall(door.clone()));
        for _ in 0..testbed.scenario.proxies.callers {
            callers.spawn(metrics_calls::ask(
                testbed.clone(),
                number as u16,
                door.clone(),
            ));
        }
    }
    for number in 0..testbed.scenario.proxies.count {
        for nth in 0..testbed.scenario.proxies.watchers * 5 / 4 {
            let reads = nth < testbed.scenario.proxies.watchers;
            tokio::spawn(operator(
                proxies::control(testbed.run, number as u16),
                reads,
            ));
        }
    }
    testbed.begin.send_replace(Some(testbed.event_log.now()));
    if order.progress {
        tokio::spawn(progress(testbed.clone()));
    }
    let roll = testbed.scenario.proxies.roll_at;
    let roll = roll.map(|at| tokio::spawn(rolled(testbed.clone(), order.program.clone(), at)));
    play(&testbed).await;
    let rolled = match roll {
        Some(roll) => Some(roll.await.unwrap_or_else(|e| Err(e.to_string()))),
        None => None,
    };
    callers.shutdown().await;
    watches.iter().for_each(tokio::task::JoinHandle::abort);
    drop(orders);
    for watch in watches {
        let _ = watch.await;
    }
    while let Some(ended) = running.join_next().await {
        if let Ok(Err(what)) = ended {
            return Err(RunError::Run(what));
        }
    }
    let late = testbed.late();
    let records = testbed.event_log.take();
    let hosts = testbed
        .plan
        .hosts
        .iter()
        .map(|h| (h.place, h.cell))
        .collect();
    let mut terms = JudgeSettings::of(&testbed.scenario, hosts, late);
    terms.blur += testbed.plan.longest_delay();
    terms.figures = !testbed.plan.linked(LinkKind::ClientProxy);
    let verdict = judge(&records, &terms);
    let void = late > testbed.scenario.platform.void_above;
    let used = used
        .iter()
        .map(|used| std::mem::take(&mut *lock(used)))
        .collect();
    let loads = std::mem::take(&mut *lock(&loads));
    Ok(RunOutcome {
        testbed,
        records,
        verdict,
        late,
        void,
        used,
        loads,
        rolled,
    })
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|broken| broken.into_inner())
}

/// An operator at a control socket who asks again and again, and reads the answers or does not.
async fn operator(at: PathBuf, reads: bool) {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let Ok(mut stream) = tokio::net::UnixStream::connect(at).await else {
        return;
    };
    let mut answer = [0; 4096];
    while stream
        .write_all(b"{\"v\":1,\"do\":\"status\"}\n")
        .await
        .is_ok()
    {
        if reads {
            if !matches!(stream.read(&mut answer).await, Ok(n) if n > 0) {
                return;
            }
            sleep(Duration::from_millis(100)).await;
        }
    }
}

/// Restarts all proxies by their own command `roll`, which asks for each restart by a file.
async fn rolled(testbed: Arc<Testbed>, program: Program, at: Duration) -> Result<Duration, String> {
    testbed.until(at).await;
    let mut command = tokio::process::Command::new(&program.path);
    command.args([
        "roll",
        "--deadline",
        "4s",
        "--patience",
        "15s",
        "--share",
        "0.2",
    ]);
    command
        .args(["--restart", "touch \"${ASTERRAMP_CONTROL%.sock}.restart\""])
        .kill_on_drop(true);
    for number in 0..testbed.scenario.proxies.count {
        command
            .arg("--control")
            .arg(proxies::control(testbed.run, number as u16));
    }
    let output = command.output().await.map_err(|e| e.to_string())?;
    info!(roll = %String::from_utf8_lossy(&output.stdout).lines().last().unwrap_or_default());
    if output.status.success() {
        return Ok(testbed.now().saturating_sub(at));
    }
    Err(String::from_utf8_lossy(&output.stderr).trim().to_string())
}

/// Sends each client off at its time and waits for all.
async fn play(testbed: &Arc<Testbed>) {
    let mut clients = JoinSet::new();
    for wanted in &testbed.plan.clients {
        testbed.until(wanted.at).await;
        clients.spawn(client::live(testbed.clone(), wanted.clone()));
        while clients.try_join_next().is_some() {}
    }
    let longest = testbed
        .scenario
        .listeners
        .iter()
        .map(|l| l.dial_timeout)
        .max()
        .unwrap_or_default();
    testbed.until(testbed.scenario.length).await;
    // Whoever still waits has its answer, or none in time, by then.
    let settles = longest + testbed.scenario.platform.answer_slack + Duration::from_secs(3);
    let _ = timeout(settles, async {
        while clients.join_next().await.is_some() {}
    })
    .await;
}

/// How late this process comes to what it set itself for, at worst.
async fn lateness(testbed: Arc<Testbed>) {
    let step = Duration::from_millis(5);
    loop {
        let at = testbed.now() + step;
        sleep(step).await;
        testbed.done(at);
    }
}

async fn weigh(testbed: Arc<Testbed>, loads: Arc<Mutex<Vec<Vec<f32>>>>) {
    loop {
        let now = testbed.event_log.now();
        let row = testbed
            .hosts
            .iter()
            .map(|host| host.model().asked(now) as f32)
            .collect();
        lock(&loads).push(row);
        sleep(Duration::from_secs(1)).await;
    }
}

async fn progress(testbed: Arc<Testbed>) {
    loop {
        sleep(Duration::from_secs(2)).await;
        let now = testbed.now();
        if now > testbed.scenario.length {
            return;
        }
        let open: u32 = testbed.hosts.iter().map(|host| host.model().open()).sum();
        let (given_up, unreachable) = {
            let marks = testbed.score.marks();
            (marks.given_up, marks.unreachable)
        };
        let now = now.as_secs();
        eprintln!(
            "{now:>4} s  {open:>6} open  {given_up:>4} gave up  {unreachable:>4} times no proxy"
        );
    }
}

/// Begins and ends each fault at its time.
async fn faults(testbed: Arc<Testbed>, orders: Vec<mpsc::Sender<ProxyCommand>>) {
    let mut steps: Vec<(Duration, usize, bool)> = Vec::new();
    for (nth, struck) in testbed.plan.faults.iter().enumerate() {
        steps.push((struck.at, nth, true));
        steps.extend(struck.until.map(|until| (until, nth, false)));
    }
    steps.sort_unstable();
    for (at, nth, begins) in steps {
        testbed.until(at).await;
        let struck = &testbed.plan.faults[nth];
        let what = format!("{:?} on {:?}", struck.kind, struck.on);
        info!(fault = %what, begins);
        testbed.event_log.put(Event::Fault { what, begins });
        for host in struck.on.iter().filter(|_| struck.kind.strikes_hosts()) {
            strike(&testbed, &testbed.hosts[usize::from(*host)], nth, begins);
        }
        places(&testbed, &orders, nth, begins).await;
        for proxy in struck.on.iter().filter(|_| struck.kind.strikes_proxies()) {
            let order = match (struck.kind, begins) {
                (FaultKind::ProxyKilled, true) => ProxyCommand::Kill,
                (FaultKind::ProxyStalls, true) => ProxyCommand::Stall,
                (FaultKind::ProxyStalls, false) => ProxyCommand::Wake,
                (FaultKind::ProxyLeaves, true) => ProxyCommand::Leave,
                (FaultKind::ProxyReloads, true) => ProxyCommand::Reload,
                (FaultKind::ProxyReplaced, true) => ProxyCommand::Replace(None),
                (FaultKind::ProxyReplacedBadly, true) => ProxyCommand::Replace(Some(struck.span)),
                (FaultKind::ProxyDrains, true) => ProxyCommand::Drain(struck.span),
                (FaultKind::ProxyDrains, false) => ProxyCommand::Undrain,
                (FaultKind::DiskSpoilt, true) => ProxyCommand::Spoil,
                (FaultKind::DiskSpoilt, false) => continue,
                (
                    FaultKind::ProxyReloads
                    | FaultKind::ProxyReplaced
                    | FaultKind::ProxyReplacedBadly,
                    false,
                ) => continue,
                _ => ProxyCommand::Start,
            };
            let _ = orders[usize::from(*proxy)].send(order).await;
        }
        broad(&testbed, struck, begins);
    }
    std::future::pending::<()>().await;
}

/// The ways that must go through stand-ins, and what each leads to.
fn pairs(
    scenario: &Scenario,
    plan: &Plan,
    hosts: &[Arc<Host>],
    proxies: &[(u8, SocketAddr)],
) -> Vec<(LinkEnds, SocketAddr)> {
    let mut pairs = Vec::new();
    for (proxy, (_, at)) in (0..).zip(proxies) {
        if plan.linked(LinkKind::ProxyHost) {
            pairs.extend(
                hosts
                    .iter()
                    .map(|host| (LinkEnds::Proxy(proxy, host.number), host.address)),
            );
        }
        if plan.linked(LinkKind::ClientProxy) {
            pairs.extend(
                (0..scenario.places.len() as u8)
                    .map(|place| (LinkEnds::Clients(place, proxy), *at)),
            );
        }
    }
    pairs
}

/// Places of whoever is at a way's two ends.
fn places_of(testbed: &Testbed, ends: LinkEnds) -> (u8, u8) {
    let of = |proxy: u16| (usize::from(proxy) % testbed.scenario.places.len()) as u8;
    match ends {
        LinkEnds::Proxy(proxy, host) => (of(proxy), testbed.plan.hosts[usize::from(host)].place),
        LinkEnds::Clients(place, proxy) => (place, of(proxy)),
    }
}

/// Faults that strike whole places, or ways.
async fn places(
    testbed: &Arc<Testbed>,
    orders: &[mpsc::Sender<ProxyCommand>],
    nth: usize,
    begins: bool,
) {
    let struck = &testbed.plan.faults[nth];
    let power = struck.kind == FaultKind::PowerCut;
    let there =
        |place: u8| power || struck.kind.strikes_places() && struck.on.contains(&u16::from(place));
    let (dies, silent) = (
        power || struck.kind == FaultKind::PlaceLost,
        struck.kind == FaultKind::PlaceSilent,
    );
    if dies || silent {
        let comes = |back: RecoveredPart| {
            begins || struck.back == RecoveredPart::All || struck.back == back
        };
        for (host, plan) in testbed.hosts.iter().zip(&testbed.plan.hosts) {
            if there(plan.place) && comes(RecoveredPart::HostGroup) {
                strike(testbed, host, nth, begins);
            }
        }
        for (proxy, to) in orders.iter().enumerate() {
            if there(places_of(testbed, LinkEnds::Clients(0, proxy as u16)).1)
                && comes(RecoveredPart::Proxies)
            {
                let order = match (dies, begins) {
                    (true, true) => ProxyCommand::Kill,
                    (true, false) => ProxyCommand::Start,
                    (false, true) => ProxyCommand::Stall,
                    (false, false) => ProxyCommand::Wake,
                };
                let _ = to.send(order).await;
            }
        }
        if struck.kind == FaultKind::PlaceLost && begins {
            tokio::spawn(told_as_gone(testbed.clone(), nth));
        }
    }
    if struck.kind == FaultKind::PlaceFlaps && begins {
        tokio::spawn(flap(testbed.clone(), nth));
    } else {
        cut(testbed, nth, begins);
    }
}

/// Discovery notices after a while that the hosts of a lost place are gone.
async fn told_as_gone(testbed: Arc<Testbed>, nth: usize) {
    let struck = &testbed.plan.faults[nth];
    testbed.until(struck.at + struck.span).await;
    for (host, plan) in testbed.hosts.iter().zip(&testbed.plan.hosts) {
        if struck.on.contains(&u16::from(plan.place)) && host.is_down() {
            testbed.discovery.change(host.number, HostState::Gone, None);
        }
    }
}

/// A place that comes and goes until the fault is over.
async fn flap(testbed: Arc<Testbed>, nth: usize) {
    let struck = &testbed.plan.faults[nth];
    let until = struck.until.unwrap_or(testbed.scenario.length);
    while testbed.now() < until {
        cut(&testbed, nth, true);
        sleep(struck.span).await;
        cut(&testbed, nth, false);
        sleep(struck.span).await;
    }
}

/// The ways that a fault strikes, and the agents that hear nothing beyond a border.
fn cut(testbed: &Arc<Testbed>, nth: usize, begins: bool) {
    let struck = &testbed.plan.faults[nth];
    let mood = link::mood(struck.kind, struck.much, struck.span);
    for link in testbed.links.all() {
        if !struck.strikes(link.ends, |ends| places_of(testbed, ends)) {
            continue;
        }
        if begins {
            link.begin(nth, mood, struck.half_open);
        } else {
            link.end(nth);
        }
        testbed.event_log.put(Event::WayFails {
            ends: link.ends,
            fails: link.fails(),
        });
    }
    if matches!(struck.kind, FaultKind::PlaceCut | FaultKind::PlaceFlaps) {
        testbed.apart.send_modify(|apart| {
            for (proxy, faults) in apart.iter_mut().enumerate() {
                let place = places_of(testbed, LinkEnds::Clients(0, proxy as u16)).1;
                if struck.on.contains(&u16::from(place)) {
                    *faults = if begins {
                        *faults + 1
                    } else {
                        faults.saturating_sub(1)
                    };
                }
            }
        });
    }
}

fn strike(testbed: &Arc<Testbed>, host: &Arc<Host>, nth: usize, begins: bool) {
    host.strike(testbed, nth, begins);
    let struck = &testbed.plan.faults[nth];
    if struck.kind == FaultKind::HostStarved && begins {
        let (testbed, host) = (testbed.clone(), host.clone());
        tokio::spawn(async move {
            let struck = &testbed.plan.faults[nth];
            let until = struck.until.unwrap_or(testbed.scenario.length);
            while testbed.now() < until {
                host.starve(Some(struck.much));
                sleep(struck.span / 2).await;
                host.starve(None);
                sleep(struck.span / 2).await;
            }
        });
    }
    if struck.kind == FaultKind::HostGone && begins {
        let number = host.number;
        testbed.discovery.change(number, HostState::Gone, None);
    }
}

/// Faults that strike neither single hosts nor single proxies.
fn broad(testbed: &Arc<Testbed>, struck: &PlannedFault, begins: bool) {
    let step = |count: &mut u32| {
        *count = if begins {
            *count + 1
        } else {
            count.saturating_sub(1)
        }
    };
    let call = |call: &mut ClientSignal| {
        *call = ClientSignal {
            nth: call.nth + 1,
            share: struck.much,
            span: struck.span,
        }
    };
    match struck.kind {
        FaultKind::DiscoverySilent | FaultKind::PowerCut => {
            testbed.discovery.mood.send_modify(|m| step(&mut m.silent))
        }
        FaultKind::DiscoveryRefuses => testbed.discovery.mood.send_modify(|m| step(&mut m.refuses)),
        FaultKind::DiscoveryOlder => testbed.discovery.mood.send_modify(|m| step(&mut m.older)),
        FaultKind::DiscoveryBabbles => testbed.discovery.mood.send_modify(|m| step(&mut m.babbles)),
        FaultKind::ClientsReconnect if begins => testbed.reconnect.send_modify(call),
        FaultKind::ClientsDeaf if begins => testbed.deafen.send_modify(call),
        FaultKind::ClientsBad if begins => misbehaving_clients::crowd(testbed, struck.much as u32),
        _ => {}
    }
}

/// A folder of this run's own for what it must write.
pub fn own_folder() -> PathBuf {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let nth = NEXT.fetch_add(1, Ordering::Relaxed);
    std::env::temp_dir().join(format!("asterramp-rig-{}-{nth}", std::process::id()))
}

/// The proxy of this repository, as built beside this program.
pub fn own_proxy(beside: &Path) -> Option<PathBuf> {
    let folder = beside.parent()?;
    [folder.join("asterramp"), folder.parent()?.join("asterramp")]
        .into_iter()
        .find(|path| path.is_file())
}
