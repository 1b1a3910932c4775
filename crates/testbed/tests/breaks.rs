//! The judge against the plain proxy: each injected fault is reported as a violation of its rule, and a plain proxy without
//! a fault breaks no rule.

mod help;

use asterramp_testbed::event_log::Event;
use asterramp_testbed::judge::Rule;
use asterramp_testbed::plain_proxy::{InjectedFault, Policy};
use asterramp_testbed::scenario::Scenario;
use help::FinishedRun;
use test_case::test_case;

/// Faults under which each injected fault causes its violation: a cold start, a drain, hosts that answer late, misbehaving
/// clients, and hosts that do not answer session requests.
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

/// The rules that the plain proxy breaks, each once, in the order of [`Rule`].
fn broken_rules(policy: Policy, fault: Option<InjectedFault>) -> Vec<Rule> {
    let proxy = help::plain_proxy(policy, fault);
    let run = help::run_scenario(help::base_with_tables(FAULTS), proxy, 3, None);
    run.print_violations();
    let verdict = &run.outcome.verdict;
    assert!(verdict.tally.sessions > 50, "{:?}", verdict.tally);
    let mut rules: Vec<Rule> = verdict
        .violations
        .iter()
        .map(|violation| violation.rule)
        .collect();
    rules.sort_unstable();
    rules.dedup();
    rules
}

/// The base scenario with hosts that set up a session in 2 ms instead of 60 ms.
fn base_with_fast_hosts() -> String {
    help::BASE_SCENARIO.replace("set_up_work = \"60ms\"", "set_up_work = \"2ms\"")
}

fn has_violation(run: &FinishedRun, rule: Rule) -> bool {
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
fn an_injected_fault_is_reported_as_a_violation_of_its_rule(fault: InjectedFault, rule: Rule) {
    let broken = broken_rules(Policy::RoundRobin, Some(fault));
    assert!(broken.contains(&rule), "{broken:?}");
}

/// The scenario demands rejection by priority weight. Without a fault the plain proxy rejects no session that it has not
/// dialled; with the fault it rejects those of the greatest weight first.
#[test_case(Some(InjectedFault::RefuseWorth), true)]
#[test_case(None, false)]
fn rejections_in_the_wrong_order_of_priority_are_reported(
    fault: Option<InjectedFault>,
    reported: bool,
) {
    let text = base_with_fast_hosts()
        .replace("name = \"order\"", "name = \"order\"\nutility = 3.0")
        .replace("count = 2", "count = 2\nby_worth = true");
    let proxy = help::plain_proxy(Policy::Random, fault);
    let run = help::run_scenario(Scenario::read(&text).unwrap(), proxy, 3, None);
    assert_eq!(has_violation(&run, Rule::RejectedByPriority), reported);
}

/// Hosts answer so fast that two concurrent dials overlap by less than the tolerance for the times that peers record.
#[test_case(Some(InjectedFault::DoubleDial), true)]
#[test_case(None, false)]
fn a_violation_shorter_than_the_tolerance_is_reported(
    fault: Option<InjectedFault>,
    reported: bool,
) {
    let silent = help::fault_table("1s", None, "host-silent", "on = [1]");
    let text = format!("{}\n{silent}", base_with_fast_hosts());
    let proxy = help::plain_proxy(Policy::RoundRobin, fault);
    let run = help::run_scenario(Scenario::read(&text).unwrap(), proxy, 3, None);
    assert_eq!(has_violation(&run, Rule::NoConcurrentDials), reported);
}

#[test]
fn a_proxy_that_never_answers_operators_is_reported_and_its_hot_restart_is_abandoned() {
    let fault = help::fault_table("1s", None, "proxy-replaced", "on = [0]");
    let scenario = help::base_with_proxy_keys(&fault, "callers = 1");
    let run = help::run_scenario(scenario, help::plain_proxy(Policy::Random, None), 3, None);
    let violations = &run.outcome.verdict.violations;
    assert!(
        violations
            .iter()
            .all(|violation| violation.rule == Rule::OperatorsAnsweredInTime)
    );
    assert!(
        violations.len() > 5,
        "each metrics request without an answer is a violation"
    );
    let never_ready = run.count_events(|event| matches!(event, Event::Replaced { yes: None, .. }));
    assert_eq!(never_ready, 1, "the successor never becomes ready");
    let ended = run.count_events(|event| matches!(event, Event::ProxyDead { proxy: 0 }));
    assert_eq!(
        ended, 1,
        "the successor is ended, and the predecessor continues"
    );
}

#[test_case(Policy::Random)]
#[test_case(Policy::RoundRobin)]
#[test_case(Policy::LeastOpen)]
fn a_plain_proxy_without_a_fault_breaks_no_rule(policy: Policy) {
    assert_eq!(broken_rules(policy, None), []);
}
