//! One run: starts a scenario's peers and proxies, plays its plan, ends all of it again.

use crate::calls;
use crate::client;
use crate::front::Front;
use crate::host::Host;
use crate::judge::{Terms, Verdict, judge};
use crate::ledger::{Record, Seen, Standing};
use crate::link::{self, Ends, Links};
use crate::plan::{Plan, Struck};
use crate::proxies::{self, Order, Program, Proxy, Use};
use crate::rude;
use crate::scenario::{Back, FaultKind, Scenario, Way};
use crate::world::{Call, World};
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
pub enum Fault {
    /// The scenario or the machine: said before anything started.
    Input(String),
    /// Something did not work that is not the proxy's.
    Run(String),
}

pub struct Ran {
    pub world: Arc<World>,
    pub records: Vec<Record>,
    pub verdict: Verdict,
    /// The longest that the rig itself was late.
    pub late: Duration,
    pub void: bool,
    /// What each proxy used, second by second.
    pub used: Vec<Vec<Use>>,
    /// What each host was asked for, second by second, as a multiple of what it could do.
    pub loads: Vec<Vec<f32>>,
    /// What became of a roll, where one was asked for: how long it took.
    pub rolled: Option<Result<Duration, String>>,
}

/// What a run is made of beside its scenario.
#[derive(Clone, Debug)]
pub struct Job {
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
pub fn fits(scenario: &Scenario, plan: &Plan) -> Result<(), Fault> {
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
        return Err(Fault::Input(format!(
            "{what}, and this machine allows {holds}"
        )));
    }
    let each = standing / scenario.proxies.count as usize;
    if each > PORTS {
        return Err(Fault::Input(format!(
            "{each} connections a proxy, and ports allow {PORTS}"
        )));
    }
    let most = u64::from(scenario.proxies.sockets);
    if most > holds {
        return Err(Fault::Input(format!(
            "proxies.sockets is {most}, and this machine allows {holds}"
        )));
    }
    Ok(())
}

