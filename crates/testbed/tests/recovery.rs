//! Recovery of the real proxy from a power cut under load: six processes in three zones restart from their snapshots on
//! disk, while discovery, hosts or disks may have failed. The rules hold, no host collapses although no endpoint list says
//! that it is cold, and service returns.

mod help;

use asterramp_testbed::event_log::{ClientAnswer, Event};
use asterramp_testbed::scenario::Scenario;
use help::{FinishedRun, fault_table, is_session_accepted};
use test_case::test_case;

/// The base scenario with three zones. The endpoint list in the configuration is empty, so that proxies learn endpoints only
/// from their snapshots, from discovery or from each other.
fn scenario_text(faults: &str) -> String {
    let text = help::BASE_SCENARIO
        .replace("places = [\"a\", \"b\"]", "places = [\"a\", \"b\", \"c\"]")
        .replace("length = \"5s\"", "length = \"11s\"")
        .replace(
            "set_up_work = \"60ms\"",
            "set_up_work = \"2ms\"\nwarm_after = \"3s\"",
        )
        .replace("count = 4", "count = 9")
        .replace("work = 0.002", "work = 0.01")
        .replace("rate = 45.0", "rate = 60.0")
        .replace(
            "count = 2",
            "count = 6\nsaves = true\nstages = true\nknown = \"empty\"",
        );
    format!("{text}\n{faults}")
}

/// All hosts and proxies end at second 4 of the run and start again at second 5.
fn power_cut() -> String {
    fault_table("4s", Some("1s"), "power-cut", "")
}

/// Discovery answers nothing from 100 ms before the power cut; without a duration, until the end of the run.
fn silent_discovery(duration: Option<&str>) -> String {
    fault_table("3900ms", duration, "discovery-silent", "")
}

/// The number of sessions that hosts accepted between two seconds of the run.
fn accepted_sessions(run: &FinishedRun, from: u64, to: u64) -> usize {
    run.count_events_between(from, to, is_session_accepted)
}

/// Runs the scenario of the tests with further tables, and checks its rules.
fn run_with_faults(faults: &str) -> FinishedRun {
    run_scenario_text(&scenario_text(faults))
}

/// Runs a scenario with the real proxy, and checks that the rules hold and that no host collapses.
fn run_scenario_text(text: &str) -> FinishedRun {
    let scenario = Scenario::read(text).unwrap();
    let run = help::run_scenario(scenario, help::real_proxy(), 3, None);
    run.assert_rules_held();
    // Together the proxies overload no cold host, whether or not discovery reported its start.
    let collapsed = run.count_events(|event| matches!(event, Event::Collapsed { .. }));
    assert_eq!(collapsed, 0, "{collapsed} hosts collapsed");
    run
}

#[test_case("", "normal"; "discovery returns with the power")]
#[test_case(&silent_discovery(None), "admitting"; "discovery stays silent")]
#[test_case(&silent_discovery(Some("4s")), "admitting"; "discovery returns last")]
#[test_case(&(fault_table("1s", Some("300ms"), "host-restarts", "on = [4]") + &fault_table("4300ms", Some("4s"), "discovery-older", "")),
    "admitting"; "discovery sends an older list")]
#[test_case(&fault_table("3900ms", None, "discovery-refuses", ""), "admitting"; "discovery refuses")]
fn service_returns_in_each_state_of_discovery(discovery: &str, stage: &str) {
    let run = run_with_faults(&(power_cut() + discovery));
    let (before, after) = (
        accepted_sessions(&run, 1, 4),
        accepted_sessions(&run, 7, 10),
    );
    assert!(
        after * 2 > before,
        "{before} sessions accepted in the seconds 1 to 4, {after} in the seconds 7 to 10"
    );
    assert!(
        accepted_sessions(&run, 5, 7) > 10,
        "{} sessions accepted within two seconds of the restart",
        accepted_sessions(&run, 5, 7)
    );
    assert!(
        run.count_log_lines_with(&format!("stage stage={stage} ")) >= 6,
        "{stage}"
    );
}

#[test_case(&[0, 4, 8], 40; "a third of the hosts are gone")]
#[test_case(&[0, 1, 3, 4, 6, 8], 10; "two thirds of the hosts are gone")]
fn hosts_that_do_not_return_get_no_sessions(gone: &[u32], min_accepted: usize) {
    let gone = format!("on = {gone:?}");
    let faults = silent_discovery(None) + &fault_table("3950ms", None, "host-gone", &gone);
    let run = run_with_faults(&(power_cut() + &faults));
    assert!(
        accepted_sessions(&run, 6, 10) > min_accepted,
        "{} sessions accepted",
        accepted_sessions(&run, 6, 10)
    );
    // A host that answered no probe gets no dial, so that almost every dial is accepted.
    let dials = run.count_events_after(5, |event| matches!(event, Event::Dialled { .. }));
    let accepted = accepted_sessions(&run, 5, 11);
    assert!(
        dials <= accepted + accepted / 5 + 5,
        "{dials} dials for {accepted} accepted sessions"
    );
}

