//! Starts of three proxies after a power loss, in every order of starts, answers, losses and restarts at small size.
//! `asterramp_warm_start::WarmStart`, the code that serves, decides; hosts, discovery and the ways between are modelled here.
//!
//! Hosts 0 and 1 are those of before; host 2 now stands at the address of host 1, so one of the two is not there.

use crate::search::{self, Explored, Played};
use asterramp_warm_start::{
    CandidateState, ClientAdmission, EndpointId, EndpointReport, EndpointSource, InformationAge,
    WarmStart, WarmStartEffect, WarmStartSettings, WarmStartStage,
};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

const PROXIES: usize = 3;
const HOSTS: usize = 3;
/// Round figures, so that worlds meet again.
const TERMS: WarmStartSettings = WarmStartSettings {
    discovery_timeout: ms(500),
    peer_timeout: ms(500),
    probe_timeout: ms(1_000),
    limited_admission: ms(1_500),
    has_peers: true,
    max_probes: 1,
};
const STEP: Duration = ms(500);
/// Within how long every start that knows a host which is up must be through.
const SETTLES: usize = 40;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// A proxy starts, with what it had saved, or with an empty disk; one that runs dies.
    Power(usize, Disk),
    /// A probe that is out is answered, or not, as the host is.
    Probe(usize, EndpointId),
    /// Whom a proxy asked answers, if it runs.
    Reply {
        to: usize,
        from: usize,
    },
    /// A host dies or comes up.
    Host(EndpointId),
    /// Discovery tells a proxy all hosts that are up, warm or just started; or one that is not there.
    Told(usize, Lists),
    /// It tells a proxy that one is gone, before any list.
    Gone(usize, EndpointId),
    /// It tells a proxy of the host that took another's address.
    New(usize),
    Passes,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disk {
    Saved,
    /// By a clock that has gone back since.
    FromTheFuture,
    Empty,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lists {
    Warm,
    Cold,
    Nobody,
}

#[derive(Clone, Debug)]
struct Proxy {
    warm_start: WarmStart,
    admission: ClientAdmission,
    /// Hosts that sessions may be placed on, as the module hears it; and those that have answered this process, or that
    /// discovery named to it.
    used: BTreeSet<EndpointId>,
    proven: BTreeSet<EndpointId>,
    probes: BTreeSet<EndpointId>,
    /// Whom it waits for.
    asked: BTreeSet<usize>,
    /// The hosts that discovery told, once it told all.
    told: Option<BTreeSet<EndpointId>>,
    /// When its deadlines were last served.
    ticked: Duration,
    /// Since when clients are let in by degrees.
    degrees: Option<Duration>,
    /// The word that it has of a host by a clock that cannot be right, until when that may count.
    doubtful: Option<Duration>,
}

#[derive(Clone, Debug)]
struct World {
    now: Duration,
    proxies: [Option<Proxy>; PROXIES],
    up: [bool; HOSTS],
    #[cfg(feature = "injected-faults")]
    injected_fault: FaultChoice,
    broken: Option<String>,
}

fn address(host: EndpointId) -> SocketAddr {
    SocketAddr::from((
        [127, 0, 0, 1],
        4000 + if host == 2 { 1 } else { host as u16 },
    ))
}

impl World {
    #[cfg(feature = "injected-faults")]
    fn new(injected_fault: FaultChoice) -> World {
        World {
            now: ms(1_000_000),
            proxies: [None, None, None],
            up: [true, false, true],
            injected_fault,
            broken: None,
        }
    }

    #[cfg(not(feature = "injected-faults"))]
    fn new((): FaultChoice) -> World {
        World {
            now: ms(1_000_000),
            proxies: [None, None, None],
            up: [true, false, true],
            broken: None,
        }
    }

    #[cfg(feature = "injected-faults")]
    fn inject_into(&self, warm_start: &mut WarmStart) {
        warm_start.injected_fault = self.injected_fault;
    }

    #[cfg(not(feature = "injected-faults"))]
    fn inject_into(&self, _: &mut WarmStart) {}

    fn start(&mut self, at: usize, disk: Disk) {
        let mut warm_start = WarmStart::new(self.now, TERMS);
        self.inject_into(&mut warm_start);
        let age = if disk == Disk::Saved {
            InformationAge::Fresh
        } else {
            InformationAge::Unknown
        };
        if disk != Disk::Empty {
            for host in [0, 1] {
                warm_start.report(
                    self.now,
                    EndpointReport {
                        id: host,
                        address: address(host),
                        source: EndpointSource::Snapshot,
                        age,
                        list_revision: 5,
                    },
                );
            }
        }
        let doubtful = (disk == Disk::FromTheFuture).then_some(self.now + ms(31_000));
        self.proxies[at] = Some(Proxy {
            warm_start,
            admission: ClientAdmission::Queued,
            used: BTreeSet::new(),
            proven: BTreeSet::new(),
            probes: BTreeSet::new(),
            asked: BTreeSet::new(),
            told: None,
            ticked: self.now,
            degrees: None,
            doubtful,
        });
        self.heed(at);
    }

    fn reply(&mut self, to: usize, from: usize) {
        let answering = |host: &EndpointId, proxy: &Proxy| {
            proxy.warm_start.candidates().state(*host) == CandidateState::Responsive
        };
        let says: Vec<EndpointId> = match &self.proxies[from] {
            Some(proxy) => (0..HOSTS as EndpointId)
                .filter(|host| answering(host, proxy))
                .collect(),
            None => Vec::new(),
        };
        let now = self.now;
        let Some(proxy) = &mut self.proxies[to] else {
            return;
        };
        proxy.asked.remove(&from);
        for host in says {
            proxy.warm_start.report(
                now,
                EndpointReport {
                    id: host,
                    address: address(host),
                    source: EndpointSource::Peer,
                    age: InformationAge::Fresh,
                    list_revision: 6,
                },
            );
        }
        if proxy.asked.is_empty() {
            proxy.warm_start.peers_asked(now);
        }
        self.heed(to);
    }

    fn probed(&mut self, at: usize, host: EndpointId) {
        let (now, up) = (self.now, self.up[host as usize]);
        let Some(proxy) = &mut self.proxies[at] else {
            return;
        };
        proxy.probes.remove(&host);
        if up
            && proxy
                .told
                .as_ref()
                .is_none_or(|listed| listed.contains(&host))
        {
            proxy.proven.insert(host);
        }
        proxy.warm_start.probe_finished(now, host, up);
        self.heed(at);
    }

    fn told(&mut self, at: usize, lists: Lists) {
        let (now, up) = (self.now, self.up);
        let Some(proxy) = &mut self.proxies[at] else {
            return;
        };
        let ready =
            (0..HOSTS as EndpointId).filter(|host| lists != Lists::Nobody && up[*host as usize]);
        let ready: Vec<EndpointId> = ready.collect();
        proxy.proven = ready.iter().copied().collect();
        proxy.used = proxy.proven.clone();
        proxy.told = Some(proxy.used.clone());
        proxy.probes.retain(|host| ready.contains(host));
        for host in &ready {
            proxy
                .warm_start
                .endpoint_listed(now, *host, address(*host), true);
        }
        proxy
            .warm_start
            .list_completed(now, &ready, lists == Lists::Cold);
        self.heed(at);
    }

    fn gone(&mut self, at: usize, host: EndpointId) {
        let now = self.now;
        let Some(proxy) = &mut self.proxies[at] else {
            return;
        };
        proxy.used.remove(&host);
        proxy.proven.remove(&host);
        proxy
            .warm_start
            .endpoint_listed(now, host, address(host), false);
        self.heed(at);
    }

    fn new_host(&mut self, at: usize) {
        let now = self.now;
        let Some(proxy) = &mut self.proxies[at] else {
            return;
        };
        proxy.used.insert(2);
        proxy.proven.insert(2);
        proxy.warm_start.endpoint_listed(now, 2, address(2), true);
        self.heed(at);
    }

    /// What is wanted is carried out.
    fn heed(&mut self, at: usize) {
        let Some(proxy) = &mut self.proxies[at] else {
            return;
        };
        let effects: Vec<WarmStartEffect> = proxy.warm_start.drain_effects().collect();
        for effect in effects {
            match effect {
                WarmStartEffect::AskPeers => {
                    proxy.asked = (0..PROXIES).filter(|other| *other != at).collect()
                }
                WarmStartEffect::Probe(host) => drop(proxy.probes.insert(host)),
                WarmStartEffect::Use(host) => {
                    if !proxy.proven.contains(&host) {
                        self.broken = Some(format!(
                            "proxy {at} uses host {host}, which has not answered it"
                        ));
                    }
                    proxy.used.insert(host);
                }
                WarmStartEffect::Drop(host, _) => {
                    proxy.used.remove(&host);
                    proxy.proven.remove(&host);
                }
                WarmStartEffect::Admit(admission) => {
                    proxy.admission = admission;
                    let warm = proxy
                        .degrees
                        .is_some_and(|since| self.now >= since + TERMS.limited_admission);
                    if admission == ClientAdmission::Open && proxy.told.is_none() && !warm {
                        self.broken = Some(format!("proxy {at} lets all in at once"));
                    }
                    proxy.degrees = (admission == ClientAdmission::Limited).then_some(self.now);
                }
                WarmStartEffect::StageChanged(..) => {}
            }
        }
    }

    fn passes(&mut self) {
        self.now += STEP;
        for at in 0..PROXIES {
            if let Some(proxy) = &mut self.proxies[at] {
                proxy.warm_start.handle_deadline(self.now);
                proxy.ticked = self.now;
            }
            self.heed(at);
        }
    }

    /// What must hold after each step.
    fn holds(&self, at: usize) -> Option<String> {
        let proxy = self.proxies[at].as_ref()?;
        let stage = proxy.warm_start.stage();
        // A deadline that stays over is served again and again, and nothing else.
        if proxy
            .warm_start
            .next_deadline()
            .is_some_and(|due| due <= proxy.ticked)
        {
            return Some(format!("proxy {at} is due at once, for ever"));
        }
        let alone = proxy.told.is_none() && proxy.used.is_empty();
        if alone && proxy.admission == ClientAdmission::Limited {
            return Some(format!("proxy {at} lets clients in, and has no host"));
        }
        if proxy.admission == ClientAdmission::Open && stage != WarmStartStage::Normal {
            return Some(format!("proxy {at} is open while it is {}", stage.name()));
        }
        let both = proxy.used.contains(&1) && proxy.used.contains(&2);
        if both && !(self.up[1] && self.up[2]) {
            return Some(format!("proxy {at} uses two hosts at one address"));
        }
        let old = proxy.doubtful.is_some_and(|until| self.now > until);
        let asks = |host| {
            matches!(
                proxy.warm_start.candidates().state(host),
                CandidateState::AwaitingProbe
                    | CandidateState::Unresponsive
                    | CandidateState::Probing
            )
        };
        let saved = proxy
            .warm_start
            .candidates()
            .counts(EndpointSource::Snapshot)
            .reported
            > 0
            && proxy.told.is_none();
        (old && saved && asks(1) && !self.up[1])
            .then(|| format!("proxy {at} still asks for a host that a wrong clock told of"))
    }

    /// Left alone, with the hosts of before up, all probes answered and no question, every start that knows a host ends in
    /// service; where discovery tells hosts, it uses those.
    fn stuck(&self) -> Option<String> {
        for discovery in [false, true] {
            let mut world = self.clone();
            (world.broken, world.up) = (None, [true, true, false]);
            for at in (0..PROXIES).filter(|_| discovery) {
                world.told(at, Lists::Cold);
            }
            for _ in 0..SETTLES {
                for at in 0..PROXIES {
                    let probes: Vec<EndpointId> = world.proxies[at]
                        .iter()
                        .flat_map(|p| p.probes.clone())
                        .collect();
                    probes.into_iter().for_each(|host| world.probed(at, host));
                }
                world.passes();
            }
            for (at, proxy) in world.proxies.iter().enumerate() {
                let Some(proxy) = proxy else { continue };
                let stage = proxy.warm_start.stage();
                // Where discovery said that there is nobody, there is nobody.
                let hosts = proxy.warm_start.candidates();
                let knows = (0..HOSTS as EndpointId)
                    .any(|host| hosts.state(host) != CandidateState::Unknown);
                if stage != WarmStartStage::Normal && (knows || discovery) {
                    return Some(format!("proxy {at} stays {}", stage.name()));
                }
                if discovery && proxy.used != BTreeSet::from([0, 1]) {
                    return Some(format!(
                        "proxy {at} uses {:?} where discovery tells 0 and 1",
                        proxy.used
                    ));
                }
            }
        }
        None
    }
}

impl Played for World {
    type Step = Step;

    fn key(&self) -> String {
        let left = |at: Duration| at.saturating_sub(self.now).as_millis();
        let mut key = format!("{:?}", self.up);
        for proxy in &self.proxies {
            let Some(p) = proxy else {
                key += "|-";
                continue;
            };
            let (stage, since) = (
                p.warm_start.stage(),
                (self.now - p.warm_start.stage_since()).min(ms(1)),
            );
            key += &format!(
                "|{stage:?}{since:?}{:?}{:?}{:?}{:?}{:?}",
                p.admission, p.used, p.proven, p.probes, p.asked
            );
            key += &format!(
                "{:?}{:?}{:?}",
                p.told,
                p.doubtful.map(left),
                p.degrees.map(|at| self.now - at)
            );
            key += &format!(
                "{}{:?}",
                p.warm_start.candidates().state_key(self.now),
                p.warm_start.next_deadline().map(left)
            );
        }
        key
    }

    fn steps(&self) -> Vec<Step> {
        let mut steps = vec![Step::Passes];
        steps.extend((0..HOSTS as EndpointId).map(Step::Host));
        for at in 0..PROXIES {
            let Some(proxy) = &self.proxies[at] else {
                // Proxies are alike but for what they start with: the first two are played by all, the third as it comes.
                let disks: &[Disk] = match at {
                    0 => &[Disk::Saved, Disk::FromTheFuture],
                    1 => &[Disk::Empty],
                    _ => &[Disk::Saved],
                };
                steps.extend(disks.iter().map(|disk| Step::Power(at, *disk)));
                continue;
            };
            steps.push(Step::Power(at, Disk::Empty));
            steps.extend(proxy.probes.iter().map(|host| Step::Probe(at, *host)));
            steps.extend(proxy.asked.iter().map(|from| Step::Reply {
                to: at,
                from: *from,
            }));
            steps.extend(
                proxy
                    .used
                    .iter()
                    .filter(|_| proxy.told.is_none())
                    .map(|host| Step::Gone(at, *host)),
            );
            steps.extend((proxy.told.is_none() && self.up[2]).then_some(Step::New(at)));
            steps.extend(
                [Lists::Warm, Lists::Cold, Lists::Nobody].map(|lists| Step::Told(at, lists)),
            );
        }
        steps
    }

    fn make(&mut self, step: Step) {
        match step {
            Step::Power(at, _) if self.proxies[at].is_some() => self.proxies[at] = None,
            Step::Power(at, disk) => self.start(at, disk),
            Step::Probe(at, host) => self.probed(at, host),
            Step::Reply { to, from } => self.reply(to, from),
            // One of the two at one address at most.
            Step::Host(host) => {
                self.up[host as usize] ^= true;
                if self.up[host as usize] && host > 0 {
                    self.up[3 - host as usize] = false;
                }
            }
            Step::Told(at, lists) => self.told(at, lists),
            Step::Gone(at, host) => self.gone(at, host),
            Step::New(at) => self.new_host(at),
            Step::Passes => self.passes(),
        }
    }

    fn wrong(&self) -> Option<String> {
        let holds = || (0..PROXIES).find_map(|at| self.holds(at));
        self.broken.clone().or_else(holds).or_else(|| self.stuck())
    }
}

#[cfg(feature = "injected-faults")]
type FaultChoice = Option<asterramp_warm_start::InjectedFault>;
#[cfg(not(feature = "injected-faults"))]
type FaultChoice = ();

/// No injected fault.
#[cfg(feature = "injected-faults")]
pub const NONE: FaultChoice = None;
#[cfg(not(feature = "injected-faults"))]
pub const NONE: FaultChoice = ();

/// One proxy has started and waits for others; it asks next.
pub const ASKING: &[Step] = &[
    Step::Power(0, Disk::Saved),
    Step::Power(1, Disk::Empty),
    Step::Passes,
];

/// One proxy has asked the first of its hosts, which has answered.
pub const PROBED: &[Step] = &[
    Step::Power(0, Disk::Saved),
    Step::Passes,
    Step::Passes,
    Step::Probe(0, 0),
];

/// Half a minute has passed over a host that a wrong clock told of.
pub fn late() -> Vec<Step> {
    let mut way = vec![Step::Power(0, Disk::FromTheFuture)];
    for _ in 0..66 {
        way.extend([Step::Passes, Step::Probe(0, 0), Step::Probe(0, 1)]);
    }
    way
}

/// Plays all orders of up to `depth` steps behind some that have happened.
pub fn explore(before: &[Step], depth: usize, injected_fault: FaultChoice) -> Explored<Step> {
    search::explore(World::new(injected_fault), before, depth)
}
