//! The real proxy under faults drawn from a number: whatever they are, the rules hold.

mod help;

use test_case::test_matrix;

#[test_matrix([1, 2, 3, 4, 5, 6, 7, 8, 9, 10])]
fn the_rules_hold_whatever_fails(chaos: u64) {
    let ran = help::play(help::scenario(""), help::real(), chaos, Some(chaos));
    for breach in ran.verdict.breaches.iter().take(3) {
        println!("{}: {}\n{}", breach.rule.text(), breach.what, breach.timeline.join("\n"));
    }
    assert!(ran.verdict.breaches.is_empty(), "faults: {:?}", ran.world.plan.faults);
    let tally = ran.verdict.tally;
    assert!(tally.sessions > 100 && tally.accepted > 50, "{tally:?}");
}
