//! Six processes of the real proxy in three places, and faults between them and their hosts and clients: whole places
//! die, fall silent, are cut off, come back in part; ways fail; processes stall. The rules hold, and what the proxies
//! make of the places is what happened.

mod help;

use asterramp_testbed::event_log::Event;
use asterramp_testbed::run::RunOutcome;
use asterramp_testbed::scenario::Scenario;
use std::time::Duration;
use test_case::test_case;

/// The base, grown to three places, with every kind of session.
fn scenario(faults: &str, proxies: &str) -> Scenario {
    scenario_of(faults, proxies, "0.04")
}

/// The same with sessions that take so much of a host.
fn scenario_of(faults: &str, proxies: &str, work: &str) -> Scenario {
    let text = help::BASE
        .replace("places = [\"a\", \"b\"]", "places = [\"a\", \"b\", \"c\"]")
        .replace("length = \"5s\"", "length = \"9s\"")
        .replace(
            "set_up_work = \"60ms\"",
            "set_up_work = \"2ms\"\nwarm_after = \"2s\"",
        )
        .replace("count = 4", "count = 9")
        // Loads at which places help each other out; where they need not, nobody goes elsewhere and nothing is learned.
        .replace("work = 0.002", &format!("work = {work}"))
        .replace("rate = 45.0", "rate = 60.0")
        // What is worth less is refused first.
        .replace("name = \"order\"", "name = \"order\"\nutility = 3.0")
        .replace(
            "count = 2",
            &format!("count = 6\nby_worth = true\n{proxies}"),
        );
    Scenario::read(&format!("{text}\n{faults}")).unwrap()
}

fn fault(at: &str, lasts: &str, kind: &str, rest: &str) -> String {
    format!("[[faults]]\nat = \"{at}\"\nfor = \"{lasts}\"\nkind = \"{kind}\"\n{rest}\n")
}

fn play(faults: &str, proxies: &str) -> (RunOutcome, String) {
    let (ran, logs) = help::play_and_read(scenario(faults, proxies), help::real(), 3, None);
    help::show(&ran);
    assert!(
        ran.verdict.violations.is_empty(),
        "faults: {:?}",
        ran.context.plan.faults
    );
    let tally = ran.verdict.tally;
    assert!(tally.sessions > 300 && tally.accepted > 200, "{tally:?}");
    (ran, logs)
}

/// Turns of a place to a state, over all proxies.
fn turns(logs: &str, place: &str, state: &str) -> usize {
    logs.lines()
        .filter(|line| line.contains(&format!("place place={place} state={state} ")))
        .count()
}

#[test_case("place-lost", "on = [1]\nspan = \"1s\""; "all die, and discovery notices")]
#[test_case("place-silent", "on = [1]"; "all fall silent")]
#[test_case("place-cut", "on = [1]"; "all live and nothing crosses the border")]
#[test_case("place-cut", "on = [1]\nhalf_open = true"; "connections from before are reset when it is back")]
#[test_case("place-lost", "on = [1]\nback = \"hosts\""; "only hosts come back")]
fn a_lost_place_is_given_up_and_used_again(kind: &str, rest: &str) {
    let (_, logs) = play(&fault("2s", "3s", kind, rest), "");
    let (lost, back) = (turns(&logs, "b", "lost"), turns(&logs, "b", "returning"));
    assert!(lost >= 3, "{lost} of the four proxies elsewhere gave it up");
    assert!(back >= 3, "{back} use it again");
    let others = turns(&logs, "a", "lost") + turns(&logs, "c", "lost");
    // Who is cut off from all others gives those up, and rightly.
    assert!(others == 0 || kind == "place-cut", "{others}");
}

#[test]
fn where_survivors_have_no_room_for_all_what_is_worth_less_is_refused_first() {
    let lost = fault("2s", "5s", "place-lost", "on = [1]\nspan = \"1s\"");
    let (ran, logs) = help::play_and_read(scenario_of(&lost, "", "0.07"), help::real(), 3, None);
    help::show(&ran);
    assert!(ran.verdict.violations.is_empty());
    let refused = |listener: &str| {
        let own = |line: &&str| {
            line.contains("room-short ") && line.contains(&format!("listener={listener} "))
        };
        logs.lines().filter(own).count()
    };
    // Of four sessions two are for feed, and one each for order, which is worth most, and ticket.
    let (feed, order, ticket) = (refused("feed"), refused("order"), refused("ticket"));
    assert!(feed + ticket > 40, "{feed}, {order}, {ticket}");
    assert!(
        order * 2 < ticket.min(feed / 2),
        "{feed}, {order}, {ticket}"
    );
    let spread: std::collections::BTreeSet<u64> = ran
        .records
        .iter()
        .filter_map(|r| match r.seen {
            Event::Answered {
                answer: asterramp_testbed::event_log::ClientAnswer::Busy(Some(ms)),
                ..
            } => Some(ms / 100),
            _ => None,
        })
        .collect();
    assert!(
        spread.len() > 8,
        "come-back times in {} tenths of a second",
        spread.len()
    );
}

