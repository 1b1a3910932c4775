//! What a run will do, drawn from its seed before it starts: the same seed gives the same plan.

mod chaos;
mod clients;
mod faults;
mod planned;

pub use planned::{PlannedClient, PlannedFault, PlannedHost};

use crate::scenario::{FaultKind, LinkKind, Scenario};
use faults::DrawnFaults;
use rand_xoshiro::Xoshiro256PlusPlus;
use std::time::Duration;

/// The generator of all random numbers that belong to a seed.
pub type SeededRng = Xoshiro256PlusPlus;

/// Sets the random numbers of faults apart from those of clients.
const FAULT_SEED: u64 = 0x5eed_fa17;
/// Bytes of a session's line and some more, by which a slow link's delay is bounded.
const SESSION_BYTES: f64 = 400.0;

/// All that a run will do.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The clients, those that are connected before the run first, then by when they come.
    pub clients: Vec<PlannedClient>,
    /// The faults, by when they begin.
    pub faults: Vec<PlannedFault>,
    /// The hosts, by their numbers.
    pub hosts: Vec<PlannedHost>,
}

impl Plan {
    /// With `chaos`, faults drawn from it come on top of the scenario's.
    pub fn new(scenario: &Scenario, seed: u64, chaos: Option<u64>) -> Plan {
        let hosts = planned::hosts(scenario);
        let mut faults = scenario.faults.clone();
        if let Some(chaos) = chaos {
            faults.extend(chaos::draw_faults(scenario, chaos));
        }
        let mut drawn = DrawnFaults::new(scenario, seed ^ FAULT_SEED);
        let mut faults: Vec<PlannedFault> = faults.iter().map(|fault| drawn.plan(fault)).collect();
        faults.sort_by_key(|fault| fault.at);
        Plan {
            clients: clients::draw_clients(scenario, seed, hosts.len()),
            faults,
            hosts,
        }
    }

    /// Whether links of a kind need a relay for these faults to strike them.
    pub fn needs_relays(&self, kind: LinkKind) -> bool {
        let cuts = |fault: &PlannedFault| {
            matches!(fault.kind, FaultKind::PlaceCut | FaultKind::PlaceFlaps)
        };
        self.faults
            .iter()
            .any(|fault| cuts(fault) || fault.kind.targets_links() && fault.link_kind == kind)
    }

    /// The longest that links hold anything back.
    pub fn longest_delay(&self) -> Duration {
        let delay = |fault: &PlannedFault| match fault.kind {
            FaultKind::LinkDelayed => fault.span,
            FaultKind::LinkSlowed => Duration::from_secs_f64(SESSION_BYTES / fault.magnitude),
            _ => Duration::ZERO,
        };
        self.faults.iter().map(delay).sum()
    }

    /// Whether a proxy is drained on request, and so needs a control socket.
    pub fn drains(&self) -> bool {
        self.faults
            .iter()
            .any(|fault| fault.kind == FaultKind::ProxyDrains)
    }

    /// Most clients that want to be connected at once.
    pub fn peak_connections(&self) -> usize {
        let mut steps: Vec<(Duration, i64)> = self
            .clients
            .iter()
            .flat_map(|client| [(client.at, 1), (client.at + client.session_length, -1)])
            .collect();
        steps.sort_unstable();
        let at_once = steps.iter().scan(0, |open, (_, step)| {
            *open += step;
            Some(*open)
        });
        at_once.max().unwrap_or(0) as usize
    }
}
