//! Six processes of the real proxy in three zones lose their power under load, with what they know on disk, and come back into
//! a world in which discovery, hosts and disks may be as before or not. The rules hold, no host is pushed over though nobody
//! tells that it is cold, and service returns.

mod help;

use asterramp_testbed::event_log::{ClientAnswer, Event};
use asterramp_testbed::scenario::Scenario;
use help::{PlayedRun, fault, is_up};
use test_case::test_case;

/// The base with three zones; the configuration's endpoint list is empty, so that what is known is on disk, or told.
fn scenario_text(faults: &str) -> String {
    let text = help::BASE
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

/// The power is gone from the fourth second to the fifth.
fn power_cut() -> String {
    fault("4s", Some("1s"), "power-cut", "")
}

/// Discovery says nothing from just before the power cut on.
fn silent_discovery(lasts: Option<&str>) -> String {
    fault("3900ms", lasts, "discovery-silent", "")
}

/// Sessions that came up between two seconds of the run.
fn sessions_up(run: &PlayedRun, from: u64, to: u64) -> usize {
    run.count_between(from, to, is_up)
}

fn play(faults: &str) -> PlayedRun {
    play_text(&scenario_text(faults))
}

fn play_text(text: &str) -> PlayedRun {
    let scenario = Scenario::read(text).unwrap();
    let run = help::play(scenario, help::real_proxy(), 3, None);
    run.assert_rules_held();
    // The sum of all proxies pushes nobody over, told or not.
    let collapsed = run.count(|event| matches!(event, Event::Collapsed { .. }));
    assert_eq!(collapsed, 0, "{collapsed} hosts were pushed over");
    run
}

#[test_case("", "normal"; "discovery is back with the power")]
#[test_case(&silent_discovery(None), "admitting"; "discovery never comes back")]
#[test_case(&silent_discovery(Some("4s")), "admitting"; "discovery comes back last")]
#[test_case(&(fault("1s", Some("300ms"), "host-restarts", "on = [4]") + &fault("4300ms", Some("4s"), "discovery-older", "")),
    "admitting"; "discovery has an older list")]
#[test_case(&fault("3900ms", None, "discovery-refuses", ""), "admitting"; "discovery refuses")]
fn service_returns_whatever_becomes_of_discovery(discovery: &str, stage: &str) {
    let run = play(&(power_cut() + discovery));
    let (before, after) = (sessions_up(&run, 1, 4), sessions_up(&run, 7, 10));
    assert!(
        after * 2 > before,
        "{before} came up in three seconds before, {after} in three after"
    );
    assert!(
        sessions_up(&run, 5, 7) > 10,
        "{} within two seconds",
        sessions_up(&run, 5, 7)
    );
    assert!(
        run.log_lines_with(&format!("stage stage={stage} ")) >= 6,
        "{stage}"
    );
}

#[test_case(&[0, 4, 8], 40; "a third of the hosts are gone")]
#[test_case(&[0, 1, 3, 4, 6, 8], 10; "two thirds are")]
fn hosts_that_did_not_come_back_get_no_sessions(gone: &[u32], least: usize) {
    let gone = format!("on = {gone:?}");
    let faults = silent_discovery(None) + &fault("3950ms", None, "host-gone", &gone);
    let run = play(&(power_cut() + &faults));
    assert!(
        sessions_up(&run, 6, 10) > least,
        "{} came up",
        sessions_up(&run, 6, 10)
    );
    // Nobody is dialled who has not answered.
    let dials = run.count_after(5, |event| matches!(event, Event::Dialled { .. }));
    let ups = sessions_up(&run, 5, 11);
    assert!(
        dials <= ups + ups / 5 + 5,
        "{dials} dials for {ups} sessions"
    );
}

#[test]
fn clients_are_rejected_at_once_where_no_host_comes_back() {
    let faults = silent_discovery(None)
        + &fault(
            "3950ms",
            None,
            "host-gone",
            "on = [0, 1, 2, 3, 4, 5, 6, 7, 8]",
        );
    let run = play(&(power_cut() + &faults));
    assert_eq!(sessions_up(&run, 6, 11), 0);
    let is_rejected = |event: &Event| {
        matches!(
            event,
            Event::Answered {
                answer: ClientAnswer::Busy(Some(_)),
                ..
            }
        )
    };
    assert!(run.count(is_rejected) > 0, "nobody was told when to come");
    assert!(run.log_lines_with("why=room") > 5);
}

