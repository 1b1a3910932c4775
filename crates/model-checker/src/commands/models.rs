//! `hot-restart`, `zone-failover`, `warm-start` and `leader-lease`: explore the smaller models.

use crate::report::{ExplorationScope, Verdict, print_exploration};
use asterramp_model_checker::leader_lease::LeaseSituation;
use asterramp_model_checker::warm_start::WarmStartSituation;
use asterramp_model_checker::zone_failover::ZoneSituation;
use asterramp_model_checker::{hot_restart, leader_lease, warm_start, zone_failover};

pub(super) fn hot_restart() -> Verdict {
    print_exploration(&hot_restart::explore(), ExplorationScope::Complete)
}

pub(super) fn zone_failover(depth: usize) -> Verdict {
    let exploration = zone_failover::explore(ZoneSituation::AllHealthy, depth);
    print_exploration(&exploration, ExplorationScope::ToDepth)
}

pub(super) fn warm_start(depth: usize) -> Verdict {
    let exploration = warm_start::explore(WarmStartSituation::PowerLoss, depth);
    print_exploration(&exploration, ExplorationScope::ToDepth)
}

/// Explores every initial situation and returns the worst of the verdicts.
pub(super) fn leader_lease(depth: usize) -> Verdict {
    let verdicts = LeaseSituation::ALL.map(|situation| {
        let exploration = leader_lease::explore(situation, depth);
        print_exploration(&exploration, ExplorationScope::ToDepth)
    });
    verdicts.into_iter().max().unwrap_or(Verdict::Holds)
}
