//! What a run will do, drawn from its seed before it starts: the same seed gives the same plan.

use crate::link::LinkEnds;
use crate::scenario::{FaultKind, LinkKind, RecoveredPart, RetrySafety, Scenario, ScenarioFault};
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, LogNormal};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::time::Duration;

pub type SeededRng = Xoshiro256PlusPlus;

#[derive(Clone, Debug, PartialEq)]
pub struct PlannedClient {
    pub at: Duration,
    /// How long its client wants to be connected, from then on.
    pub life: Duration,
    pub listener: u8,
    pub member: u16,
    pub place: u8,
    pub group: Option<u64>,
    pub item: u64,
    /// What it asks of its host, as a share of a standard one.
    pub work: f64,
    /// When it leaves without an answer, if it is one who does.
    pub patience: Option<Duration>,
    /// Connected before the run, at this host.
    pub inherited: Option<u16>,
    pub chance: u64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct PlannedFault {
    pub at: Duration,
    pub until: Option<Duration>,
    pub kind: FaultKind,
    pub on: Vec<u16>,
    pub much: f64,
    pub span: Duration,
    pub way: LinkKind,
    /// Hosts that the struck ways lead to; all, if absent.
    pub to: Option<Vec<u16>>,
    pub half_open: bool,
    pub back: RecoveredPart,
}

impl PlannedFault {
    /// Whether it strikes the way between these.
    pub fn strikes(&self, ends: LinkEnds, place_of: impl Fn(LinkEnds) -> (u8, u8)) -> bool {
        let (from, to) = place_of(ends);
        match (self.kind, ends) {
            (FaultKind::PlaceCut | FaultKind::PlaceFlaps, _) => {
                from != to
                    && (self.on.contains(&u16::from(from)) || self.on.contains(&u16::from(to)))
            }
            (kind, LinkEnds::Proxy(proxy, host))
                if kind.strikes_links() && self.way == LinkKind::ProxyHost =>
            {
                self.on.contains(&proxy) && self.to.as_ref().is_none_or(|to| to.contains(&host))
            }
            (kind, LinkEnds::Clients(_, proxy))
                if kind.strikes_links() && self.way == LinkKind::ClientProxy =>
            {
                self.on.contains(&proxy)
            }
            _ => false,
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct HostPlan {
    pub place: u8,
    pub cell: u16,
    pub speed: f64,
    pub weight: f64,
    pub places: u32,
    pub room: u32,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    pub clients: Vec<PlannedClient>,
    pub faults: Vec<PlannedFault>,
    pub hosts: Vec<HostPlan>,
}

impl Plan {
    /// With `chaos`, faults drawn from it come on top of the scenario's.
    pub fn new(scenario: &Scenario, seed: u64, chaos: Option<u64>) -> Plan {
        let hosts = hosts(scenario);
        let mut faults = scenario.faults.clone();
        faults.extend(chaos.into_iter().flat_map(|chaos| drawn(scenario, chaos)));
        let mut chance = SeededRng::seed_from_u64(seed ^ 0x5eed_fa17);
        let mut struck: Vec<PlannedFault> = faults
            .iter()
            .map(|fault| strike(fault, scenario, &mut chance))
            .collect();
        struck.sort_by_key(|s| s.at);
        Plan {
            clients: clients(scenario, seed, hosts.len()),
            faults: struck,
            hosts,
        }
    }

    /// Ways that must go through a stand-in for these faults to strike them.
    pub fn linked(&self, way: LinkKind) -> bool {
        let cuts = |fault: &PlannedFault| {
            matches!(fault.kind, FaultKind::PlaceCut | FaultKind::PlaceFlaps)
        };
        self.faults
            .iter()
            .any(|fault| cuts(fault) || fault.kind.strikes_links() && fault.way == way)
    }

    /// The longest that a way holds anything back.
    pub fn longest_delay(&self) -> Duration {
        let held = |fault: &PlannedFault| match fault.kind {
            FaultKind::LinkDelayed => fault.span,
            // A session's line and some more.
            FaultKind::LinkSlowed => Duration::from_secs_f64(400.0 / fault.much),
            _ => Duration::ZERO,
        };
        self.faults.iter().map(held).sum()
    }

    /// Whether a proxy is drained on request, and so needs a control socket.
    pub fn drains(&self) -> bool {
        self.faults
            .iter()
            .any(|fault| fault.kind == FaultKind::ProxyDrains)
    }

    /// Most clients that want to be connected at once.
    pub fn standing(&self) -> usize {
        let mut steps: Vec<(Duration, i64)> = self
            .clients
            .iter()
            .flat_map(|c| [(c.at, 1), (c.at + c.life, -1)])
            .collect();
        steps.sort_unstable();
        let at_once = steps.iter().scan(0, |open, step| {
            *open += step.1;
            Some(*open)
        });
        at_once.max().unwrap_or(0) as usize
    }
}

fn hosts(scenario: &Scenario) -> Vec<HostPlan> {
    let mut hosts = Vec::new();
    for kind in &scenario.fleet.hosts {
        for _ in 0..kind.count {
            let named = kind
                .place
                .as_ref()
                .and_then(|p| scenario.places.iter().position(|q| q == p));
            let place = named.unwrap_or(hosts.len() % scenario.places.len()) as u8;
            let (speed, weight) = (kind.speed, kind.weight);
            let (cell, places, room) = (kind.cell, kind.places, kind.room);
            hosts.push(HostPlan {
                place,
                cell,
                speed,
                weight,
                places,
                room,
            });
        }
    }
    hosts
}

fn picked(chance: &mut SeededRng, portions: impl Iterator<Item = f64> + Clone) -> usize {
    let mut left = chance.random::<f64>() * portions.clone().sum::<f64>();
    let at = portions.clone().position(|portion| {
        left -= portion;
        left < 0.0
    });
    at.unwrap_or_else(|| portions.count() - 1)
}

fn rate(scenario: &Scenario, at: Duration) -> f64 {
    let curve = &scenario.traffic.curve;
    let next = curve.iter().position(|point| point.at > at);
    let times = match next {
        None => curve.last().map_or(1.0, |point| point.times),
        Some(0) => curve[0].times,
        Some(next) => {
            let (a, b) = (&curve[next - 1], &curve[next]);
            let part = (at - a.at).as_secs_f64() / (b.at - a.at).as_secs_f64();
            a.times + (b.times - a.times) * part
        }
    };
    scenario.traffic.rate * times
}

fn clients(scenario: &Scenario, seed: u64, hosts: usize) -> Vec<PlannedClient> {
    let mut chance = SeededRng::seed_from_u64(seed);
    let traffic = &scenario.traffic;
    let life = LogNormal::new(
        traffic.life.median.as_secs_f64().max(1e-3).ln(),
        traffic.life.sigma,
    );
    let length = scenario.length.as_secs_f64();
    let mut client = |at: f64, inherited: Option<u16>| {
        let listener = picked(&mut chance, scenario.listeners.iter().map(|l| l.portion)) as u8;
        let member = picked(&mut chance, scenario.members.iter().map(|m| m.portion)) as u16;
        let lives = life
            .map_or(1.0, |life| life.sample(&mut chance))
            .clamp(0.05, length - at);
        let grouped = traffic.groups > 0 && chance.random::<f64>() < traffic.grouped;
        let group = grouped.then(|| 1 + u64::from(chance.random_range(0..traffic.groups)));
        let kind = &scenario.listeners[usize::from(listener)];
        let hurried =
            chance.random::<f64>() < traffic.impatient && kind.kind != RetrySafety::OnceOnly;
        PlannedClient {
            at: Duration::from_secs_f64(at),
            life: Duration::from_secs_f64(lives),
            listener,
            member,
            place: chance.random_range(0..scenario.places.len()) as u8,
            group,
            item: chance.random(),
            work: kind.work * (0.5 + chance.random::<f64>()),
            patience: hurried.then(|| kind.dial_timeout.mul_f64(chance.random::<f64>() * 0.2)),
            inherited,
            chance: chance.random(),
        }
    };
    let mut all: Vec<PlannedClient> = (0..traffic.inherited)
        .map(|n| client(0.0, Some((n as usize % hosts) as u16)))
        .collect();
    // Arrivals at the highest rate, of which as many are kept as the present rate is of it.
    let most = traffic.curve.iter().map(|p| p.times).fold(1.0, f64::max) * traffic.rate;
    let mut arrivals = SeededRng::seed_from_u64(seed ^ 0xa441);
    let mut at = 0.0;
    while at < length - 0.1 {
        at += -(1.0 - arrivals.random::<f64>()).ln() / most;
        if at < length - 0.1
            && arrivals.random::<f64>() * most < rate(scenario, Duration::from_secs_f64(at))
        {
            all.push(client(at, None));
        }
    }
    all
}

fn strike(fault: &ScenarioFault, scenario: &Scenario, chance: &mut SeededRng) -> PlannedFault {
    let all = match fault.kind {
        kind if kind.strikes_hosts() => scenario.hosts(),
        kind if kind.strikes_proxies() || kind.strikes_links() => scenario.proxies.count,
        kind if kind.strikes_places() => scenario.places.len() as u32,
        _ => 0,
    };
    let on = match &fault.on {
        Some(on) => on.iter().map(|n| *n as u16).collect(),
        None => {
            let mut left: Vec<u16> = (0..all as u16).collect();
            let count = fault.count.min(all);
            (0..count)
                .map(|_| left.swap_remove(chance.random_range(0..left.len())))
                .collect()
        }
    };
    let until = fault.lasts.map(|lasts| fault.at + lasts);
    PlannedFault {
        at: fault.at,
        until,
        kind: fault.kind,
        on,
        much: fault.much,
        span: fault.span,
        way: fault.way,
        to: fault
            .to
            .as_ref()
            .map(|to| to.iter().map(|n| *n as u16).collect()),
        half_open: fault.half_open,
        back: fault.back,
    }
}

/// Kinds that chaos draws from. All let a proxy keep the rules.
const CHAOS: [FaultKind; 27] = [
    FaultKind::PlaceLost,
    FaultKind::PlaceSilent,
    FaultKind::PlaceCut,
    FaultKind::LinkDropped,
    FaultKind::LinkReset,
    FaultKind::LinkDelayed,
    FaultKind::ProxyStalls,
    FaultKind::HostSilent,
    FaultKind::HostVanished,
    FaultKind::HostSlow,
    FaultKind::HostStarved,
    FaultKind::HostErring,
    FaultKind::HostMute,
    FaultKind::HostLate,
    FaultKind::HostResets,
    FaultKind::HostDraining,
    FaultKind::HostRestarts,
    FaultKind::ProxyKilled,
    FaultKind::ProxyLeaves,
    FaultKind::ProxyReloads,
    FaultKind::ProxyReplaced,
    FaultKind::ProxyReplacedBadly,
    FaultKind::ProxyDrains,
    FaultKind::DiscoverySilent,
    FaultKind::DiscoveryBabbles,
    FaultKind::ClientsReconnect,
    FaultKind::ClientsBad,
];

fn drawn(scenario: &Scenario, seed: u64) -> Vec<ScenarioFault> {
    let mut chance = SeededRng::seed_from_u64(seed ^ 0xc4a0);
    let length = scenario.length.as_secs_f64();
    let count = 4 + (length / 5.0) as usize;
    let mut faults: Vec<ScenarioFault> = Vec::new();
    for _ in 0..count {
        let kind = CHAOS[chance.random_range(0..CHAOS.len())];
        let at = Duration::from_secs_f64(length * (0.1 + 0.6 * chance.random::<f64>()));
        let lasts = Duration::from_secs_f64(length * (0.1 + 0.2 * chance.random::<f64>()));
        let much = match kind {
            FaultKind::ClientsBad => 3.0,
            FaultKind::ClientsReconnect => 0.5,
            _ => 0.05 + 0.3 * chance.random::<f64>(),
        };
        let count = chance.random_range(1..=(scenario.hosts() / 4).max(1));
        let (on, span) = (None, Duration::from_secs_f64(0.2 + chance.random::<f64>()));
        let count = if kind.strikes_hosts() { count } else { 1 };
        let half_open = kind.strikes_links() && chance.random::<f64>() < 0.5;
        let (way, to, back) = (LinkKind::default(), None, RecoveredPart::default());
        let span = if kind == FaultKind::LinkDelayed {
            span / 10
        } else {
            span
        };
        let lasts = Some(lasts);
        faults.push(ScenarioFault {
            at,
            lasts,
            kind,
            on,
            count,
            much,
            span,
            way,
            to,
            half_open,
            back,
        });
    }
    faults
}
