//! All properties hold in small shapes and in the smaller models, in every order of events.

use asterramp_model_checker::explorer::{Exploration, Limits};
use asterramp_model_checker::placement_model::explore;
use asterramp_model_checker::shape::{SHAPES, Shape};
use asterramp_model_checker::trace::Trace;
use asterramp_model_checker::warm_start::WarmStartSituation;
use std::fmt::Debug;
use test_case::test_case;

fn assert_all_hold<A: Debug, V: Debug>(exploration: &Exploration<A, V>) {
    let counterexample = &exploration.counterexample;
    assert!(counterexample.is_none(), "{counterexample:?}");
}

#[test_case("once-only")]
#[test_case("four-dials")]
#[test_case("cold")]
fn all_properties_hold_in_a_small_shape(name: &str) {
    let limits = Limits {
        max_states: 60_000,
        ..Limits::default()
    };
    let shape = Shape::find(name).unwrap();
    let exploration = explore(shape, limits);
    if let Some(found) = &exploration.counterexample {
        let trace = Trace::new(shape, None, &found.violation, &found.actions);
        panic!("{trace}");
    }
    assert!(exploration.states > 1_000, "{exploration:?}");
}

#[test]
fn two_explorations_see_the_same_states() {
    let limits = Limits {
        max_depth: 6,
        ..Limits::default()
    };
    let explored_counts = || {
        let exploration = explore(&SHAPES[0], limits);
        (
            exploration.states,
            exploration.steps,
            exploration.unexpanded,
        )
    };
    assert_eq!(explored_counts(), explored_counts());
}

#[test]
fn all_properties_of_a_hot_restart_hold_in_every_order() {
    let exploration = asterramp_model_checker::hot_restart::explore();
    assert_all_hold(&exploration);
    assert_eq!(exploration.states, 434, "{exploration:?}");
}

#[test]
fn all_properties_of_zone_failover_hold_in_every_order() {
    use asterramp_model_checker::zone_failover::{ZoneSituation, explore};
    for situation in ZoneSituation::ALL {
        let exploration = explore(situation, 6);
        assert_all_hold(&exploration);
        assert!(exploration.states > 20_000, "{situation:?} {exploration:?}");
    }
}

#[test_case(WarmStartSituation::PowerLoss, 6, 20_000)]
#[test_case(WarmStartSituation::AskingPeers, 4, 3_000)]
#[test_case(WarmStartSituation::EndpointResponsive, 4, 1_000)]
#[test_case(WarmStartSituation::FutureReportExpired, 2, 50)]
#[test_case(WarmStartSituation::NormalWithoutDiscovery, 4, 1_000)]
#[test_case(WarmStartSituation::PeerKnowsEndpoint, 5, 5_000)]
fn all_properties_of_a_warm_start_hold_in_every_order(
    situation: WarmStartSituation,
    depth: usize,
    min_states: u64,
) {
    let exploration = asterramp_model_checker::warm_start::explore(situation, depth);
    assert_all_hold(&exploration);
    assert!(exploration.states > min_states, "{exploration:?}");
}

#[test]
fn all_properties_of_the_leader_lease_hold_in_every_order() {
    use asterramp_model_checker::leader_lease::{LeaseSituation, explore};
    for situation in LeaseSituation::ALL {
        let exploration = explore(situation, 5);
        assert_all_hold(&exploration);
        assert!(exploration.states > 300, "{situation:?} {exploration:?}");
    }
}
