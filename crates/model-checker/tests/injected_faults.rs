//! An injected fault is found. In a file of its own, since it is injected into the whole process.
#![cfg(feature = "injected-faults")]

use asterramp_model_checker::explore::{Limits, explore};
use asterramp_model_checker::shape::Shape;
use asterramp_model_checker::trace::Trace;

#[test]
fn an_injected_fault_is_found_and_its_trace_replays() {
    use asterramp_proxy::injected_fault::{InjectedFault, inject};
    inject(Some(InjectedFault::TimeoutReportedAsNeverRun));
    let shape = Shape::find("once-only").unwrap();
    let found = explore(shape, Limits::default()).counterexample;
    let found = found.expect("the fault is found");
    let trace = Trace::new(shape, None, &found.violation, &found.actions);
    let read = Trace::read(&trace.to_string()).unwrap();
    assert_eq!(read.play(|_| ()), Err(found.violation));
    inject(None);
    assert_eq!(read.play(|_| ()), Ok(()));

    // Recorded by the checker of 17cc2a9, under the fault's former name.
    let recorded = Trace::read(include_str!("golden/trace-timeout.txt")).unwrap();
    let fault = recorded
        .injected_fault
        .as_deref()
        .and_then(InjectedFault::from_name);
    assert_eq!(fault, Some(InjectedFault::TimeoutReportedAsNeverRun));
    inject(fault);
    let violation = recorded.play(|_| ()).unwrap_err();
    assert_eq!(violation.to_string(), recorded.violation);
    inject(None);
    assert_eq!(recorded.play(|_| ()), Ok(()));
}

/// Each is found by `explore`, whose way there is told.
fn all_found<P: Copy + std::fmt::Debug, S>(
    all: &[P],
    explore: impl Fn(P) -> Option<(String, Vec<S>)>,
) {
    let missed = all.iter().filter(|injected_fault| {
        let found = explore(**injected_fault);
        let told = found
            .as_ref()
            .map(|(what, way)| format!("{} steps: {what}", way.len()));
        println!("{injected_fault:?}: {}", told.unwrap_or_default());
        found.is_none()
    });
    assert!(
        missed
            .map(|injected_fault| format!("{injected_fault:?}"))
            .collect::<Vec<_>>()
            .is_empty()
    );
}

#[test]
fn each_fault_injected_into_zone_failover_is_found() {
    use asterramp_model_checker::zone_failover::{RETURNED, explore};
    use asterramp_zone_failover::InjectedFault;
    all_found(&InjectedFault::ALL, |injected_fault| {
        let late = matches!(injected_fault, InjectedFault::HoldDownSkipped);
        explore(if late { RETURNED } else { &[] }, 7, Some(injected_fault)).found
    });
}

#[test]
fn each_fault_injected_into_warm_start_is_found() {
    use asterramp_model_checker::warm_start::{ASKING, PROBED, explore, late};
    use asterramp_warm_start::InjectedFault;
    all_found(&InjectedFault::ALL, |injected_fault| {
        let (before, depth) = match injected_fault {
            InjectedFault::FutureCountsAsFresh => (late(), 2),
            InjectedFault::PeerReportUsedUnprobed => (ASKING.to_vec(), 6),
            InjectedFault::TwoAtOneAddress => (PROBED.to_vec(), 4),
            _ => (Vec::new(), 6),
        };
        explore(&before, depth, Some(injected_fault)).found
    });
}

#[test]
fn each_fault_injected_into_the_leader_lease_is_found() {
    use asterramp_leader_lease::InjectedFault;
    use asterramp_model_checker::leader_lease::{explore, ways};
    all_found(&InjectedFault::ALL, |injected_fault| {
        ways()
            .into_iter()
            .find_map(|before| explore(&before, 6, Some(injected_fault)).found)
    });
}
