//! The plan of a run: its clients, faults and hosts, drawn before the start. The same scenario and seed give the same
//! plan.

mod chaos;
mod clients;
mod faults;
mod planned;

pub use planned::{PlannedClient, PlannedFault, PlannedHost};

use crate::scenario::{FaultKind, LinkKind, Scenario};
use faults::FaultPlanner;
use rand_xoshiro::Xoshiro256PlusPlus;
use std::time::Duration;

/// The random number generator of everything that must be reproducible from a seed.
pub type SeededRng = Xoshiro256PlusPlus;

/// XORed into the seed for the draws of faults, so that they are independent of those of clients.
const FAULT_SEED: u64 = 0x5eed_fa17;
/// An upper estimate of the bytes that setting a session up sends over a link; a slow link delays it by their transfer
/// time.
const SET_UP_BYTES: f64 = 400.0;

/// The clients, faults and hosts of a run. Times are on the plan's clock, from the start of the run.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The clients: first those that count as connected before the run, then the others in the order of arrival.
    pub clients: Vec<PlannedClient>,
    /// The faults in the order in which they begin.
    pub faults: Vec<PlannedFault>,
    /// The hosts; a host's number is its index.
    pub hosts: Vec<PlannedHost>,
}

impl Plan {
    /// Draws a plan from `seed`. With a `chaos` seed, random faults drawn from that are added to those of the scenario.
    pub fn new(scenario: &Scenario, seed: u64, chaos: Option<u64>) -> Plan {
        let hosts = planned::plan_hosts(scenario);
        let mut faults = scenario.faults.clone();
        if let Some(chaos) = chaos {
            faults.extend(chaos::draw_faults(scenario, chaos));
        }
        let mut planner = FaultPlanner::new(scenario, seed ^ FAULT_SEED);
        let mut faults: Vec<PlannedFault> =
            faults.iter().map(|fault| planner.plan(fault)).collect();
        faults.sort_by_key(|fault| fault.at);
        Plan {
            clients: clients::draw_clients(scenario, seed, hosts.len()),
            faults,
            hosts,
        }
    }

    /// Whether some fault of the plan affects links of a kind, so that they need relays.
    pub fn needs_relays(&self, kind: LinkKind) -> bool {
        let partitions_zone = |fault: &PlannedFault| {
            matches!(fault.kind, FaultKind::PlaceCut | FaultKind::PlaceFlaps)
        };
        self.faults.iter().any(|fault| {
            partitions_zone(fault) || fault.kind.targets_links() && fault.link_kind == kind
        })
    }

    /// An upper bound of the delay that the plan's link faults together add to setting a session up.
    pub fn longest_delay(&self) -> Duration {
        let delay = |fault: &PlannedFault| match fault.kind {
            FaultKind::LinkDelayed => fault.span,
            FaultKind::LinkSlowed => Duration::from_secs_f64(SET_UP_BYTES / fault.magnitude),
            _ => Duration::ZERO,
        };
        self.faults.iter().map(delay).sum()
    }

    /// Whether some fault drains a proxy by an admin request, so that proxies need an admin socket.
    pub fn drains_proxies(&self) -> bool {
        self.faults
            .iter()
            .any(|fault| fault.kind == FaultKind::ProxyDrains)
    }

    /// The most clients that want to be connected at the same time.
    pub fn peak_connections(&self) -> usize {
        let mut changes: Vec<(Duration, i64)> = self
            .clients
            .iter()
            .flat_map(|client| [(client.at, 1), (client.at + client.session_length, -1)])
            .collect();
        changes.sort_unstable();
        let connected = changes.iter().scan(0, |connected, (_, change)| {
            *connected += change;
            Some(*connected)
        });
        connected.max().unwrap_or(0) as usize
    }
}
