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
        let on = match &fault.on {
            Some(on) => numbers(on),
            None => self.draw_targets(fault),
        };
        PlannedFault {
            at: fault.at,
            until: fault.lasts.map(|lasts| fault.at + lasts),
            kind: fault.kind,
            on,
            much: fault.much,
            span: fault.span,
            way: fault.way,
            to: fault.to.as_deref().map(numbers),
            half_open: fault.half_open,
            back: fault.back,
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
        if kind.strikes_hosts() {
            self.scenario.hosts()
        } else if kind.strikes_proxies() || kind.strikes_links() {
            self.scenario.proxies.count
        } else if kind.strikes_places() {
            self.scenario.places.len() as u32
        } else {
            0
        }
    }
}

/// Numbers as a plan holds them; a scenario's are bounded where it is read.
fn numbers(of: &[u32]) -> Vec<u16> {
    of.iter().map(|number| *number as u16).collect()
}