#[test]
fn proxies_with_sound_snapshots_serve_until_discovery_is_back() {
    let faults = silent_discovery(Some("4s"))
        + &fault("4500ms", Some("1s"), "disk-spoilt", "on = [0, 2, 4]");
    let run = play(&(power_cut() + &faults));
    assert_eq!(
        run.log_lines_with("state-bad file="),
        6,
        "two files at three proxies"
    );
    assert!(sessions_up(&run, 5, 8) > 10, "{}", sessions_up(&run, 5, 8));
    assert!(
        sessions_up(&run, 9, 11) > 20,
        "{}",
        sessions_up(&run, 9, 11)
    );
}

/// Half of the proxies have nothing, and discovery never comes back: those that have told them.
#[test_case(""; "all can be asked")]
#[test_case(&fault("4900ms", Some("2s"), "proxy-stalls", "on = [1]"); "one that knows is stopped")]
#[test_case(&fault("4900ms", Some("1s"), "proxy-killed", "on = [3, 5]"); "two that know start later")]
fn a_proxy_without_a_snapshot_learns_endpoints_from_its_peers(more: &str) {
    let faults = silent_discovery(None)
        + &fault("4500ms", Some("1s"), "disk-spoilt", "on = [0, 2, 4]")
        + more;
    let text = scenario_text(&(power_cut() + &faults))
        .replace("stages = true", "stages = true\nasks = true");
    let run = play_text(&text);
    assert_eq!(
        run.log_lines_with("state-bad file="),
        6,
        "two files at three proxies"
    );
    // All six are through at the end, none by discovery.
    assert!(
        run.log_lines_with("stage stage=admitting ") >= 6,
        "{}",
        run.log_lines_with("stage stage=admitting ")
    );
    assert!(
        sessions_up(&run, 8, 11) > 40,
        "{}",
        sessions_up(&run, 8, 11)
    );
}

#[test_case(&fault("6s", Some("700ms"), "power-cut", ""); "again in the middle of the recovery")]
#[test_case(&fault("300ms", Some("500ms"), "power-cut", ""); "during the first save")]
#[test_case(&fault("4800ms", Some("3s"), "proxy-stalls", "on = [1]"); "a proxy stalls over it")]
#[test_case(&fault("4500ms", Some("4s"), "link-dropped-back", "on = [0, 3]"); "ways drop what hosts answer")]
fn a_further_fault_during_recovery_breaks_no_rule(more: &str) {
    let run = play(&(power_cut() + &silent_discovery(None) + more));
    assert!(
        sessions_up(&run, 8, 11) > 20,
        "{}",
        sessions_up(&run, 8, 11)
    );
}

/// More than a proxy asks at once: it goes on with the next as each answers, and serves meanwhile.
#[test]
fn all_hosts_are_found_where_they_are_more_than_are_asked_at_once() {
    let text = scenario_text(&(power_cut() + &silent_discovery(None)));
    let text = text
        .replace("count = 9", "count = 90")
        .replace("count = 6\n", "count = 3\n");
    let run = play_text(&text);
    assert!(run.log_lines_with("stage stage=normal why=\"its time is over\"") >= 3);
    assert!(
        sessions_up(&run, 8, 11) > 60,
        "{}",
        sessions_up(&run, 8, 11)
    );
}

#[test]
fn a_planned_restart_serves_at_once() {
    let run = play(&fault("3s", Some("500ms"), "proxy-leaves", "on = [0, 1]"));
    assert!(run.log_lines_with("stage stage=normal ") >= 8);
    assert_eq!(run.log_lines_with("stage stage=probing "), 0);
    assert!(
        run.outcome.verdict.tally.rejected * 10 < run.outcome.verdict.tally.sessions,
        "{:?}",
        run.outcome.verdict.tally
    );
}
