//! The real proxy under faults drawn from a number: whatever they are, the rules hold.

mod help;

use asterramp_testbed::event_log::Event;
use test_case::{test_case, test_matrix};

#[test_matrix([1, 2, 3, 4, 5, 6, 7, 8, 9, 10])]
fn the_rules_hold_whatever_fails(chaos: u64) {
    let ran = help::play(
        help::scenario_with("", "callers = 1"),
        help::real(),
        chaos,
        Some(chaos),
    );
    help::show(&ran);
    assert!(
        ran.verdict.violations.is_empty(),
        "faults: {:?}",
        ran.context.plan.faults
    );
    let tally = ran.verdict.tally;
    assert!(tally.sessions > 100 && tally.accepted > 50, "{tally:?}");
    assert!(ran.records.iter().any(|r| matches!(
        r.seen,
        Event::Called {
            figures: Some(_),
            ..
        }
    )));
}

/// Replacements under load, one after the other: nobody is moved or cut off, and all that operators hear is true.
#[test_case("proxy-replaced", 0; "each takes over")]
#[test_case("proxy-replaced-badly", 5; "killed before it serves")]
#[test_case("proxy-replaced-badly", 300; "killed as it serves")]
fn processes_are_replaced_under_load(kind: &str, killed_after: u64) {
    let fault = |at: &str, on: u8| {
        let span = format!("span = \"{killed_after}ms\"");
        format!("[[faults]]\nat = \"{at}\"\nkind = \"{kind}\"\non = [{on}]\n{span}\n")
    };
    let faults = [fault("1s", 0), fault("1500ms", 1), fault("2500ms", 0)].concat();
    let ran = help::play(
        help::scenario_with(&faults, "callers = 2"),
        help::real(),
        4,
        None,
    );
    help::show(&ran);
    assert!(ran.verdict.violations.is_empty());
    assert_eq!(
        ran.verdict.tally.migrated, 0,
        "nobody is moved for a replacement"
    );
    let count = |of: fn(&Event) -> bool| ran.records.iter().filter(|r| of(&r.seen)).count();
    let yes = count(|seen| matches!(seen, Event::Replaced { yes: Some(_), .. }));
    let killed = count(|seen| matches!(seen, Event::ProxyDead { .. }));
    assert_eq!(
        (yes, killed),
        if killed_after == 0 { (3, 0) } else { (0, 3) },
        "all three were played"
    );
    // The judge excuses what died with a process; one that took nothing must not have cost anybody anything.
    let cut = count(|seen| matches!(seen, Event::Cut { .. } | Event::Ended { told: false, .. }));
    assert!(killed_after > 5 || cut == 0, "{cut} were cut off");
}
