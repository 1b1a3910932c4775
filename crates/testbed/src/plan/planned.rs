//! The clients, faults and hosts of a plan. Times are on the plan's clock, from the start of the run.

use crate::link_ends::LinkEnds;
use crate::scenario::{FaultKind, LinkKind, RecoveredPart, Scenario};
use std::time::Duration;

/// A client of a plan.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedClient {
    /// When it arrives and first tries to connect.
    pub at: Duration,
    /// How long after `at` it wants to be connected, however often its sessions break.
    pub session_length: Duration,
    /// The index in the scenario of the listener to which it connects.
    pub listener: u8,
    /// The index in the scenario of its tenant.
    pub tenant: u16,
    /// The index of its zone in the scenario.
    pub zone: u8,
    /// Its group, if any; a host with sessions of a group bears the group's cost only once.
    pub group: Option<u64>,
    /// Hash key of its session for the choice of a host.
    pub hash_key: u64,
    /// The load of its session, as a share of a standard host's capacity.
    pub work: f64,
    /// How long an impatient client waits for an answer until it has had its first session; `None`: the answer timeout
    /// of its listener.
    pub leaves_after: Option<Duration>,
    /// The host to which it counts as connected before the run; `None`: it arrives during the run.
    pub inherited_host: Option<u16>,
    /// The seed of its own random draws during the run.
    pub seed: u64,
}

/// A fault of a plan, with its targets.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedFault {
    /// When it begins.
    pub at: Duration,
    /// When it ends; `None`: at the end of the run.
    pub until: Option<Duration>,
    /// The kind of the fault.
    pub kind: FaultKind,
    /// Numbers of the hosts, proxies or zones that it affects; unused by kinds without targets.
    pub targets: Vec<u16>,
    /// How strong it is, as [`FaultKind`] states for the key `much`.
    pub magnitude: f64,
    /// A period or a delay, as [`FaultKind`] states for the key `span`.
    pub span: Duration,
    /// For faults of links: which links of the proxies `targets`.
    pub link_kind: LinkKind,
    /// For faults of links between proxies and hosts: the hosts' numbers; `None`: all hosts.
    pub to_hosts: Option<Vec<u16>>,
    /// Whether connections of affected links that exist at its end are reset then, as if the other side had forgotten
    /// them.
    pub half_open: bool,
    /// For a lost zone: which processes start again at the fault's end.
    pub recovered_part: RecoveredPart,
}

impl PlannedFault {
    /// Whether it affects the link between two ends; `zones_of` gives the zones of both.
    pub fn affects_link(&self, ends: LinkEnds, zones_of: impl Fn(LinkEnds) -> (u8, u8)) -> bool {
        let (from, to) = zones_of(ends);
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
    /// The index of its zone in the scenario.
    pub zone: u8,
    /// Its cell, a part of its zone within which hosts may share idempotency keys.
    pub cell: u16,
    /// Its speed, as a multiple of a standard host's.
    pub speed: f64,
    /// The capacity that discovery announces for it, as a multiple of a standard host's.
    pub weight: f64,
    /// The most sessions that it serves at once.
    pub max_sessions: u32,
    /// The most connections that it accepts at once, including those of health checks.
    pub max_connections: u32,
}

/// The hosts of a scenario, numbered in the order of their groups. Hosts without a named zone are spread over all zones
/// in turn.
pub(super) fn plan_hosts(scenario: &Scenario) -> Vec<PlannedHost> {
    let mut hosts = Vec::new();
    for group in &scenario.fleet.hosts {
        let is_named = |zone: &String| group.zone.as_ref() == Some(zone);
        let named_zone = scenario.zones.iter().position(is_named);
        for _ in 0..group.count {
            let zone = named_zone.unwrap_or(hosts.len() % scenario.zones.len()) as u8;
            hosts.push(PlannedHost {
                zone,
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
