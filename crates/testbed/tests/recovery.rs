//! Six processes of the real proxy in three places lose their power under load, with what they know on disk, and come back into
//! a world in which discovery, hosts and disks may be as before or not. The rules hold, no host is pushed over though nobody
//! tells that it is cold, and service returns.

mod help;

use asterramp_testbed::event_log::{ClientAnswer, Event, HostReply};
use asterramp_testbed::run::RunOutcome;
use asterramp_testbed::scenario::Scenario;
use std::time::Duration;
use test_case::test_case;

/// The base with three places; what the configuration knows is nobody, so that what is known is on disk, or told.
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

fn fault(at: &str, lasts: Option<&str>, kind: &str, rest: &str) -> String {
    let lasts = lasts.map_or(String::new(), |lasts| format!("for = \"{lasts}\"\n"));
    format!("[[faults]]\nat = \"{at}\"\n{lasts}kind = \"{kind}\"\n{rest}\n")
}

/// The power is gone from the fourth second to the fifth.
fn cut() -> String {
    fault("4s", Some("1s"), "power-cut", "")
}

fn play(faults: &str) -> (RunOutcome, String) {
    play_it(Scenario::read(&scenario_text(faults)).unwrap())
}

fn play_it(scenario: Scenario) -> (RunOutcome, String) {
    let (ran, logs) = help::play_and_read(scenario, help::real(), 3, None);
    help::show(&ran);
    assert!(
        ran.verdict.violations.is_empty(),
        "faults: {:?}",
        ran.context.plan.faults
    );
    // The sum of all proxies pushes nobody over, told or not.
    let over = ran
        .records
        .iter()
        .filter(|r| matches!(r.seen, Event::Collapsed { .. }))
        .count();
    assert_eq!(over, 0, "{over} hosts were pushed over");
    (ran, logs)
}

/// Sessions brought up between two seconds of the run.
fn up(ran: &RunOutcome, from: u64, to: u64) -> usize {
    let begin = ran.context.plan_start().unwrap();
    let within = |at: Duration| {
        at >= begin + Duration::from_secs(from) && at < begin + Duration::from_secs(to)
    };
    let up = |seen: &Event| {
        matches!(
            seen,
            Event::Replied {
                reply: HostReply::Up,
                ..
            }
        )
    };
    ran.records
        .iter()
        .filter(|r| within(r.at) && up(&r.seen))
        .count()
}

fn count(logs: &str, what: &str) -> usize {
    logs.lines().filter(|line| line.contains(what)).count()
}

#[test_case("", "normal"; "discovery is back with the power")]
#[test_case(&fault("3900ms", None, "discovery-silent", ""), "admitting"; "discovery never comes back")]
#[test_case(&fault("3900ms", Some("4s"), "discovery-silent", ""), "admitting"; "discovery comes back last")]
#[test_case(&(fault("1s", Some("300ms"), "host-restarts", "on = [4]") + &fault("4300ms", Some("4s"), "discovery-older", "")),
    "admitting"; "discovery has an older list")]
#[test_case(&fault("3900ms", None, "discovery-refuses", ""), "admitting"; "discovery refuses")]
fn service_returns_whatever_becomes_of_discovery(discovery: &str, stage: &str) {
    let (ran, logs) = play(&(cut() + discovery));
    let (before, after) = (up(&ran, 1, 4), up(&ran, 7, 10));
    assert!(
        after * 2 > before,
        "{before} came up in three seconds before, {after} in three after"
    );
    assert!(up(&ran, 5, 7) > 10, "{} within two seconds", up(&ran, 5, 7));
    assert!(
        count(&logs, &format!("stage stage={stage} ")) >= 6,
        "{stage}"
    );
}

#[test_case(&[0, 4, 8], 40; "a third of the hosts are gone")]
#[test_case(&[0, 1, 3, 4, 6, 8], 10; "two thirds are")]
fn hosts_that_did_not_come_back_are_dropped(gone: &[u32], least: usize) {
    let gone = format!("on = {gone:?}");
    let faults =
        fault("3900ms", None, "discovery-silent", "") + &fault("3950ms", None, "host-gone", &gone);
    let (ran, _) = play(&(cut() + &faults));
    assert!(up(&ran, 6, 10) > least, "{} came up", up(&ran, 6, 10));
    // Nobody is dialled who has not answered.
    let at = ran.context.plan_start().unwrap() + Duration::from_secs(5);
    let dials = |r: &&asterramp_testbed::event_log::LoggedEvent| {
        r.at > at && matches!(r.seen, Event::Dialled { .. })
    };
    let dials = ran.records.iter().filter(dials).count();
    let ups = up(&ran, 5, 11);
    assert!(
        dials <= ups + ups / 5 + 5,
        "{dials} dials for {ups} sessions"
    );
}

