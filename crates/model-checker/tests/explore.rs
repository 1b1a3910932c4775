//! The quick shapes hold, walks hold, and traces are read as they are written.
#![allow(
    missing_docs,
    unreachable_pub,
    missing_debug_implementations,
    rust_2018_idioms
)] // Not yet brought to the workspace lints.
#![allow(clippy::too_many_lines, clippy::cognitive_complexity)] // Not yet brought to the workspace lints.

use asterramp_model_checker::explore::{Limits, explore};
use asterramp_model_checker::shape::{SHAPES, Shape, WALK};
use asterramp_model_checker::step::{Move, Step};
use asterramp_model_checker::trace::Trace;
use asterramp_model_checker::walk::{walk, walks};
use asterramp_model_checker::world::World;
use std::time::Duration;
use test_case::test_case;

#[test_case("once-only")]
#[test_case("four-dials")]
#[test_case("cold")]
fn a_small_shape_is_seen_whole_and_holds(name: &str) {
    let limits = Limits {
        states: 60_000,
        ..Limits::default()
    };
    let explored = explore(Shape::find(name).unwrap(), limits);
    let trace = explored
        .found
        .as_ref()
        .map(|f| Trace::of(Shape::find(name).unwrap(), None, f).text());
    assert!(explored.found.is_none(), "{}", trace.unwrap_or_default());
    assert!(explored.states > 1_000, "{explored:?}");
}

#[test]
fn exploring_twice_sees_the_same() {
    let limits = Limits {
        depth: 6,
        ..Limits::default()
    };
    let seen = |_| {
        let explored = explore(&SHAPES[0], limits);
        (explored.states, explored.steps, explored.left_out)
    };
    assert_eq!(seen(0), seen(1));
}

#[test]
fn walks_hold_and_are_the_same_for_the_same_seed() {
    let walked = walks(&WALK, 1, Duration::from_secs(4));
    let found = walked
        .found
        .map(|(seed, f)| format!("{seed}: {}", Trace::of(&WALK, None, &f).text()));
    assert!(found.is_none(), "{}", found.unwrap_or_default());
    assert!(
        walked.whole * 2 > walked.walks,
        "few walks end: {} of {}",
        walked.whole,
        walked.walks
    );
    assert_eq!(walk(&WALK, 7).0, walk(&WALK, 7).0);
}

#[test]
fn every_step_is_read_as_it_is_written() {
    let (mut world, mut steps) = (World::new(&WALK), Vec::new());
    for nth in 0..400_usize {
        world.steps(&WALK, &mut steps);
        for step in &steps {
            let what = Move {
                step: *step,
                chance: (nth % 4) as u8,
            };
            assert_eq!(what.to_string().parse(), Ok(what));
        }
        let Some(step) = steps.get(nth * 7 % steps.len()) else {
            break;
        };
        let step = if *step == Step::Sigterm {
            Step::Due
        } else {
            *step
        };
        world.make(&WALK, Move { step, chance: 0 }).unwrap();
    }
}

#[test_case("shape none\n1. next deadline", "line 1"; "unknown shape")]
#[test_case("shape cold\n1. session 0 flies", "line 2"; "unknown step")]
#[test_case("1. next deadline", "shape NAME"; "no shape")]
#[test_case("shape cold\nnext deadline", "line 2"; "no number")]
fn a_bad_trace_is_told_by_its_line(text: &str, says: &str) {
    assert!(Trace::read(text).unwrap_err().contains(says));
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
