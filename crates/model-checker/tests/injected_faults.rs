//! Each injected fault is found. These tests have a file of their own, since a fault is injected into the whole process.
#![cfg(feature = "injected-faults")]

use asterramp_model_checker::explorer::{Counterexample, Limits};
use asterramp_model_checker::placement_model::explore;
use asterramp_model_checker::shape::Shape;
use asterramp_model_checker::trace::Trace;
use std::fmt::{Debug, Display};

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

    // Recorded by the model checker at commit 17cc2a9, with the fault under its former name.
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

/// Searches for each fault and prints the violation that it causes, with the length of the counterexample.
fn assert_each_is_found<F, A, V>(faults: &[F], find: impl Fn(F) -> Option<Counterexample<A, V>>)
where
    F: Copy + Debug,
    V: Display,
{
    let mut missed = Vec::new();
    for fault in faults {
        match find(*fault) {
            Some(found) => println!(
                "{fault:?}: {} steps: {}",
                found.actions.len(),
                found.violation
            ),
            None => missed.push(fault),
        }
    }
    assert!(missed.is_empty(), "not found: {missed:?}");
}

#[test]
fn each_fault_injected_into_zone_failover_is_found() {
    use asterramp_model_checker::zone_failover::{ZoneSituation, explore_with_fault};
    use asterramp_zone_failover::InjectedFault;
    assert_each_is_found(&InjectedFault::ALL, |fault| {
        let situation = match fault {
            InjectedFault::HoldDownSkipped => ZoneSituation::LostAfterRecovery,
            _ => ZoneSituation::AllHealthy,
        };
        explore_with_fault(situation, 7, fault).counterexample
    });
}

#[test]
fn each_fault_injected_into_warm_start_is_found() {
    use asterramp_model_checker::warm_start::{WarmStartSituation, explore_with_fault};
    use asterramp_warm_start::InjectedFault;
    assert_each_is_found(&InjectedFault::ALL, |fault| {
        let (situation, depth) = match fault {
            InjectedFault::FutureCountsAsFresh => (WarmStartSituation::FutureReportExpired, 2),
            InjectedFault::PeerReportUsedUnprobed => (WarmStartSituation::AskingPeers, 6),
            InjectedFault::ListAfterStartIgnored => (WarmStartSituation::NormalWithoutDiscovery, 4),
            InjectedFault::ReportsOutrankDiscovery => (WarmStartSituation::PeerKnowsEndpoint, 5),
            InjectedFault::OutdatedListKept => (WarmStartSituation::EndpointResponsive, 4),
            InjectedFault::TwoAtOneAddress => (WarmStartSituation::EndpointResponsive, 4),
            _ => (WarmStartSituation::PowerLoss, 6),
        };
        explore_with_fault(situation, depth, fault).counterexample
    });
}

#[test]
fn each_fault_injected_into_the_leader_lease_is_found() {
    use asterramp_leader_lease::InjectedFault;
    use asterramp_model_checker::leader_lease::{LeaseSituation, explore_with_fault};
    assert_each_is_found(&InjectedFault::ALL, |fault| {
        LeaseSituation::ALL
            .into_iter()
            .find_map(|situation| explore_with_fault(situation, 6, fault).counterexample)
    });
}
