//! Zone failover of the real proxy: six processes in three zones, whose zones are lost, silent, partitioned or return in
//! part, whose links fail, and whose processes are suspended. The rules hold, and the proxies give a zone up only if it is
//! lost.

mod help;

use asterramp_testbed::event_log::{ClientAnswer, Event};
use asterramp_testbed::scenario::Scenario;
use help::{FinishedRun, is_session_accepted};
use std::collections::{BTreeMap, BTreeSet};
use test_case::test_case;

/// The base scenario with three zones, six proxies and nine hosts. `proxy_keys` are further keys of the table `proxies`.
fn scenario(faults: &str, proxy_keys: &str) -> Scenario {
    scenario_with_work(faults, proxy_keys, "0.04")
}

/// The scenario of the tests with the key `work` of all listeners given, which sets the load of a session.
fn scenario_with_work(faults: &str, proxy_keys: &str, work: &str) -> Scenario {
    let text = help::BASE_SCENARIO
        .replace("places = [\"a\", \"b\"]", "places = [\"a\", \"b\", \"c\"]")
        .replace("length = \"5s\"", "length = \"9s\"")
        .replace(
            "set_up_work = \"60ms\"",
            "set_up_work = \"2ms\"\nwarm_after = \"2s\"",
        )
        .replace("count = 4", "count = 9")
        // A load at which zones take sessions over from each other. At a lower load all sessions stay in their zone, and
        // proxies learn nothing about the other zones.
        .replace("work = 0.002", &format!("work = {work}"))
        .replace("rate = 45.0", "rate = 60.0")
        // Listeners with a smaller priority weight are rejected first.
        .replace("name = \"order\"", "name = \"order\"\nutility = 3.0")
        .replace(
            "count = 2",
            &format!("count = 6\nby_worth = true\n{proxy_keys}"),
        );
    Scenario::read(&format!("{text}\n{faults}")).unwrap()
}

/// The table of a fault that ends after `duration`.
fn timed_fault(at: &str, duration: &str, kind: &str, other_keys: &str) -> String {
    help::fault_table(at, Some(duration), kind, other_keys)
}

/// Runs the scenario of the tests with the real proxy, and checks that the rules hold and that enough sessions are
/// accepted.
fn run_with_faults(faults: &str, proxy_keys: &str) -> FinishedRun {
    let run = help::run_scenario(scenario(faults, proxy_keys), help::real_proxy(), 3, None);
    run.assert_rules_held();
    let tally = run.outcome.verdict.tally;
    assert!(tally.sessions > 300 && tally.accepted > 200, "{tally:?}");
    run
}

/// How often the proxies logged that a zone changed to a state.
fn count_zone_states(run: &FinishedRun, zone: &str, state: &str) -> usize {
    run.count_log_lines_with(&format!("place place={zone} state={state} "))
}

#[test_case("place-lost", "on = [1]\nspan = \"1s\""; "all processes end and discovery reports it")]
#[test_case("place-silent", "on = [1]"; "hosts are cut off and proxies are suspended")]
#[test_case("place-cut", "on = [1]"; "network partition")]
#[test_case("place-cut", "on = [1]\nhalf_open = true"; "network partition that resets open connections as it ends")]
#[test_case("place-lost", "on = [1]\nback = \"hosts\""; "only hosts return")]
fn a_lost_zone_is_given_up_and_used_again(kind: &str, other_keys: &str) {
    let run = run_with_faults(&timed_fault("2s", "3s", kind, other_keys), "");
    let (lost, returned) = (
        count_zone_states(&run, "b", "lost"),
        count_zone_states(&run, "b", "returning"),
    );
    assert!(
        lost >= 3,
        "{lost} of the four proxies in the other zones gave it up"
    );
    assert!(returned >= 3, "{returned} of them use it again");
    let others = count_zone_states(&run, "a", "lost") + count_zone_states(&run, "c", "lost");
    // In a partition, the proxies of zone b reach no host elsewhere, and are right to give the other zones up.
    assert!(others == 0 || kind == "place-cut", "{others}");
}

#[test]
fn sessions_of_less_weight_are_rejected_first_where_survivors_lack_capacity() {
    let lost = timed_fault("2s", "5s", "place-lost", "on = [1]\nspan = \"1s\"");
    let scenario = scenario_with_work(&lost, "", "0.07");
    let run = help::run_scenario(scenario, help::real_proxy(), 3, None);
    run.assert_rules_held();
    let by_reason = count_rejections_by_reason(&run.logs);
    let rejected = |listener: &str| -> usize {
        let listener = format!("listener={listener} ");
        let counts = by_reason.iter();
        let own_counts = counts.filter(|(reason, _)| reason.starts_with(&listener));
        own_counts.map(|(_, count)| count).sum()
    };
    // Half of the sessions are for feed, a quarter for order, which has the greatest weight, and a quarter for ticket.
    let (feed, order, ticket) = (rejected("feed"), rejected("order"), rejected("ticket"));
    assert!(
        feed + ticket > 40,
        "{feed}, {order}, {ticket}: {by_reason:?}"
    );
    assert!(
        order * 2 < ticket.min(feed / 2),
        "{feed}, {order}, {ticket}: {by_reason:?}"
    );
    let answers = run.outcome.events.iter().map(|record| &record.seen);
    let tenths: BTreeSet<u64> = answers.filter_map(retry_after_tenths).collect();
    assert!(
        tenths.len() > 8,
        "only {} different values of Retry-After, in tenths of a second",
        tenths.len()
    );
}

