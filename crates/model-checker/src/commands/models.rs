//! `hot-restart`, `zone-failover`, `warm-start` and `leader-lease`: the smaller models.

use crate::report::{Extent, Summary, Verdict};
use asterramp_model_checker::search::Explored;
use asterramp_model_checker::{hot_restart, leader_lease, warm_start, zone_failover};

impl<S> From<Explored<S>> for Summary<S> {
    fn from(explored: Explored<S>) -> Summary<S> {
        Summary {
            states: explored.states,
            steps: explored.steps,
            depth: explored.depth,
            counterexample: explored.found,
        }
    }
}

pub(super) fn hot_restart() -> Verdict {
    let explored = hot_restart::explore();
    let summary = Summary {
        states: explored.states,
        steps: explored.steps,
        depth: explored.depth,
        counterexample: explored.found,
    };
    summary.print(Extent::Complete)
}

pub(super) fn zone_failover(depth: usize) -> Verdict {
    let explored = zone_failover::explore(&[], depth, zone_failover::NONE);
    Summary::from(explored).print(Extent::ToDepth)
}

pub(super) fn warm_start(depth: usize) -> Verdict {
    let explored = warm_start::explore(&[], depth, warm_start::NONE);
    Summary::from(explored).print(Extent::ToDepth)
}

/// Explores from each of several situations.
pub(super) fn leader_lease(depth: usize) -> Verdict {
    let situations = leader_lease::ways();
    let verdicts = situations.iter().map(|situation| {
        let explored = leader_lease::explore(situation, depth, leader_lease::NONE);
        Summary::from(explored).print(Extent::ToDepth)
    });
    verdicts.max().unwrap_or(Verdict::Holds)
}
