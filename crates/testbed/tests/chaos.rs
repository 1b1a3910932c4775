//! The real proxy keeps the rules under random faults and during hot restarts.

mod help;

use asterramp_testbed::event_log::Event;
use test_case::{test_case, test_matrix};

#[test_matrix([1, 2, 3, 4, 5, 6, 7, 8, 9, 10])]
fn the_rules_hold_under_random_faults(chaos_seed: u64) {
    let scenario = help::base_with_proxy_keys("", "callers = 1");
    let run = help::run_scenario(scenario, help::real_proxy(), chaos_seed, Some(chaos_seed));
    run.assert_rules_held();
    let tally = run.outcome.verdict.tally;
    assert!(tally.sessions > 100 && tally.accepted > 50, "{tally:?}");
    let is_answered = |event: &Event| {
        matches!(
            event,
            Event::Called {
                figures: Some(_),
                ..
            }
        )
    };
    assert!(
        run.count_events(is_answered) > 0,
        "no metrics request got an answer"
    );
}

/// Three hot restarts under load, one after the other: no session is migrated or cut off, and all metrics are accurate.
#[test_case("proxy-replaced", 0; "each successor takes over")]
#[test_case("proxy-replaced-badly", 5; "successors killed before they serve")]
#[test_case("proxy-replaced-badly", 300; "successors killed as they begin to serve")]
fn hot_restarts_under_load_lose_no_session(kind: &str, killed_after_ms: u64) {
    let fault = |at: &str, proxy: u8| {
        let other_keys = format!("on = [{proxy}]\nspan = \"{killed_after_ms}ms\"");
        help::fault_table(at, None, kind, &other_keys)
    };
    let faults = [fault("1s", 0), fault("1500ms", 1), fault("2500ms", 0)].concat();
    let scenario = help::base_with_proxy_keys(&faults, "callers = 2");
    let run = help::run_scenario(scenario, help::real_proxy(), 4, None);
    run.assert_rules_held();
    let migrated = run.outcome.verdict.tally.migrated;
    assert_eq!(migrated, 0, "a hot restart migrates no session");
    let ready = run.count_events(|event| matches!(event, Event::Replaced { yes: Some(_), .. }));
    let killed = run.count_events(|event| matches!(event, Event::ProxyDead { .. }));
    let expected = if killed_after_ms == 0 { (3, 0) } else { (0, 3) };
    assert_eq!(
        (ready, killed),
        expected,
        "successors that became ready, and successors that were killed"
    );
    // The judge excuses sessions that ended with a killed process. A successor that was killed after 5 ms held no session,
    // so no session may have been cut off.
    let is_cut_off =
        |event: &Event| matches!(event, Event::Cut { .. } | Event::Ended { told: false, .. });
    let cut_off = run.count_events(is_cut_off);
    assert!(
        killed_after_ms > 5 || cut_off == 0,
        "{cut_off} sessions were cut off"
    );
}
