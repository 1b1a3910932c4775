//! Reduction of the faults of a failing run to a minimal list, and the scenario text in which it is written.

mod help;

use asterramp_testbed::plan::{Plan, PlannedFault};
use asterramp_testbed::scenario::Scenario;
use asterramp_testbed::shrink::{minimize, scenario_faults, with_faults};
use std::time::Duration;
use test_case::test_case;

/// A run fails exactly if its faults include all `needed` ones.
#[test_case(&[3]; "one")]
#[test_case(&[0, 11]; "first and last")]
#[test_case(&[2, 5, 7]; "three")]
#[test_case(&[]; "none of them")]
fn faults_are_reduced_to_those_that_fail_together(needed: &[u32]) {
    let all: Vec<u32> = (0..12).collect();
    let remaining = minimize(&all, 200, |kept| {
        needed.iter().all(|fault| kept.contains(fault))
    });
    assert_eq!(remaining, needed);
    assert!(
        minimize(&all, 3, |kept| needed
            .iter()
            .all(|fault| kept.contains(fault)))
        .len()
            >= needed.len()
    );
}

#[test]
fn written_faults_are_read_back_as_they_were_planned() {
    let scenario = help::base_with_tables("");
    for chaos in 0..40 {
        let plan = Plan::new(&scenario, 5, Some(chaos));
        let text = with_faults(help::BASE_SCENARIO, &scenario_faults(&plan.faults)).unwrap();
        let read = Plan::new(&Scenario::read(&text).unwrap(), 5, None);
        let ms = |at: Duration| at.as_millis();
        let written_keys = |fault: &PlannedFault| {
            (
                fault.kind,
                fault.targets.clone(),
                ms(fault.at),
                fault.link_kind,
                fault.half_open,
                ms(fault.span),
                fault.recovered_part,
            )
        };
        assert_eq!(
            read.faults.iter().map(written_keys).collect::<Vec<_>>(),
            plan.faults.iter().map(written_keys).collect::<Vec<_>>()
        );
    }
}