/// The rejections for lack of capacity that the proxies logged, by the listener and the reason as the log names them.
fn count_rejections_by_reason(logs: &str) -> BTreeMap<&str, usize> {
    let mut counts = BTreeMap::new();
    for line in logs.lines() {
        let details = line.split_once("room-short sess=").map(|(_, rest)| rest);
        if let Some((_id, listener_and_reason)) = details.and_then(|rest| rest.split_once(' ')) {
            *counts.entry(listener_and_reason).or_default() += 1;
        }
    }
    counts
}

/// The Retry-After of a rejection, in whole tenths of a second.
fn retry_after_tenths(event: &Event) -> Option<u64> {
    match event {
        Event::Answered {
            answer: ClientAnswer::Busy(Some(ms)),
            ..
        } => Some(ms / 100),
        _ => None,
    }
}

#[test]
fn a_zone_stays_lost_if_only_its_proxies_return() {
    let run = run_with_faults(
        &timed_fault(
            "2s",
            "3s",
            "place-lost",
            "on = [1]\nback = \"proxies\"\nspan = \"1s\"",
        ),
        "",
    );
    assert!(count_zone_states(&run, "b", "lost") >= 3);
    assert_eq!(count_zone_states(&run, "b", "returning"), 0);
}

#[test]
fn a_zone_that_is_lost_twice_within_ten_seconds_is_given_up_twice() {
    let faults = timed_fault("1500ms", "2500ms", "place-cut", "on = [1]")
        + &timed_fault("5s", "3s", "place-cut", "on = [1]");
    let run = run_with_faults(&faults, "");
    assert!(
        count_zone_states(&run, "b", "lost") >= 5,
        "four proxies gave it up {} times in all",
        count_zone_states(&run, "b", "lost")
    );
}

#[test]
fn a_zone_that_flaps_breaks_no_rule() {
    run_with_faults(
        &timed_fault("1500ms", "6s", "place-flaps", "on = [2]\nspan = \"700ms\""),
        "",
    );
}

#[test]
fn a_proxy_that_was_suspended_while_a_zone_was_lost_breaks_no_rule_when_it_resumes() {
    let suspensions = timed_fault("1800ms", "3s", "proxy-stalls", "on = [0, 2]");
    let run = run_with_faults(
        &(suspensions + &timed_fault("2s", "5s", "place-lost", "on = [1]\nspan = \"1s\"")),
        "",
    );
    assert!(count_zone_states(&run, "b", "lost") >= 3);
    let resumed =
        run.count_events(|event| matches!(event, Event::ProxyStalls { stops: false, .. }));
    assert_eq!(resumed, 2);
}

#[test]
fn a_zone_lost_during_a_roll_breaks_no_rule() {
    let run = run_with_faults(
        &timed_fault("2s", "3s", "place-lost", "on = [1]"),
        "roll_at = \"1s\"",
    );
    // The roll succeeds or reports why it stopped, as proxies of the lost zone do not answer admin requests.
    let rolled = run.outcome.roll_result.expect("the scenario has a roll");
    assert!(rolled.is_ok() || rolled.is_err_and(|why| !why.to_string().is_empty()));
}

#[test]
fn service_returns_after_a_power_cut() {
    let run = run_with_faults(&timed_fault("3s", "1s", "power-cut", ""), "");
    let accepted = run.count_events_after(6, is_session_accepted);
    assert!(
        accepted > 20,
        "{accepted} sessions accepted from two seconds after the power cut on"
    );
}

#[test_case("link-dropped", "count = 3"; "bytes are dropped")]
#[test_case("link-dropped-there", "count = 3\nhalf_open = true"; "bytes to hosts are dropped")]
#[test_case("link-dropped-back", "count = 3"; "bytes from hosts are dropped")]
#[test_case("link-refused", "count = 3"; "connections are refused")]
#[test_case("link-reset", "count = 3"; "connections are reset")]
#[test_case("link-delayed", "count = 6\nspan = \"80ms\""; "bytes are delayed")]
#[test_case("link-slowed", "count = 6\nmuch = 4000.0"; "links are slow")]
#[test_case("link-dropped", "on = [0]\nway = \"client-proxy\""; "clients cannot reach a proxy")]
fn link_faults_break_no_rule(kind: &str, other_keys: &str) {
    run_with_faults(&timed_fault("2s", "3s", kind, other_keys), "");
}

/// Faults that proxies must not take for the loss of a zone.
#[test_case(&timed_fault("2s", "4s", "host-silent", "on = [1]"); "a silent host")]
#[test_case(&timed_fault("2s", "4s", "host-erring", "on = [1, 4, 7]"); "all hosts of a zone answer errors")]
#[test_case(&timed_fault("2s", "4s", "link-dropped", "on = [0]\nto = [1, 4]"); "a proxy cannot reach two of the three hosts of a zone")]
#[test_case(&timed_fault("2s", "4s", "link-delayed", "count = 6\nspan = \"50ms\""); "slow links")]
#[test_case(&timed_fault("2s", "4s", "discovery-silent", ""); "discovery is silent")]
#[test_case(&timed_fault("2s", "4s", "link-dropped", "on = [0, 1, 2, 3, 4, 5]"); "each proxy is cut off from all hosts")]
#[test_case(""; "no fault")]
fn a_zone_is_not_given_up_for_lesser_faults(faults: &str) {
    let run = run_with_faults(faults, "");
    for zone in ["a", "b", "c"] {
        let lost = count_zone_states(&run, zone, "lost") + count_zone_states(&run, zone, "cut-off");
        assert_eq!(lost, 0, "{zone} was given up {lost} times");
    }
}
