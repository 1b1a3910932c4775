//! The real proxy under faults drawn from a number: whatever they are, the rules hold.

mod help;

use asterramp_testbed::event_log::Event;
use test_case::{test_case, test_matrix};

#[test_matrix([1, 2, 3, 4, 5, 6, 7, 8, 9, 10])]
fn the_rules_hold_whatever_fails(chaos: u64) {
    let scenario = help::scenario_with("", "callers = 1");
    let run = help::play(scenario, help::real_proxy(), chaos, Some(chaos));
    run.assert_rules_held();
    let tally = run.outcome.verdict.tally;
    assert!(tally.sessions > 100 && tally.accepted > 50, "{tally:?}");
    let answered = |event: &Event| {
        matches!(
            event,
            Event::Called {
                figures: Some(_),
                ..
            }
        )
    };
    assert!(run.count(answered) > 0, "no call was answered");
}

/// Hot restarts under load, one after the other: nobody is migrated or cut off, and all metrics are true.
#[test_case("proxy-replaced", 0; "each takes over")]
#[test_case("proxy-replaced-badly", 5; "killed before it serves")]
#[test_case("proxy-replaced-badly", 300; "killed as it serves")]
fn hot_restarts_under_load_cost_no_session(kind: &str, killed_after: u64) {
    let fault = |at: &str, proxy: u8| {
        let rest = format!("on = [{proxy}]\nspan = \"{killed_after}ms\"");
        help::fault(at, None, kind, &rest)
    };
    let faults = [fault("1s", 0), fault("1500ms", 1), fault("2500ms", 0)].concat();
    let scenario = help::scenario_with(&faults, "callers = 2");
    let run = help::play(scenario, help::real_proxy(), 4, None);
    run.assert_rules_held();
    let migrated = run.outcome.verdict.tally.migrated;
    assert_eq!(migrated, 0, "nobody is migrated for a hot restart");
    let ready = run.count(|event| matches!(event, Event::Replaced { yes: Some(_), .. }));
    let killed = run.count(|event| matches!(event, Event::ProxyDead { .. }));
    let expected = if killed_after == 0 { (3, 0) } else { (0, 3) };
    assert_eq!((ready, killed), expected, "all three were played");
    // The judge excuses what died with a process; one that took nothing must not have cost anybody anything.
    let is_cut_off =
        |event: &Event| matches!(event, Event::Cut { .. } | Event::Ended { told: false, .. });
    let cut_off = run.count(is_cut_off);
    assert!(killed_after > 5 || cut_off == 0, "{cut_off} were cut off");
}
