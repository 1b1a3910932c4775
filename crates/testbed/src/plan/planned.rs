//! The clients, faults and hosts of a plan.

use crate::link_ends::LinkEnds;
use crate::scenario::{FaultKind, LinkKind, RecoveredPart, Scenario};
use std::time::Duration;

/// A client, from when it wants to be connected.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedClient {
    /// When it wants to be connected.
    pub at: Duration,
    /// How long it wants to be connected, from then on.
    pub session_length: Duration,
    /// The listener that it wants, by its index in the scenario.
    pub listener: u8,
    /// The tenant that it belongs to, by its index in the scenario.
    pub tenant: u16,
    /// Where it is, by the index of its zone in the scenario.
    pub zone: u8,
    /// The group whose cost it shares with others, if any.
    pub group: Option<u64>,
    /// Hash key of its session for the choice of a host.
    pub hash_key: u64,
    /// What it asks of its host, as a share of a standard one.
    pub work: f64,
    /// When it leaves without an answer, if it is one who does.
    pub leaves_after: Option<Duration>,
    /// Connected before the run, at this host.
    pub inherited_host: Option<u16>,
    /// The seed of what it draws itself.
    pub seed: u64,
}

/// A fault, with whom it strikes.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedFault {
    /// When it begins.
    pub at: Duration,
    /// When it ends; `None`: with the run.
    pub until: Option<Duration>,
    /// What fails.
    pub kind: FaultKind,
    /// Numbers of the hosts, proxies or zones that it strikes.
    pub targets: Vec<u16>,
    /// By how much, where the kind has a measure.
    pub magnitude: f64,
    /// A period or a delay, where the kind has one.
    pub span: Duration,
    /// For faults of links: which links.
    pub link_kind: LinkKind,
    /// For faults of links: the hosts that they lead to; `None`: all.
    pub to_hosts: Option<Vec<u16>>,
    /// Connections from before a cut are reset when it is over: the other side has forgotten them.
    pub half_open: bool,
    /// For a lost zone: what comes back.
    pub recovered_part: RecoveredPart,
}

impl PlannedFault {
    /// Whether it strikes the link between these, of which `places_of` tells the zones.
    pub fn affects_link(&self, ends: LinkEnds, places_of: impl Fn(LinkEnds) -> (u8, u8)) -> bool {
        let (from, to) = places_of(ends);
        match (self.kind, ends) {
            (FaultKind::PlaceCut | FaultKind::PlaceFlaps, _) => {
                from != to
                    && (self.targets.contains(&u16::from(from))
                        || self.targets.contains(&u16::from(to)))
            }
            (kind, LinkEnds::Proxy(proxy, host))
                if kind.targets_links() && self.link_kind == LinkKind::ProxyHost =>
            {
                self.targets.contains(&proxy)
                    && self.to_hosts.as_ref().is_none_or(|to| to.contains(&host))
            }
            (kind, LinkEnds::Clients(_, proxy))
                if kind.targets_links() && self.link_kind == LinkKind::ClientProxy =>
            {
                self.targets.contains(&proxy)
            }
            _ => false,
        }
    }
}

/// A host of a plan.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedHost {
    /// Where it is, by the index of its zone in the scenario.
    pub zone: u8,
    /// The cell of its zone.
    pub cell: u16,
    /// Its speed as a multiple of a standard host's.
    pub speed: f64,
    /// Its weight as discovery tells it.
    pub weight: f64,
    /// The most sessions that it has at once.
    pub max_sessions: u32,
    /// The most connections that it takes at once.
    pub max_connections: u32,
}

/// The hosts of a scenario. Those for which no zone is named are spread over all.
pub(super) fn hosts(scenario: &Scenario) -> Vec<PlannedHost> {
    let mut hosts = Vec::new();
    for group in &scenario.fleet.hosts {
        let is_named = |place: &String| group.zone.as_ref() == Some(place);
        let named = scenario.zones.iter().position(is_named);
        for _ in 0..group.count {
            let place = named.unwrap_or(hosts.len() % scenario.zones.len()) as u8;
            hosts.push(PlannedHost {
                zone: place,
                cell: group.cell,
                speed: group.speed,
                weight: group.weight,
                max_sessions: group.max_sessions,
                max_connections: group.max_connections,
            });
        }
    }
    hosts
}