#[test]
fn where_only_proxies_come_back_the_place_stays_lost() {
    let (_, logs) = play(
        &fault(
            "2s",
            "3s",
            "place-lost",
            "on = [1]\nback = \"proxies\"\nspan = \"1s\"",
        ),
        "",
    );
    assert!(turns(&logs, "b", "lost") >= 3);
    assert_eq!(turns(&logs, "b", "returning"), 0);
}

#[test]
fn a_place_that_is_lost_twice_within_ten_seconds_is_given_up_twice() {
    let faults = fault("1500ms", "2500ms", "place-cut", "on = [1]")
        + &fault("5s", "3s", "place-cut", "on = [1]");
    let (_, logs) = play(&faults, "");
    assert!(
        turns(&logs, "b", "lost") >= 5,
        "{} by four proxies",
        turns(&logs, "b", "lost")
    );
}

#[test]
fn a_place_that_flaps_breaks_no_rule() {
    play(
        &fault("1500ms", "6s", "place-flaps", "on = [2]\nspan = \"700ms\""),
        "",
    );
}

#[test]
fn a_proxy_that_was_stopped_over_a_loss_wakes_with_old_news() {
    let stalls = fault("1800ms", "3s", "proxy-stalls", "on = [0, 2]");
    let (ran, logs) = play(
        &(stalls + &fault("2s", "5s", "place-lost", "on = [1]\nspan = \"1s\"")),
        "",
    );
    assert!(turns(&logs, "b", "lost") >= 3);
    let woke = ran
        .records
        .iter()
        .filter(|r| matches!(r.seen, Event::ProxyStalls { stops: false, .. }));
    assert_eq!(woke.count(), 2);
}

#[test]
fn a_place_lost_during_a_roll_breaks_no_rule() {
    let (ran, _) = play(
        &fault("2s", "3s", "place-lost", "on = [1]"),
        "roll_at = \"1s\"",
    );
    // It ends well, or says where it stopped; proxies of the lost place cannot be asked.
    let rolled = ran.rolled.expect("a roll was asked for");
    assert!(rolled.is_ok() || rolled.is_err_and(|why| !why.to_string().is_empty()));
}

#[test]
fn everything_starts_anew_after_a_power_cut() {
    let (ran, _) = play(&fault("3s", "1s", "power-cut", ""), "");
    let since = |from: u64| {
        let began = ran.context.plan_start().unwrap() + Duration::from_secs(from);
        let up = |seen: &Event| {
            matches!(
                seen,
                Event::Replied {
                    reply: asterramp_testbed::event_log::HostReply::Up,
                    ..
                }
            )
        };
        ran.records
            .iter()
            .filter(move |r| r.at > began && up(&r.seen))
            .count()
    };
    assert!(
        since(6) > 20,
        "{} were brought up two seconds after it",
        since(6)
    );
}

#[test_case("link-dropped", "count = 3"; "bytes are dropped")]
#[test_case("link-dropped-there", "count = 3\nhalf_open = true"; "one way")]
#[test_case("link-dropped-back", "count = 3"; "the other way")]
#[test_case("link-refused", "count = 3"; "refused")]
#[test_case("link-reset", "count = 3"; "reset")]
#[test_case("link-delayed", "count = 6\nspan = \"80ms\""; "delayed")]
#[test_case("link-slowed", "count = 6\nmuch = 4000.0"; "slowed")]
#[test_case("link-dropped", "on = [0]\nway = \"client-proxy\""; "a proxy that its clients cannot reach")]
fn ways_that_fail_break_no_rule(kind: &str, rest: &str) {
    play(&fault("2s", "3s", kind, rest), "");
}

/// What must not read as a lost place.
#[test_case(&fault("2s", "4s", "host-silent", "on = [1]"); "one bad host")]
#[test_case(&fault("2s", "4s", "host-erring", "on = [1, 4, 7]"); "all hosts of a place err")]
#[test_case(&fault("2s", "4s", "link-dropped", "on = [0]\nto = [1, 4]"); "two of three hosts of a place out of reach")]
#[test_case(&fault("2s", "4s", "link-delayed", "count = 6\nspan = \"50ms\""); "slow ways")]
#[test_case(&fault("2s", "4s", "discovery-silent", ""); "discovery says nothing")]
#[test_case(&fault("2s", "4s", "link-dropped", "on = [0, 1, 2, 3, 4, 5]"); "each proxy is cut off from everybody")]
#[test_case(""; "nothing")]
fn what_only_looks_like_a_lost_place(faults: &str) {
    let (_, logs) = play(faults, "");
    for place in ["a", "b", "c"] {
        let lost = turns(&logs, place, "lost") + turns(&logs, place, "cut-off");
        assert_eq!(lost, 0, "{place} was given up {lost} times");
    }
}
