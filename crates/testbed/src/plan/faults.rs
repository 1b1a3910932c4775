//! Turns the faults of a scenario into planned faults, and draws targets for those that name none.

use super::SeededRng;
use super::planned::PlannedFault;
use crate::scenario::{Scenario, ScenarioFault};
use rand::{RngExt, SeedableRng};

/// Plans faults one after the other.
pub(super) struct FaultPlanner<'a> {
    scenario: &'a Scenario,
    random: SeededRng,
}

impl FaultPlanner<'_> {
    pub(super) fn new(scenario: &Scenario, seed: u64) -> FaultPlanner<'_> {
        FaultPlanner {
            scenario,
            random: SeededRng::seed_from_u64(seed),
        }
    }

    /// Plans a fault with the targets that it names, or with `count` targets drawn at random.
    pub(super) fn plan(&mut self, fault: &ScenarioFault) -> PlannedFault {
        let targets = match &fault.targets {
            Some(targets) => to_numbers(targets),
            None => self.draw_targets(fault),
        };
        PlannedFault {
            at: fault.at,
            until: fault.duration.map(|duration| fault.at + duration),
            kind: fault.kind,
            targets,
            magnitude: fault.magnitude,
            span: fault.span,
            link_kind: fault.link_kind,
            to_hosts: fault.to_hosts.as_deref().map(to_numbers),
            half_open: fault.half_open,
            recovered_part: fault.recovered_part,
        }
    }

    fn draw_targets(&mut self, fault: &ScenarioFault) -> Vec<u16> {
        let available = self.available_targets(fault);
        let mut remaining: Vec<u16> = (0..available as u16).collect();
        (0..fault.count.min(available))
            .map(|_| remaining.swap_remove(self.random.random_range(0..remaining.len())))
            .collect()
    }

    /// How many hosts, proxies or zones there are that a fault could affect.
    fn available_targets(&self, fault: &ScenarioFault) -> u32 {
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

/// Converts a scenario's numbers to those of a plan; the checks of the scenario bound them.
fn to_numbers(numbers: &[u32]) -> Vec<u16> {
    numbers.iter().map(|number| *number as u16).collect()
}
