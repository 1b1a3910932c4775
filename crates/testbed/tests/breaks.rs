//! The plain proxy breaks one rule at a time, and the judge must report that one; without a fault it breaks none.

mod help;

use asterramp_testbed::event_log::Event;
use asterramp_testbed::judge::Rule;
use asterramp_testbed::plain_proxy::{InjectedFault, Policy};
use asterramp_testbed::scenario::Scenario;
use help::PlayedRun;
use test_case::test_case;

/// Faults that bring each violation about: late hosts, mute ones, a drain, a cold start, misbehaving clients.
const FAULTS: &str = r#"
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

/// The rules that the judge finds broken.
fn broken_rules(policy: Policy, fault: Option<InjectedFault>) -> Vec<Rule> {
    let proxy = help::plain_proxy(policy, fault);
    let run = help::play(help::scenario(FAULTS), proxy, 3, None);
    run.show_violations();
    let verdict = &run.outcome.verdict;
    assert!(verdict.tally.sessions > 50, "{:?}", verdict.tally);
    let mut rules: Vec<Rule> = verdict.violations.iter().map(|v| v.rule).collect();
    rules.sort_unstable();
    rules.dedup();
    rules
}

/// Hosts that answer within some ms, in place of the base's.
fn base_with_fast_hosts() -> String {
    help::BASE.replace("set_up_work = \"60ms\"", "set_up_work = \"2ms\"")
}

fn has_violation(run: &PlayedRun, rule: Rule) -> bool {
    let violations = run.outcome.verdict.violations.iter();
    violations
        .map(|violation| violation.rule)
        .any(|broken| broken == rule)
}

#[test_case(InjectedFault::DoubleDial, Rule::NoConcurrentDials)]
#[test_case(InjectedFault::AnswerTwice, Rule::NoSessionLost)]
#[test_case(InjectedFault::NoAnswer, Rule::NoSessionLost)]
#[test_case(InjectedFault::LateAnswer, Rule::NoSessionLost)]
#[test_case(InjectedFault::DialAfter, Rule::NoSessionLost)]
#[test_case(InjectedFault::ManyDials, Rule::NoSessionLost)]
#[test_case(InjectedFault::IgnoreDrains, Rule::DrainsRespected)]
#[test_case(InjectedFault::EffectTwice, Rule::NoDuplicateEffect)]
#[test_case(InjectedFault::RefuseRun, Rule::NoDuplicateEffect)]
#[test_case(InjectedFault::FloodCold, Rule::NoColdHostOverloaded)]
#[test_case(InjectedFault::CutOff, Rule::NoSessionLost)]
#[test_case(InjectedFault::HoldLines, Rule::NoSessionLost)]
#[test_case(InjectedFault::MakeUp, Rule::NoSessionLost)]
#[test_case(InjectedFault::SendOn, Rule::NoInvalidLineForwarded)]
#[test_case(InjectedFault::Crash, Rule::NoUnexpectedExit)]
fn an_injected_fault_is_reported_as_the_rule_that_it_breaks(fault: InjectedFault, rule: Rule) {
    let found = broken_rules(Policy::RoundRobin, Some(fault));
    assert!(found.contains(&rule), "{found:?}");
}

/// Priority weight is to decide; the plain proxy rejects nobody without a dial, or those of the most weight.
#[test_case(Some(InjectedFault::RefuseWorth), true)]
#[test_case(None, false)]
fn rejections_of_the_most_weight_first_are_reported(fault: Option<InjectedFault>, reported: bool) {
    let text = base_with_fast_hosts()
        .replace("name = \"order\"", "name = \"order\"\nutility = 3.0")
        .replace("count = 2", "count = 2\nby_worth = true");
    let proxy = help::plain_proxy(Policy::Random, fault);
    let run = help::play(Scenario::read(&text).unwrap(), proxy, 3, None);
    assert_eq!(has_violation(&run, Rule::RejectedByPriority), reported);
}

/// Two dials are out at once for less than the times of peers are apart.
#[test_case(Some(InjectedFault::DoubleDial), true)]
#[test_case(None, false)]
fn a_violation_shorter_than_the_tolerance_is_reported(
    fault: Option<InjectedFault>,
    reported: bool,
) {
    let silent = help::fault("1s", None, "host-silent", "on = [1]");
    let text = format!("{}\n{silent}", base_with_fast_hosts());
    let proxy = help::plain_proxy(Policy::RoundRobin, fault);
    let run = help::play(Scenario::read(&text).unwrap(), proxy, 3, None);
    assert_eq!(has_violation(&run, Rule::NoConcurrentDials), reported);
}

#[test]
fn a_proxy_that_never_answers_operators_is_reported_and_its_hot_restart_given_up() {
    let fault = help::fault("1s", None, "proxy-replaced", "on = [0]");
    let scenario = help::scenario_with(&fault, "callers = 1");
    let run = help::play(scenario, help::plain_proxy(Policy::Random, None), 3, None);
    let violations = &run.outcome.verdict.violations;
    assert!(
        violations
            .iter()
            .all(|violation| violation.rule == Rule::OperatorsAnsweredInTime)
    );
    assert!(
        violations.len() > 5,
        "each call that was not answered counts"
    );
    let unready = run.count(|event| matches!(event, Event::Replaced { yes: None, .. }));
    assert_eq!(unready, 1, "the second is never ready");
    let dead = run.count(|event| matches!(event, Event::ProxyDead { proxy: 0 }));
    assert_eq!(dead, 1, "so it is ended, and the first goes on");
}

#[test_case(Policy::Random)]
#[test_case(Policy::RoundRobin)]
#[test_case(Policy::LeastOpen)]
fn a_sound_proxy_breaks_no_rule(policy: Policy) {
    assert_eq!(broken_rules(policy, None), []);
}