pub async fn run(scenario: Scenario, order: &Job) -> Result<Ran, Fault> {
    let plan = Plan::new(&scenario, order.seed, order.chaos);
    fits(&scenario, &plan)?;
    let broke = |e: std::io::Error| Fault::Run(format!("starting: {e}"));
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
    let world = Arc::new(World::new(scenario, plan, hosts, front, Arc::new(links)));
    for (link, door) in world.links.all().iter().zip(ways) {
        tokio::spawn(link.clone().serve(world.clone(), door));
    }
    for (host, door) in world.hosts.iter().zip(doors) {
        tokio::spawn(host.clone().serve(world.clone(), door));
    }
    let (mut orders, mut used, mut running) = (Vec::new(), Vec::new(), JoinSet::new());
    let mut doors = Vec::new();
    let listens: Vec<SocketAddr> = at.iter().map(|at| at.1).collect();
    for (nth, at) in at.into_iter().enumerate() {
        let proxy = Proxy::new(
            &world,
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
        let _ = send.send(Order::Start).await;
        orders.push(send);
        running.spawn(proxy.run(world.clone(), receive));
    }
    Front::watch(&world);
    let since = Instant::now();
    while !world.front.all_up() {
        if since.elapsed() > READY {
            let nth = world.front.waits_for().unwrap_or_default();
            let log = std::fs::read_to_string(order.folder.join(format!("proxy-{nth}.log")));
            let log = log.unwrap_or_default();
            let last: Vec<&str> = log.lines().rev().take(3).collect();
            return Err(Fault::Run(format!(
                "proxy {nth} never became ready; its log ends {last:?}"
            )));
        }
        if let Some(Ok(Err(what))) = running.try_join_next() {
            return Err(Fault::Run(what));
        }
        sleep(Duration::from_millis(20)).await;
    }
    let loads = Arc::new(Mutex::new(Vec::new()));
    let watches = [
        tokio::spawn(lateness(world.clone())),
        tokio::spawn(weigh(world.clone(), loads.clone())),
        tokio::spawn(faults(world.clone(), orders.clone())),
    ];
    let mut callers = JoinSet::new();
    for (number, door) in doors
        .iter()
        .enumerate()
        .filter(|_| world.scenario.proxies.callers > 0)
    {
        callers.spawn(calls::stall(door.clone()));
        for _ in 0..world.scenario.proxies.callers {
            callers.spawn(calls::ask(world.clone(), number as u16, door.clone()));
        }
    }
    for number in 0..world.scenario.proxies.count {
        for nth in 0..world.scenario.proxies.watchers * 5 / 4 {
            let reads = nth < world.scenario.proxies.watchers;
            tokio::spawn(operator(proxies::control(world.run, number as u16), reads));
        }
    }
    world.begin.send_replace(Some(world.ledger.now()));
    if order.progress {
        tokio::spawn(progress(world.clone()));
    }
    let roll = world.scenario.proxies.roll_at;
    let roll = roll.map(|at| tokio::spawn(rolled(world.clone(), order.program.clone(), at)));
    play(&world).await;
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
            return Err(Fault::Run(what));
        }
    }
    let late = world.late();
    let records = world.ledger.take();
    let hosts = world.plan.hosts.iter().map(|h| (h.place, h.cell)).collect();
    let mut terms = Terms::of(&world.scenario, hosts, late);
    terms.blur += world.plan.longest_delay();
    terms.figures = !world.plan.linked(Way::ClientProxy);
    let verdict = judge(&records, &terms);
    let void = late > world.scenario.platform.void_above;
    let used = used
        .iter()
        .map(|used| std::mem::take(&mut *lock(used)))
        .collect();
    let loads = std::mem::take(&mut *lock(&loads));
    Ok(Ran {
        world,
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
async fn rolled(world: Arc<World>, program: Program, at: Duration) -> Result<Duration, String> {
    world.until(at).await;
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
    for number in 0..world.scenario.proxies.count {
        command
            .arg("--control")
            .arg(proxies::control(world.run, number as u16));
    }
    let output = command.output().await.map_err(|e| e.to_string())?;
    info!(roll = %String::from_utf8_lossy(&output.stdout).lines().last().unwrap_or_default());
    if output.status.success() {
        return Ok(world.now().saturating_sub(at));
    }
    Err(String::from_utf8_lossy(&output.stderr).trim().to_string())
}

/// Sends each client off at its time and waits for all.
async fn play(world: &Arc<World>) {
    let mut clients = JoinSet::new();
    for wanted in &world.plan.clients {
        world.until(wanted.at).await;
        clients.spawn(client::live(world.clone(), wanted.clone()));
        while clients.try_join_next().is_some() {}
    }
    let longest = world
        .scenario
        .listeners
        .iter()
        .map(|l| l.dial_timeout)
        .max()
        .unwrap_or_default();
    world.until(world.scenario.length).await;
    // Whoever still waits has its answer, or none in time, by then.
    let settles = longest + world.scenario.platform.answer_slack + Duration::from_secs(3);
    let _ = timeout(settles, async {
        while clients.join_next().await.is_some() {}
    })
    .await;
}

/// How late this process comes to what it set itself for, at worst.
async fn lateness(world: Arc<World>) {
    let step = Duration::from_millis(5);
    loop {
        let at = world.now() + step;
        sleep(step).await;
        world.done(at);
    }
}

async fn weigh(world: Arc<World>, loads: Arc<Mutex<Vec<Vec<f32>>>>) {
    loop {
        let now = world.ledger.now();
        let row = world
            .hosts
            .iter()
            .map(|host| host.model().asked(now) as f32)
            .collect();
        lock(&loads).push(row);
        sleep(Duration::from_secs(1)).await;
    }
}

async fn progress(world: Arc<World>) {
    loop {
        sleep(Duration::from_secs(2)).await;
        let now = world.now();
        if now > world.scenario.length {
            return;
        }
        let open: u32 = world.hosts.iter().map(|host| host.model().open()).sum();
        let (given_up, unreachable) = {
            let marks = world.score.marks();
            (marks.given_up, marks.unreachable)
        };
        let now = now.as_secs();
        eprintln!(
            "{now:>4} s  {open:>6} open  {given_up:>4} gave up  {unreachable:>4} times no proxy"
        );
    }
}

/// Begins and ends each fault at its time.
async fn faults(world: Arc<World>, orders: Vec<mpsc::Sender<Order>>) {
    let mut steps: Vec<(Duration, usize, bool)> = Vec::new();
    for (nth, struck) in world.plan.faults.iter().enumerate() {
        steps.push((struck.at, nth, true));
        steps.extend(struck.until.map(|until| (until, nth, false)));
    }
    steps.sort_unstable();
    for (at, nth, begins) in steps {
        world.until(at).await;
        let struck = &world.plan.faults[nth];
        let what = format!("{:?} on {:?}", struck.kind, struck.on);
        info!(fault = %what, begins);
        world.ledger.put(Seen::Fault { what, begins });
        for host in struck.on.iter().filter(|_| struck.kind.strikes_hosts()) {
            strike(&world, &world.hosts[usize::from(*host)], nth, begins);
        }
        places(&world, &orders, nth, begins).await;
        for proxy in struck.on.iter().filter(|_| struck.kind.strikes_proxies()) {
            let order = match (struck.kind, begins) {
                (FaultKind::ProxyKilled, true) => Order::Kill,
                (FaultKind::ProxyStalls, true) => Order::Stall,
                (FaultKind::ProxyStalls, false) => Order::Wake,
                (FaultKind::ProxyLeaves, true) => Order::Leave,
                (FaultKind::ProxyReloads, true) => Order::Reload,
                (FaultKind::ProxyReplaced, true) => Order::Replace(None),
                (FaultKind::ProxyReplacedBadly, true) => Order::Replace(Some(struck.span)),
                (FaultKind::ProxyDrains, true) => Order::Drain(struck.span),
                (FaultKind::ProxyDrains, false) => Order::Undrain,
                (FaultKind::DiskSpoilt, true) => Order::Spoil,
                (FaultKind::DiskSpoilt, false) => continue,
                (
                    FaultKind::ProxyReloads
                    | FaultKind::ProxyReplaced
                    | FaultKind::ProxyReplacedBadly,
                    false,
                ) => continue,
                _ => Order::Start,
            };
            let _ = orders[usize::from(*proxy)].send(order).await;
        }
        broad(&world, struck, begins);
    }
    std::future::pending::<()>().await;
}

/// The ways that must go through stand-ins, and what each leads to.
fn pairs(
    scenario: &Scenario,
    plan: &Plan,
    hosts: &[Arc<Host>],
    proxies: &[(u8, SocketAddr)],
) -> Vec<(Ends, SocketAddr)> {
    let mut pairs = Vec::new();
    for (proxy, (_, at)) in (0..).zip(proxies) {
        if plan.linked(Way::ProxyHost) {
            pairs.extend(
                hosts
                    .iter()
                    .map(|host| (Ends::Proxy(proxy, host.number), host.address)),
            );
        }
        if plan.linked(Way::ClientProxy) {
            pairs.extend(
                (0..scenario.places.len() as u8).map(|place| (Ends::Clients(place, proxy), *at)),
            );
        }
    }
    pairs
}

/// Places of whoever is at a way's two ends.
fn places_of(world: &World, ends: Ends) -> (u8, u8) {
    let of = |proxy: u16| (usize::from(proxy) % world.scenario.places.len()) as u8;
    match ends {
        Ends::Proxy(proxy, host) => (of(proxy), world.plan.hosts[usize::from(host)].place),
        Ends::Clients(place, proxy) => (place, of(proxy)),
    }
}

/// Faults that strike whole places, or ways.
async fn places(world: &Arc<World>, orders: &[mpsc::Sender<Order>], nth: usize, begins: bool) {
    let struck = &world.plan.faults[nth];
    let power = struck.kind == FaultKind::PowerCut;
    let there =
        |place: u8| power || struck.kind.strikes_places() && struck.on.contains(&u16::from(place));
    let (dies, silent) = (
        power || struck.kind == FaultKind::PlaceLost,
        struck.kind == FaultKind::PlaceSilent,
    );
    if dies || silent {
        let comes = |back: Back| begins || struck.back == Back::All || struck.back == back;
        for (host, plan) in world.hosts.iter().zip(&world.plan.hosts) {
            if there(plan.place) && comes(Back::Hosts) {
                strike(world, host, nth, begins);
            }
        }
        for (proxy, to) in orders.iter().enumerate() {
            if there(places_of(world, Ends::Clients(0, proxy as u16)).1) && comes(Back::Proxies) {
                let order = match (dies, begins) {
                    (true, true) => Order::Kill,
                    (true, false) => Order::Start,
                    (false, true) => Order::Stall,
                    (false, false) => Order::Wake,
                };
                let _ = to.send(order).await;
            }
        }
        if struck.kind == FaultKind::PlaceLost && begins {
            tokio::spawn(told_as_gone(world.clone(), nth));
        }
    }
    if struck.kind == FaultKind::PlaceFlaps && begins {
        tokio::spawn(flap(world.clone(), nth));
    } else {
        cut(world, nth, begins);
    }
}

/// Discovery notices after a while that the hosts of a lost place are gone.
async fn told_as_gone(world: Arc<World>, nth: usize) {
    let struck = &world.plan.faults[nth];
    world.until(struck.at + struck.span).await;
    for (host, plan) in world.hosts.iter().zip(&world.plan.hosts) {
        if struck.on.contains(&u16::from(plan.place)) && host.is_down() {
            world.roster.change(host.number, Standing::Gone, None);
        }
    }
}

/// A place that comes and goes until the fault is over.
async fn flap(world: Arc<World>, nth: usize) {
    let struck = &world.plan.faults[nth];
    let until = struck.until.unwrap_or(world.scenario.length);
    while world.now() < until {
        cut(&world, nth, true);
        sleep(struck.span).await;
        cut(&world, nth, false);
        sleep(struck.span).await;
    }
}

/// The ways that a fault strikes, and the agents that hear nothing beyond a border.
fn cut(world: &Arc<World>, nth: usize, begins: bool) {
    let struck = &world.plan.faults[nth];
    let mood = link::mood(struck.kind, struck.much, struck.span);
    for link in world.links.all() {
        if !struck.strikes(link.ends, |ends| places_of(world, ends)) {
            continue;
        }
        if begins {
            link.begin(nth, mood, struck.half_open);
        } else {
            link.end(nth);
        }
        world.ledger.put(Seen::WayFails {
            ends: link.ends,
            fails: link.fails(),
        });
    }
    if matches!(struck.kind, FaultKind::PlaceCut | FaultKind::PlaceFlaps) {
        world.apart.send_modify(|apart| {
            for (proxy, faults) in apart.iter_mut().enumerate() {
                let place = places_of(world, Ends::Clients(0, proxy as u16)).1;
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

fn strike(world: &Arc<World>, host: &Arc<Host>, nth: usize, begins: bool) {
    host.strike(world, nth, begins);
    let struck = &world.plan.faults[nth];
    if struck.kind == FaultKind::HostStarved && begins {
        let (world, host) = (world.clone(), host.clone());
        tokio::spawn(async move {
            let struck = &world.plan.faults[nth];
            let until = struck.until.unwrap_or(world.scenario.length);
            while world.now() < until {
                host.starve(Some(struck.much));
                sleep(struck.span / 2).await;
                host.starve(None);
                sleep(struck.span / 2).await;
            }
        });
    }
    if struck.kind == FaultKind::HostGone && begins {
        let number = host.number;
        world.roster.change(number, Standing::Gone, None);
    }
}

/// Faults that strike neither single hosts nor single proxies.
fn broad(world: &Arc<World>, struck: &Struck, begins: bool) {
    let step = |count: &mut u32| {
        *count = if begins {
            *count + 1
        } else {
            count.saturating_sub(1)
        }
    };
    let call = |call: &mut Call| {
        *call = Call {
            nth: call.nth + 1,
            share: struck.much,
            span: struck.span,
        }
    };
    match struck.kind {
        FaultKind::DiscoverySilent | FaultKind::PowerCut => {
            world.roster.mood.send_modify(|m| step(&mut m.silent))
        }
        FaultKind::DiscoveryRefuses => world.roster.mood.send_modify(|m| step(&mut m.refuses)),
        FaultKind::DiscoveryOlder => world.roster.mood.send_modify(|m| step(&mut m.older)),
        FaultKind::DiscoveryBabbles => world.roster.mood.send_modify(|m| step(&mut m.babbles)),
        FaultKind::ClientsReconnect if begins => world.reconnect.send_modify(call),
        FaultKind::ClientsDeaf if begins => world.deafen.send_modify(call),
        FaultKind::ClientsBad if begins => rude::crowd(world, struck.much as u32),
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