#[test]
fn clients_are_rejected_if_no_host_returns() {
    let faults = silent_discovery(None)
        + &fault_table(
            "3950ms",
            None,
            "host-gone",
            "on = [0, 1, 2, 3, 4, 5, 6, 7, 8]",
        );
    let run = run_with_faults(&(power_cut() + &faults));
    assert_eq!(accepted_sessions(&run, 6, 11), 0);
    let is_rejected = |event: &Event| {
        matches!(
            event,
            Event::Answered {
                answer: ClientAnswer::Busy(Some(_)),
                ..
            }
        )
    };
    assert!(
        run.count_events(is_rejected) > 0,
        "no rejection has a Retry-After"
    );
    assert!(run.count_log_lines_with("why=room") > 5);
}

#[test]
fn proxies_with_valid_snapshots_serve_until_discovery_returns() {
    let faults = silent_discovery(Some("4s"))
        + &fault_table("4500ms", Some("1s"), "disk-spoilt", "on = [0, 2, 4]");
    let run = run_with_faults(&(power_cut() + &faults));
    assert_eq!(
        run.count_log_lines_with("state-bad file="),
        6,
        "two files at three proxies"
    );
    assert!(
        accepted_sessions(&run, 5, 8) > 10,
        "{}",
        accepted_sessions(&run, 5, 8)
    );
    assert!(
        accepted_sessions(&run, 9, 11) > 20,
        "{}",
        accepted_sessions(&run, 9, 11)
    );
}

/// Half of the proxies lose their snapshots and discovery stays silent: the proxies with snapshots send them the endpoints.
#[test_case(""; "all peers answer")]
#[test_case(&fault_table("4900ms", Some("2s"), "proxy-stalls", "on = [1]"); "a peer with a snapshot is suspended")]
#[test_case(&fault_table("4900ms", Some("1s"), "proxy-killed", "on = [3, 5]"); "two peers with snapshots start later")]
fn a_proxy_without_a_snapshot_learns_endpoints_from_its_peers(further_fault: &str) {
    let faults = silent_discovery(None)
        + &fault_table("4500ms", Some("1s"), "disk-spoilt", "on = [0, 2, 4]")
        + further_fault;
    let text = scenario_text(&(power_cut() + &faults))
        .replace("stages = true", "stages = true\nasks = true");
    let run = run_scenario_text(&text);
    assert_eq!(
        run.count_log_lines_with("state-bad file="),
        6,
        "two files at three proxies"
    );
    // All six proxies admit sessions at the end, without discovery.
    assert!(
        run.count_log_lines_with("stage stage=admitting ") >= 6,
        "{}",
        run.count_log_lines_with("stage stage=admitting ")
    );
    assert!(
        accepted_sessions(&run, 8, 11) > 40,
        "{}",
        accepted_sessions(&run, 8, 11)
    );
}

#[test_case(&fault_table("6s", Some("700ms"), "power-cut", ""); "second power cut during the recovery")]
#[test_case(&fault_table("300ms", Some("500ms"), "power-cut", ""); "power cut during the first save")]
#[test_case(&fault_table("4800ms", Some("3s"), "proxy-stalls", "on = [1]"); "a proxy is suspended during the power cut")]
#[test_case(&fault_table("4500ms", Some("4s"), "link-dropped-back", "on = [0, 3]"); "links drop what hosts answer")]
fn a_further_fault_during_recovery_breaks_no_rule(further_fault: &str) {
    let run = run_with_faults(&(power_cut() + &silent_discovery(None) + further_fault));
    assert!(
        accepted_sessions(&run, 8, 11) > 20,
        "{}",
        accepted_sessions(&run, 8, 11)
    );
}

/// A proxy limits its concurrent probes: it probes the next host as each one answers, and serves meanwhile.
#[test]
fn a_warm_start_probes_more_hosts_than_are_probed_at_once() {
    let text = scenario_text(&(power_cut() + &silent_discovery(None)));
    let text = text
        .replace("count = 9", "count = 90")
        .replace("count = 6\n", "count = 3\n");
    let run = run_scenario_text(&text);
    assert!(run.count_log_lines_with("stage stage=normal why=\"its time is over\"") >= 3);
    assert!(
        accepted_sessions(&run, 8, 11) > 60,
        "{}",
        accepted_sessions(&run, 8, 11)
    );
}

#[test]
fn proxies_serve_at_once_after_a_graceful_restart() {
    let run = run_with_faults(&fault_table(
        "3s",
        Some("500ms"),
        "proxy-leaves",
        "on = [0, 1]",
    ));
    assert!(run.count_log_lines_with("stage stage=normal ") >= 8);
    assert_eq!(run.count_log_lines_with("stage stage=probing "), 0);
    assert!(
        run.outcome.verdict.tally.rejected * 10 < run.outcome.verdict.tally.sessions,
        "{:?}",
        run.outcome.verdict.tally
    );
}
