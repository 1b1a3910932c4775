//! The quick shapes hold, walks hold, and traces are read as they are written.
#![allow(
    missing_docs,
    unreachable_pub,
    missing_debug_implementations,
    rust_2018_idioms
)] // Not yet brought to the workspace lints.
#![allow(clippy::too_many_lines, clippy::cognitive_complexity)] // Not yet brought to the workspace lints.

use asterramp_model_checker::explorer::{Exploration, Limits};
use asterramp_model_checker::placement_model::explore;
use asterramp_model_checker::shape::{SHAPES, Shape, WALK};
use asterramp_model_checker::step::{Move, Step};
use asterramp_model_checker::trace::Trace;
use asterramp_model_checker::walk::{walk, walks};
use asterramp_model_checker::warm_start::WarmStartSituation;
use asterramp_model_checker::world::World;
use std::fmt::Debug;
use std::time::Duration;
use test_case::test_case;

fn assert_all_hold<A: Debug, V: Debug>(exploration: &Exploration<A, V>) {
    let counterexample = &exploration.counterexample;
    assert!(counterexample.is_none(), "{counterexample:?}");
}

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
        .counterexample
        .as_ref()
        .map(|f| Trace::of(Shape::find(name).unwrap(), None, f).text());
    assert!(
        explored.counterexample.is_none(),
        "{}",
        trace.unwrap_or_default()
    );
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
        (explored.states, explored.steps, explored.unexpanded)
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
fn a_hot_restart_holds_in_every_order() {
    let exploration = asterramp_model_checker::hot_restart::explore();
    assert_all_hold(&exploration);
    assert_eq!(exploration.states, 434, "{exploration:?}");
}

#[test]
fn zone_failover_holds_in_every_order() {
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
fn warm_starts_hold_in_every_order(situation: WarmStartSituation, depth: usize, min_states: u64) {
    let exploration = asterramp_model_checker::warm_start::explore(situation, depth);
    assert_all_hold(&exploration);
    assert!(exploration.states > min_states, "{exploration:?}");
}

#[test]
fn leader_leases_hold_in_every_order() {
    use asterramp_model_checker::leader_lease::{LeaseSituation, explore};
    for situation in LeaseSituation::ALL {
        let exploration = explore(situation, 5);
        assert_all_hold(&exploration);
        assert!(exploration.states > 300, "{situation:?} {exploration:?}");
    }
}
