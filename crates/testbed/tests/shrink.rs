//! Fewer and fewer faults, for as long as a rule breaks.

mod help;

use asterramp_testbed::plan::{Plan, PlannedFault};
use asterramp_testbed::scenario::Scenario;
use asterramp_testbed::shrink::{minimize, scenario_faults, with_faults};
use std::time::Duration;
use test_case::test_case;

/// Whatever else strikes, these together are what fails.
#[test_case(&[3]; "one")]
#[test_case(&[0, 11]; "first and last")]
#[test_case(&[2, 5, 7]; "three")]
#[test_case(&[]; "none of them")]
fn faults_are_cut_down_to_those_that_fail_together(needed: &[u32]) {
    let all: Vec<u32> = (0..12).collect();
    let left = minimize(&all, 200, |left| needed.iter().all(|n| left.contains(n)));
    assert_eq!(left, needed);
    assert!(
        minimize(&all, 3, |left| needed.iter().all(|n| left.contains(n))).len() >= needed.len()
    );
}

#[test]
fn shrunk_faults_are_written_as_they_were_planned() {
    let scenario = help::base_with_tables("");
    for chaos in 0..40 {
        let plan = Plan::new(&scenario, 5, Some(chaos));
        let text = with_faults(help::BASE_SCENARIO, &scenario_faults(&plan.faults)).unwrap();
        let read = Plan::new(&Scenario::read(&text).unwrap(), 5, None);
        let ms = |at: Duration| at.as_millis();
        let told = |s: &PlannedFault| {
            (
                s.kind,
                s.targets.clone(),
                ms(s.at),
                s.link_kind,
                s.half_open,
                ms(s.span),
                s.recovered_part,
            )
        };
        assert_eq!(
            read.faults.iter().map(told).collect::<Vec<_>>(),
            plan.faults.iter().map(told).collect::<Vec<_>>()
        );
    }
}
