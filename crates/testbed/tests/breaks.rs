//! The plain proxy breaks one rule at a time, and the judge must see that one; unbroken it must be clean.

mod help;

use asterramp_testbed::event_log::Event;
use asterramp_testbed::judge::Rule;
use asterramp_testbed::plain_proxy::{InjectedFault, Policy, program};
use asterramp_testbed::scenario::Scenario;
use std::path::Path;
use test_case::test_case;

/// Trouble that brings each breach about: late hosts, mute ones, a drain, a cold start, bad clients.
const TROUBLE: &str = r#"
[[faults]]
at = "300ms"
for = "300ms"
kind = "host-restarts"
on = [3]
[[faults]]
at = "500ms"
for = "2500ms"
kind = "host-draining"
on = [0]
[[faults]]
at = "600ms"
for = "1200ms"
kind = "host-late"
on = [1, 2]
span = "400ms"
[[faults]]
at = "1s"
kind = "clients-bad"
[[faults]]
at = "2500ms"
for = "1500ms"
kind = "host-mute"
on = [0, 1, 2, 3]
"#;

fn rules_broken(policy: Policy, breaks: Option<InjectedFault>) -> Vec<Rule> {
    let rig = Path::new(env!("CARGO_BIN_EXE_asterramp-testbed"));
    let ran = help::play(
        help::scenario(TROUBLE),
        program(rig, policy, breaks),
        3,
        None,
    );
    assert!(ran.verdict.tally.sessions > 50, "{:?}", ran.verdict.tally);
    let mut rules: Vec<Rule> = ran.verdict.violations.iter().map(|b| b.rule).collect();
    for breach in ran.verdict.violations.iter().take(2) {
        println!(
            "{}: {}\n{}",
            breach.rule.text(),
            breach.what,
            breach.timeline.join("\n")
        );
    }
    rules.sort_unstable();
    rules.dedup();
    rules
}

#[test_case(InjectedFault::DoubleDial, Rule::NeverTwoDials)]
#[test_case(InjectedFault::AnswerTwice, Rule::NoSessionLost)]
#[test_case(InjectedFault::NoAnswer, Rule::NoSessionLost)]
#[test_case(InjectedFault::LateAnswer, Rule::NoSessionLost)]
#[test_case(InjectedFault::DialAfter, Rule::NoSessionLost)]
#[test_case(InjectedFault::ManyDials, Rule::NoSessionLost)]
#[test_case(InjectedFault::IgnoreDrains, Rule::DrainsKept)]
#[test_case(InjectedFault::EffectTwice, Rule::NoEffectTwice)]
#[test_case(InjectedFault::RefuseRun, Rule::NoEffectTwice)]
#[test_case(InjectedFault::FloodCold, Rule::NoColdServerPushedOver)]
#[test_case(InjectedFault::CutOff, Rule::NoSessionLost)]
#[test_case(InjectedFault::HoldLines, Rule::NoSessionLost)]
#[test_case(InjectedFault::MakeUp, Rule::NoSessionLost)]
#[test_case(InjectedFault::SendOn, Rule::NothingUnreadableSentOn)]
#[test_case(InjectedFault::Crash, Rule::ProxyStays)]
fn a_planted_breach_is_caught(breaks: InjectedFault, rule: Rule) {
    let found = rules_broken(Policy::RoundRobin, Some(breaks));
    assert!(found.contains(&rule), "{found:?}");
}

/// Utility is to decide; the plain proxy refuses nobody without a dial, or what is worth most.
#[test_case(Some(InjectedFault::RefuseWorth), true)]
#[test_case(None, false)]
fn what_is_worth_most_refused_first_is_seen(breaks: Option<InjectedFault>, seen: bool) {
    let rig = Path::new(env!("CARGO_BIN_EXE_asterramp-testbed"));
    let text = help::BASE
        .replace("set_up_work = \"60ms\"", "set_up_work = \"2ms\"")
        .replace("name = \"order\"", "name = \"order\"\nutility = 3.0")
        .replace("count = 2", "count = 2\nby_worth = true");
    let ran = help::play(
        Scenario::read(&text).unwrap(),
        program(rig, Policy::Random, breaks),
        3,
        None,
    );
    assert_eq!(
        ran.verdict
            .violations
            .iter()
            .any(|breach| breach.rule == Rule::RefusedInOrder),
        seen
    );
}

/// Hosts that answer within some ms, so that two dials are out at once for less than the times of peers are apart.
#[test_case(Some(InjectedFault::DoubleDial), true)]
#[test_case(None, false)]
fn a_breach_shorter_than_the_blur_is_seen(breaks: Option<InjectedFault>, seen: bool) {
    let rig = Path::new(env!("CARGO_BIN_EXE_asterramp-testbed"));
    let text = help::BASE.replace("set_up_work = \"60ms\"", "set_up_work = \"2ms\"");
    let silent = "[[faults]]\nat = \"1s\"\nkind = \"host-silent\"\non = [1]";
    let scenario = Scenario::read(&format!("{text}\n{silent}")).unwrap();
    let ran = help::play(scenario, program(rig, Policy::RoundRobin, breaks), 3, None);
    assert_eq!(
        ran.verdict
            .violations
            .iter()
            .any(|breach| breach.rule == Rule::NeverTwoDials),
        seen
    );
}

#[test]
fn a_proxy_without_a_door_is_told_from_one_that_answers() {
    let rig = Path::new(env!("CARGO_BIN_EXE_asterramp-testbed"));
    let fault = "[[faults]]\nat = \"1s\"\nkind = \"proxy-replaced\"\non = [0]";
    let scenario = help::scenario_with(fault, "callers = 1");
    let ran = help::play(scenario, program(rig, Policy::Random, None), 3, None);
    assert!(
        ran.verdict
            .violations
            .iter()
            .all(|breach| breach.rule == Rule::OperatorsAnswered)
    );
    assert!(
        ran.verdict.violations.len() > 5,
        "each call that was not answered counts"
    );
    let replaced: Vec<_> = ran
        .records
        .iter()
        .filter(|r| matches!(r.seen, Event::Replaced { yes: None, .. }))
        .collect();
    assert_eq!(replaced.len(), 1, "the second never says yes");
    let dead = ran
        .records
        .iter()
        .filter(|r| matches!(r.seen, Event::ProxyDead { proxy: 0 }))
        .count();
    assert_eq!(dead, 1, "so it is ended, and the first goes on");
}

#[test_case(Policy::Random)]
#[test_case(Policy::RoundRobin)]
#[test_case(Policy::LeastOpen)]
fn a_sound_proxy_is_clean(policy: Policy) {
    assert_eq!(rules_broken(policy, None), []);
}