#[test]
fn where_no_host_comes_back_each_is_told_at_once_to_come_later() {
    let faults = fault("3900ms", None, "discovery-silent", "")
        + &fault(
            "3950ms",
            None,
            "host-gone",
            "on = [0, 1, 2, 3, 4, 5, 6, 7, 8]",
        );
    let (ran, logs) = play(&(cut() + &faults));
    assert_eq!(up(&ran, 6, 11), 0);
    let busy = |seen: &Event| {
        matches!(
            seen,
            Event::Answered {
                answer: ClientAnswer::Busy(Some(_)),
                ..
            }
        )
    };
    assert!(ran.records.iter().any(|r| busy(&r.seen)));
    assert!(count(&logs, "why=room") > 5);
}

#[test]
fn where_half_of_the_disks_are_spoilt_the_others_serve_until_discovery_is_back() {
    let faults = fault("3900ms", Some("4s"), "discovery-silent", "")
        + &fault("4500ms", Some("1s"), "disk-spoilt", "on = [0, 2, 4]");
    let (ran, logs) = play(&(cut() + &faults));
    assert_eq!(
        count(&logs, "state-bad file="),
        6,
        "two files at three proxies"
    );
    assert!(up(&ran, 5, 8) > 10, "{}", up(&ran, 5, 8));
    assert!(up(&ran, 9, 11) > 20, "{}", up(&ran, 9, 11));
}

/// Half of the proxies have nothing, and discovery never comes back: those that have told them.
#[test_case(""; "all can be asked")]
#[test_case(&fault("4900ms", Some("2s"), "proxy-stalls", "on = [1]"); "one that knows is stopped")]
#[test_case(&fault("4900ms", Some("1s"), "proxy-killed", "on = [3, 5]"); "two that know start later")]
fn a_proxy_with_nothing_is_told_by_others_and_asks_whom_they_name(more: &str) {
    let faults = fault("3900ms", None, "discovery-silent", "")
        + &fault("4500ms", Some("1s"), "disk-spoilt", "on = [0, 2, 4]")
        + more;
    let text =
        scenario_text(&(cut() + &faults)).replace("stages = true", "stages = true\nasks = true");
    let (ran, logs) = play_it(Scenario::read(&text).unwrap());
    assert_eq!(
        count(&logs, "state-bad file="),
        6,
        "two files at three proxies"
    );
    // All six are through at the end, none by discovery.
    assert!(
        count(&logs, "stage stage=admitting ") >= 6,
        "{}",
        count(&logs, "stage stage=admitting ")
    );
    assert!(up(&ran, 8, 11) > 40, "{}", up(&ran, 8, 11));
}

#[test_case(&fault("6s", Some("700ms"), "power-cut", ""); "again in the middle of the recovery")]
#[test_case(&fault("300ms", Some("500ms"), "power-cut", ""); "during the first save")]
#[test_case(&fault("4800ms", Some("3s"), "proxy-stalls", "on = [1]"); "a proxy stalls over it")]
#[test_case(&fault("4500ms", Some("4s"), "link-dropped-back", "on = [0, 3]"); "ways drop what hosts answer")]
fn what_comes_on_top_breaks_no_rule(more: &str) {
    let (ran, _) = play(&(cut() + &fault("3900ms", None, "discovery-silent", "") + more));
    assert!(up(&ran, 8, 11) > 20, "{}", up(&ran, 8, 11));
}

/// More than a proxy asks at once: it goes on with the next as each answers, and serves meanwhile.
#[test]
fn more_hosts_than_are_asked_at_once_are_all_found() {
    let text = scenario_text(&(cut() + &fault("3900ms", None, "discovery-silent", "")));
    let text = text
        .replace("count = 9", "count = 90")
        .replace("count = 6\n", "count = 3\n");
    let (ran, logs) = play_it(Scenario::read(&text).unwrap());
    assert!(count(&logs, "stage stage=normal why=\"its time is over\"") >= 3);
    assert!(up(&ran, 8, 11) > 60, "{}", up(&ran, 8, 11));
}

#[test]
fn a_planned_restart_goes_on_at_once() {
    let (ran, logs) = play(&fault("3s", Some("500ms"), "proxy-leaves", "on = [0, 1]"));
    assert!(count(&logs, "stage stage=normal ") >= 8);
    assert_eq!(count(&logs, "stage stage=probing "), 0);
    assert!(
        ran.verdict.tally.rejected * 10 < ran.verdict.tally.sessions,
        "{:?}",
        ran.verdict.tally
    );
}
