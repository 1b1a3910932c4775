//! What small worlds and models do in every order of events holds.

use asterramp_model_checker::explore::{Limits, explore};
use asterramp_model_checker::shape::{SHAPES, Shape};
use asterramp_model_checker::trace::Trace;
use test_case::test_case;

#[test_case("once-only")]
#[test_case("four-dials")]
#[test_case("cold")]
fn all_properties_hold_in_a_small_shape(name: &str) {
    let limits = Limits {
        states: 60_000,
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
        depth: 6,
        ..Limits::default()
    };
    let seen = |_| {
        let explored = explore(&SHAPES[0], limits);
        (explored.states, explored.steps, explored.unexpanded)
    };
    assert_eq!(seen(0), seen(1));
}

#[test]
fn whatever_dies_in_a_handover_each_connection_is_one_process_s() {
    let explored = asterramp_model_checker::hot_restart::explore();
    assert!(explored.found.is_none(), "{:?}", explored.found);
    assert!(explored.states > 300, "{explored:?}");
}

#[test]
fn what_is_made_of_places_holds_in_every_order() {
    use asterramp_model_checker::zone_failover::{NONE, RETURNED, explore};
    for before in [&[], RETURNED] {
        let explored = explore(before, 6, NONE);
        assert!(explored.found.is_none(), "{:?}", explored.found);
        assert!(explored.states > 20_000, "{explored:?}");
    }
}

#[test]
fn starts_after_a_power_loss_hold_in_every_order() {
    use asterramp_model_checker::warm_start::{ASKING, NONE, explore, late};
    for (before, depth, least) in [
        (Vec::new(), 6, 20_000),
        (ASKING.to_vec(), 4, 3_000),
        (late(), 2, 50),
    ] {
        let explored = explore(&before, depth, NONE);
        assert!(explored.found.is_none(), "{:?}", explored.found);
        assert!(explored.states > least, "{explored:?}");
    }
}

#[test]
fn of_two_candidates_none_harms_in_every_order() {
    use asterramp_model_checker::leader_lease::{NONE, explore, ways};
    for before in ways() {
        let explored = explore(&before, 5, NONE);
        assert!(explored.found.is_none(), "{:?}", explored.found);
        assert!(explored.states > 300, "{explored:?}");
    }
}
