//! A bug that is planted is found. In a file of its own, since it is planted in the whole process.
#![cfg(feature = "injected-faults")]

use asterramp_model_checker::explore::{Limits, explore};
use asterramp_model_checker::shape::Shape;
use asterramp_model_checker::trace::Trace;

#[test]
fn a_planted_bug_is_found_and_its_trace_replays() {
    use asterramp_proxy::injected_fault::{Plant, plant};
    plant(Some(Plant::TimeOutProvesNothing));
    let shape = Shape::find("once-only").unwrap();
    let explored = explore(shape, Limits::default());
    let trace = Trace::of(shape, None, explored.found.as_ref().expect("it is found"));
    let read = Trace::read(&trace.text()).unwrap();
    assert_eq!(read.play(|_| ()), Err(explored.found.unwrap().breach));
    plant(None);
    assert_eq!(read.play(|_| ()), Ok(()));
}

/// Each is found by `explore`, whose way there is told.
fn all_found<P: Copy + std::fmt::Debug, S>(
    all: &[P],
    explore: impl Fn(P) -> Option<(String, Vec<S>)>,
) {
    let missed = all.iter().filter(|plant| {
        let found = explore(**plant);
        let told = found
            .as_ref()
            .map(|(what, way)| format!("{} steps: {what}", way.len()));
        println!("{plant:?}: {}", told.unwrap_or_default());
        found.is_none()
    });
    assert!(
        missed
            .map(|plant| format!("{plant:?}"))
            .collect::<Vec<_>>()
            .is_empty()
    );
}

#[test]
fn each_bug_planted_in_what_is_made_of_places_is_found() {
    use asterramp_model_checker::zone_failover::{RETURNED, explore};
    use asterramp_zone_failover::Plant;
    all_found(&Plant::ALL, |plant| {
        let late = matches!(plant, Plant::HeldForgotten);
        explore(if late { RETURNED } else { &[] }, 7, Some(plant)).found
    });
}

#[test]
fn each_bug_planted_in_starts_is_found() {
    use asterramp_model_checker::warm_start::{ASKING, PROBED, explore, late};
    use asterramp_warm_start::Plant;
    all_found(&Plant::ALL, |plant| {
        let (before, depth) = match plant {
            Plant::FutureIsFresh => (late(), 2),
            Plant::HeardIsTrusted => (ASKING.to_vec(), 6),
            Plant::TwoAtOneAddress => (PROBED.to_vec(), 4),
            _ => (Vec::new(), 6),
        };
        explore(&before, depth, Some(plant)).found
    });
}

#[test]
fn each_bug_planted_in_ownership_is_found() {
    use asterramp_leader_lease::Plant;
    use asterramp_model_checker::leader_lease::{explore, ways};
    all_found(&Plant::ALL, |plant| {
        ways()
            .into_iter()
            .find_map(|before| explore(&before, 6, Some(plant)).found)
    });
}
