//! Draws whom a scenario's faults strike, where it names nobody.

use super::SeededRng;
use super::planned::PlannedFault;
use crate::scenario::{Scenario, ScenarioFault};
use rand::{RngExt, SeedableRng};

/// Plans faults one after the other.
pub(super) struct DrawnFaults<'a> {
    scenario: &'a Scenario,
    random: SeededRng,
}

impl DrawnFaults<'_> {
    pub(super) fn new(scenario: &Scenario, seed: u64) -> DrawnFaults<'_> {
        DrawnFaults {
            scenario,
            random: SeededRng::seed_from_u64(seed),
        }
    }

    /// Plans a fault, striking those that it names or as many as it counts.
    pub(super) fn plan(&mut self, fault: &ScenarioFault) -> PlannedFault {
        let on = match &fault.targets {
            Some(on) => numbers(on),
            None => self.draw_targets(fault),
        };
        PlannedFault {
            at: fault.at,
            until: fault.duration.map(|lasts| fault.at + lasts),
            kind: fault.kind,
            targets: on,
            magnitude: fault.magnitude,
            span: fault.span,
            link_kind: fault.link_kind,
            to_hosts: fault.to_hosts.as_deref().map(numbers),
            half_open: fault.half_open,
            recovered_part: fault.recovered_part,
        }
    }

    fn draw_targets(&mut self, fault: &ScenarioFault) -> Vec<u16> {
        let targets = self.possible_targets(fault);
        let mut left: Vec<u16> = (0..targets as u16).collect();
        (0..fault.count.min(targets))
            .map(|_| left.swap_remove(self.random.random_range(0..left.len())))
            .collect()
    }

    /// How many hosts, proxies or zones a fault could strike.
    fn possible_targets(&self, fault: &ScenarioFault) -> u32 {
        let kind = fault.kind;
        if kind.targets_hosts() {
            self.scenario.hosts()
        } else if kind.targets_proxies() || kind.targets_links() {
            self.scenario.proxies.count
        } else if kind.targets_zones() {
            self.scenario.zones.len() as u32
        } else {
            0
        }
    }
}

/// Numbers as a plan holds them; a scenario's are bounded where it is read.
fn numbers(of: &[u32]) -> Vec<u16> {
    of.iter().map(|number| *number as u16).collect()
}
