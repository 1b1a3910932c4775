//! The parts that do no I/O: scenarios, plans, the load of a host, the judge.
#![allow(
    missing_docs,
    unreachable_pub,
    missing_debug_implementations,
    rust_2018_idioms
)] // Not yet brought to the workspace lints.
#![allow(clippy::too_many_lines, clippy::cognitive_complexity)] // Not yet brought to the workspace lints.

mod help;

use asterramp_testbed::compare::Difference;
use asterramp_testbed::event_log::{
    ClientAnswer, ConnectionEnd, Event, HostReply, HostState, LoggedEvent,
};
use asterramp_testbed::journal::Journal;
use asterramp_testbed::judge::{JudgeSettings, Rule, Verdict, judge};
use asterramp_testbed::load_model::{LoadModel, LoadModelSettings, SetUpOutcome};
use asterramp_testbed::log_summary::LogSummary;
use asterramp_testbed::plan::{Plan, PlannedFault};
use asterramp_testbed::scenario::{RetrySafety, RetryScope, Scenario};
use asterramp_testbed::shrink::{drawn, fewest, written};
use std::time::Duration;
use test_case::test_case;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test_case("length = \"5s\"", "length = \"5 parsecs\"", &["length", "ms, s or m"]; "a time without unit")]
#[test_case("length = \"5s\"", "length = \"5s\"\nlenght = 1", &["lenght", "expected one of", "length"]; "unknown key")]
#[test_case("count = 4", "count = 0", &["fleet.hosts, their number", "1 to"]; "no hosts")]
#[test_case("count = 4", "count = 4\nplace = \"c\"", &["fleet.hosts.0.place", "\"a\", \"b\""]; "unknown place")]
#[test_case("kind = \"repeatable\"", "kind = \"often\"", &["often", "`repeatable`"]; "unknown kind")]
#[test_case("rate = 45.0", "rate = -1", &["traffic.rate", "0 to"]; "negative rate")]
#[test_case("name = \"acme\"", "name = \"a b\"", &["members.0.name", "letters"]; "a name with a blank")]
#[test_case("name = \"order\"", "name = \"feed\"", &["listeners.1.name", "its own"]; "a name twice")]
#[test_case("[platform]", "[[faults]]\nat = \"1s\"\nkind = \"host-mute\"\non = [4]\n[platform]", &["faults.0.on", "1 to 4"]; "a fault on no host")]
#[test_case("[platform]", "[[faults]]\nat = \"1s\"\nkind = \"host-odd\"\n[platform]", &["host-odd", "`host-mute`"]; "unknown fault")]
#[test_case("[[members]]\nname = \"acme\"", "[[members]]\nname = \"acme\"\nportion = 0", &["members", "one must be more"]; "no portion")]
fn a_bad_scenario_is_told_with_its_key_and_what_is_allowed(from: &str, to: &str, says: &[&str]) {
    assert!(help::BASE.contains(from));
    let error = Scenario::read(&help::BASE.replacen(from, to, 1)).unwrap_err();
    assert!(says.iter().all(|word| error.contains(word)), "{error}");
}

#[test]
fn the_same_seed_gives_the_same_plan_and_chaos_only_adds_faults() {
    let scenario = help::scenario("");
    let plan = Plan::new(&scenario, 5, None);
    assert_eq!(plan, Plan::new(&scenario, 5, None));
    assert_ne!(plan.clients, Plan::new(&scenario, 6, None).clients);
    let chaos = Plan::new(&scenario, 5, Some(1));
    assert_eq!((&chaos.clients, &chaos.hosts), (&plan.clients, &plan.hosts));
    assert!(chaos.faults.len() >= 5 && chaos == Plan::new(&scenario, 5, Some(1)));
    assert_ne!(chaos.faults, Plan::new(&scenario, 5, Some(2)).faults);
}

#[test]
fn arrivals_follow_their_curve_and_lives_their_median() {
    let more = "[[faults]]\nat = \"1s\"\nkind = \"clients-bad\"";
    let text = format!("{}\n{more}", help::BASE)
        .replace("length = \"5s\"", "length = \"300s\"")
        .replace(
            "rate = 45.0",
            "rate = 45.0\ncurve = [{ at = \"100s\", times = 1.0 }, { at = \"200s\", times = 3.0 }]",
        );
    let plan = Plan::new(&Scenario::read(&text).unwrap(), 1, None);
    let between = |from: u64, to: u64| {
        let inside = plan
            .clients
            .iter()
            .filter(|c| c.at >= ms(from * 1000) && c.at < ms(to * 1000));
        inside.count() as f64 / (to - from) as f64
    };
    for (from, to, rate) in [(0, 100, 45.0), (100, 200, 90.0), (200, 299, 135.0)] {
        assert!(
            (between(from, to) / rate - 1.0).abs() < 0.06,
            "{from}: {}",
            between(from, to)
        );
    }
    let mut lives: Vec<Duration> = plan.clients.iter().map(|c| c.life).collect();
    lives.sort_unstable();
    assert!((lives[lives.len() / 2].as_secs_f64() - 2.0).abs() < 0.1);
}

fn nature() -> LoadModelSettings {
    LoadModelSettings {
        speed: 1.0,
        places: 50,
        group_cost: 0.1,
        cold_share: 0.25,
        warm_after: ms(8_000),
        tip_multiple: 4.0,
        overload_for: ms(1_000),
        set_up_work: ms(20),
        message_time: ms(5),
        report_age: ms(500),
        report_noise: 0.0,
    }
}

#[test]
fn a_host_shares_its_speed_and_each_group_pays_once() {
    let mut model = LoadModel::new(nature(), 1);
    for group in [Some(1), Some(1), Some(2), None] {
        model.connect(ms(0), group, 0.05);
    }
    assert!((model.asked(ms(0)) - 0.4).abs() < 1e-9);
    let light = model.message(ms(10));
    model.factor = 0.42;
    assert!(
        model.message(ms(20)) > light * 5,
        "near its limit messages take long"
    );
    let queued = (
        model.message(ms(1_020)),
        model.factor = 0.2,
        model.message(ms(3_020)),
    );
    assert!(
        queued.2 > queued.0 + ms(1_900),
        "over it work piles up: {queued:?}"
    );
    model.factor = 1.0;
    model.disconnect(ms(3_020), Some(1), 0.05);
    assert!(
        (model.asked(ms(3_020)) - 0.35).abs() < 1e-9,
        "the group is still held"
    );
    model.disconnect(ms(3_020), Some(1), 0.05);
    assert!((model.asked(ms(3_020)) - 0.2).abs() < 1e-9);
}

#[test]
fn a_cold_host_collapses_by_too_many_set_ups_and_a_warm_one_does_not() {
    let collapses = |cold: bool, every: u64| {
        let mut model = LoadModel::new(nature(), 1);
        if cold {
            model.restart(ms(0));
        }
        (0..200).any(|n| {
            let taken = model.arrive(ms(n * every), n);
            model.set_up_over();
            taken == SetUpOutcome::Collapsed
        })
    };
    // Four times a quarter of its speed is fifty set-ups of 20 ms a second.
    assert!(collapses(true, 10) && !collapses(true, 25) && !collapses(false, 10));
}

#[test]
fn reports_are_as_old_as_they_are_told_to_be_and_places_run_out() {
    let mut model = LoadModel::new(nature(), 1);
    (0..50).for_each(|n| model.connect(ms(n * 10), None, 0.0));
    assert_eq!(model.report(ms(600)).outstanding, 10);
    assert_eq!(model.report(ms(2_000)).outstanding, 50);
    assert_eq!(model.arrive(ms(2_000), 1), SetUpOutcome::Full);
}

/// Records of session 1, asked of proxy 0 at 100 ms with a wait of 1 s, and what else a case tells.
fn verdict(listener: u8, seen: Vec<(u64, Event)>) -> Verdict {
    let asked = Event::Asked {
        id: 1,
        proxy: 0,
        place: 0,
        listener,
        wait: ms(1_000),
        inherited: false,
    };
    let mut records = vec![LoggedEvent {
        at: ms(100),
        seen: asked,
    }];
    records.extend(
        seen.into_iter()
            .map(|(at, seen)| LoggedEvent { at: ms(at), seen }),
    );
    records.push(LoggedEvent {
        at: ms(9_000),
        seen: Event::HostUp { host: 9 },
    });
    judge(&records, &terms())
}

fn terms() -> JudgeSettings {
    JudgeSettings {
        listeners: vec![
            (RetrySafety::Repeatable, RetryScope::All, ms(0)),
            (RetrySafety::OnceOnly, RetryScope::All, ms(0)),
            (RetrySafety::Referenced, RetryScope::Zone, ms(600)),
            (RetrySafety::Referenced, RetryScope::All, ms(600)),
        ],
        hosts: vec![(0, 0), (1, 0), (0, 1)],
        drain_grace: ms(1_000),
        slack: ms(66),
        blur: ms(50),
        max_dials: 2,
        figures: true,
        order: None,
    }
}

fn still_out(dial: u32, earlier: u32) -> Event {
    Event::StillOut {
        id: 1,
        host: 1,
        dial,
        earlier,
    }
}

fn dialled(dial: u32, host: u16) -> Event {
    Event::Dialled {
        id: 1,
        host,
        dial,
        inherited: false,
    }
}

fn replied(dial: u32, reply: HostReply) -> Event {
    Event::Replied { id: 1, dial, reply }
}

fn over(dial: u32) -> Event {
    Event::DialOver {
        id: 1,
        dial,
        by_host: false,
    }
}

fn answered(answer: ClientAnswer) -> Event {
    Event::Answered { id: 1, answer }
}

fn told(standing: HostState) -> Event {
    Event::HostListed {
        proxy: 0,
        host: 0,
        standing,
        started: None,
    }
}

/// Forty sessions come up at proxy 0, one each 10 ms from 1 s on, and stand until 9 s; a process beside it serves alone
/// from `alone` on, if any; at `at` an operator hears `figures`.
#[test_case(None, 3_000, 10, Some((40, 40)), None; "true")]
#[test_case(None, 3_000, 10, Some((37, 44)), None; "within the bounds")]
#[test_case(None, 1_700, 10, Some((12, 12)), None; "half a second old")]
#[test_case(None, 3_000, 10, Some((36, 40)), Some(Rule::FiguresTrue); "too few")]
#[test_case(None, 3_000, 10, Some((44, 40)), Some(Rule::FiguresTrue); "too many")]
#[test_case(None, 3_000, 10, Some((40, 35)), Some(Rule::FiguresTrue); "fewer in flight")]
#[test_case(None, 3_000, 10, Some((40, 45)), Some(Rule::FiguresTrue); "more in flight")]
#[test_case(None, 3_000, 1_200, Some((40, 40)), Some(Rule::OperatorsAnswered); "late")]
#[test_case(None, 3_000, 10, None, Some(Rule::OperatorsAnswered); "no figures")]
#[test_case(Some(2_000), 3_000, 10, Some((0, 40)), None; "another process counts from nothing")]
#[test_case(Some(2_000), 3_000, 10, Some((0, 20)), Some(Rule::FiguresTrue); "another process lost some")]
#[test_case(Some(2_000), 3_000, 10, Some((40, 40)), Some(Rule::FiguresTrue); "another process counts what the first did")]
#[test_case(Some(2_000), 1_990, 10, Some((40, 11)), None; "some are handed over already")]
fn figures_are_held_against_what_peers_saw(
    alone: Option<u64>,
    at: u64,
    took: u64,
    figures: Option<(u64, u64)>,
    breaks: Option<Rule>,
) {
    let mut seen = vec![(0, Event::ProxyStarted { proxy: 0 })];
    for id in 1..=40 {
        let came = 1_000 + id * 10;
        let asked = Event::Asked {
            id,
            proxy: 0,
            place: 0,
            listener: 0,
            wait: ms(1_000),
            inherited: false,
        };
        let dialled = Event::Dialled {
            id,
            host: 0,
            dial: 1,
            inherited: false,
        };
        let replied = Event::Replied {
            id,
            dial: 1,
            reply: HostReply::Up,
        };
        let all = [
            asked,
            dialled,
            replied,
            Event::Answered {
                id,
                answer: ClientAnswer::Up,
            },
        ];
        seen.extend(all.map(|seen| (came, seen)));
        seen.push((
            9_000,
            Event::DialOver {
                id,
                dial: 1,
                by_host: true,
            },
        ));
    }
    if let Some(alone) = alone {
        seen.push((alone - 100, Event::ProxyBeside { proxy: 0 }));
        seen.push((alone, Event::ProxyServes { proxy: 0 }));
    }
    seen.push((
        at,
        Event::Called {
            proxy: 0,
            took: ms(took),
            figures,
        },
    ));
    seen.sort_by_key(|seen| seen.0);
    let records: Vec<LoggedEvent> = seen
        .into_iter()
        .map(|(at, seen)| LoggedEvent { at: ms(at), seen })
        .collect();
    let found: Vec<Rule> = judge(&records, &terms())
        .breaches
        .into_iter()
        .map(|b| b.rule)
        .collect();
    assert_eq!(found, breaks.into_iter().collect::<Vec<_>>());
}

const BUSY: ClientAnswer = ClientAnswer::Busy(None);

#[test_case(0, vec![(300, answered(BUSY))], None; "refused in time")]
#[test_case(0, vec![(1_160, answered(BUSY))], None; "refused within the slack")]
#[test_case(0, vec![(1_200, answered(BUSY))], Some(Rule::NoSessionLost); "refused late")]
#[test_case(0, vec![], Some(Rule::NoSessionLost); "never answered")]
#[test_case(0, vec![(900, Event::Left { id: 1 })], None; "the client left before")]
#[test_case(0, vec![(500, Event::Cut { id: 1, end: ConnectionEnd::Fin })], Some(Rule::NoSessionLost); "cut without an answer")]
#[test_case(0, vec![(499, Event::ProxyKilled { proxy: 0 }), (500, Event::Cut { id: 1, end: ConnectionEnd::Reset })], None; "its proxy was killed")]
#[test_case(0, vec![(20, Event::ProxyKilled { proxy: 0 }), (180, Event::ProxyDead { proxy: 0 }), (181, Event::Cut { id: 1, end: ConnectionEnd::Reset })], None; "it asked between the kill and the death of its proxy")]
#[test_case(0, vec![(10, Event::ProxyKilled { proxy: 0 }), (70, Event::ProxyDead { proxy: 0 }), (101, Event::Cut { id: 1, end: ConnectionEnd::Reset })], None; "it noted its asking a moment after that death")]
#[test_case(0, vec![(10, Event::ProxyKilled { proxy: 0 }), (40, Event::ProxyDead { proxy: 0 }), (500, Event::Cut { id: 1, end: ConnectionEnd::Reset })], Some(Rule::NoSessionLost); "its proxy was dead for long")]
#[test_case(0, vec![(499, Event::ProxyKilled { proxy: 1 }), (500, Event::Cut { id: 1, end: ConnectionEnd::Reset })], Some(Rule::NoSessionLost); "another was killed")]
#[test_case(0, vec![(300, answered(BUSY)), (310, answered(ClientAnswer::Failed))], Some(Rule::NoSessionLost); "two answers")]
#[test_case(0, vec![(300, answered(BUSY)), (400, dialled(1, 0))], Some(Rule::NoSessionLost); "a dial after the answer")]
#[test_case(0, vec![(200, dialled(1, 0)), (240, over(1)), (250, dialled(2, 1)), (300, over(2)), (310, answered(BUSY))], None; "one dial after the other")]
#[test_case(0, vec![(200, dialled(1, 0)), (300, dialled(2, 1)), (400, over(1)), (500, over(2)), (510, answered(BUSY))], Some(Rule::NeverTwoDials); "two dials at once")]
#[test_case(0, vec![(200, dialled(1, 0)), (300, dialled(2, 1)), (302, over(1)), (303, replied(2, HostReply::Up)), (304, answered(ClientAnswer::Up))], None; "two for less than peers note apart may be one after the other")]
#[test_case(0, vec![(200, dialled(1, 0)), (300, dialled(2, 1)), (300, still_out(2, 1)), (302, over(1)), (303, replied(2, HostReply::Up)), (304, answered(ClientAnswer::Up))], Some(Rule::NeverTwoDials); "two for that long and seen to be")]
#[test_case(0, vec![(200, dialled(1, 0)), (220, replied(1, HostReply::Busy)), (230, dialled(2, 1)), (400, over(1)), (410, answered(BUSY))], None; "the first was turned away")]
#[test_case(0, vec![(110, dialled(1, 0)), (120, over(1)), (130, dialled(2, 1)), (140, over(2)), (150, dialled(3, 2)), (160, over(3)), (170, answered(BUSY))], Some(Rule::NoSessionLost); "three dials of two")]
#[test_case(1, vec![(200, dialled(1, 0)), (300, over(1)), (310, dialled(2, 1)), (400, over(2)), (410, answered(ClientAnswer::Failed))], Some(Rule::NoEffectTwice); "once-only sent again")]
#[test_case(1, vec![(200, dialled(1, 0)), (300, replied(1, HostReply::Busy)), (310, dialled(2, 1)), (400, over(2)), (410, answered(ClientAnswer::Failed))], None; "once-only that had not run")]
#[test_case(1, vec![(200, dialled(1, 0)), (300, over(1)), (310, answered(BUSY))], Some(Rule::NoEffectTwice); "once-only refused though it may have run")]
#[test_case(2, vec![(200, dialled(1, 0)), (300, over(1)), (310, dialled(2, 1)), (400, over(2)), (410, answered(ClientAnswer::Failed))], Some(Rule::NoEffectTwice); "referenced in another zone")]
#[test_case(2, vec![(200, dialled(1, 0)), (300, over(1)), (310, dialled(2, 2)), (400, over(2)), (410, answered(ClientAnswer::Failed))], None; "referenced in its zone")]
#[test_case(2, vec![(200, dialled(1, 0)), (300, over(1)), (900, dialled(2, 2)), (950, over(2)), (960, answered(ClientAnswer::Failed))], Some(Rule::NoEffectTwice); "referenced after its memory")]
#[test_case(2, vec![(200, dialled(1, 0)), (300, over(1)), (310, answered(BUSY))], Some(Rule::NoEffectTwice); "referenced in a zone and refused")]
#[test_case(3, vec![(200, dialled(1, 0)), (300, over(1)), (310, answered(BUSY))], None; "referenced everywhere and refused")]
#[test_case(0, vec![(0, told(HostState::Draining)), (900, dialled(1, 0)), (950, over(1)), (960, answered(BUSY))], None; "within the drain grace")]
#[test_case(0, vec![(0, told(HostState::Draining)), (1_060, dialled(1, 0)), (1_080, over(1)), (1_090, answered(BUSY))], Some(Rule::DrainsKept); "after the drain grace")]
#[test_case(0, vec![(0, told(HostState::Gone)), (200, told(HostState::Ready)), (1_060, dialled(1, 0)), (1_080, over(1)), (1_090, answered(BUSY))], None; "back before")]
#[test_case(0, vec![(0, told(HostState::Draining)), (300, told(HostState::Gone)), (1_060, dialled(1, 0)), (1_080, over(1)), (1_090, answered(BUSY))], Some(Rule::DrainsKept); "drained and then gone")]
#[test_case(0, vec![(200, dialled(1, 0)), (210, replied(1, HostReply::Up)), (220, answered(ClientAnswer::Up)), (2_000, Event::Ended { id: 1, end: ConnectionEnd::Fin, told: false }), (2_001, over(1))], Some(Rule::NoSessionLost); "cut off while open")]
#[test_case(0, vec![(200, dialled(1, 0)), (210, replied(1, HostReply::Up)), (220, answered(ClientAnswer::Up)), (1_990, Event::DialOver { id: 1, dial: 1, by_host: true }), (2_000, Event::Ended { id: 1, end: ConnectionEnd::Fin, told: false })], None; "ended by its host")]
#[test_case(0, vec![(200, dialled(1, 0)), (210, replied(1, HostReply::Up)), (220, answered(ClientAnswer::Up)), (2_000, Event::Ended { id: 1, end: ConnectionEnd::Fin, told: true }), (2_001, over(1))], None; "moved")]
#[test_case(0, vec![(220, answered(ClientAnswer::Up)), (300, Event::Garbled { id: 1, line: "x".into() })], Some(Rule::NoSessionLost); "told what no host said")]
#[test_case(0, vec![(220, answered(ClientAnswer::Up)), (300, Event::Held { id: 1, span: ms(1_040) })], None; "a line held within the blur")]
#[test_case(0, vec![(220, answered(ClientAnswer::Up)), (300, Event::Held { id: 1, span: ms(1_100) })], Some(Rule::NoSessionLost); "a line held back")]
#[test_case(0, vec![(220, answered(BUSY)), (300, Event::MisbehavingClient { sort: "x", owed: true, served: true })], Some(Rule::NoSessionLost); "a bad client served")]
#[test_case(0, vec![(220, answered(BUSY)), (300, Event::ProxyExited { proxy: 0, code: Some(1), asked: true })], Some(Rule::ProxyStays); "an exit with an error")]
#[test_case(0, vec![(220, answered(BUSY)), (300, Event::ProxyExited { proxy: 0, code: Some(0), asked: true })], None; "an exit in good order")]
fn each_rule_is_told_from_what_is_allowed(
    listener: u8,
    seen: Vec<(u64, Event)>,
    rule: Option<Rule>,
) {
    let verdict = verdict(listener, seen);
    let mut found: Vec<Rule> = verdict.breaches.iter().map(|b| b.rule).collect();
    found.dedup();
    assert_eq!(found, Vec::from_iter(rule), "{:#?}", verdict.breaches);
}

#[test_case(4, true; "two thirds knew it")]
#[test_case(3, false; "fewer knew it")]
fn a_cold_host_pushed_over_counts_by_who_knew(knowing: u64, broken: bool) {
    let started = Some(ms(50));
    let told = Event::HostListed {
        proxy: 0,
        host: 0,
        standing: HostState::Ready,
        started,
    };
    let mut seen = vec![(60, told), (200, answered(BUSY))];
    for id in 2..=6 {
        let proxy = u16::from(id > knowing);
        let asked = Event::Asked {
            id,
            proxy,
            place: 0,
            listener: 0,
            wait: ms(1_000),
            inherited: false,
        };
        seen.push((100, asked));
        seen.push((200, Event::Answered { id, answer: BUSY }));
    }
    seen.push((
        300,
        Event::Collapsed {
            host: 0,
            started,
            by: (1..=6).collect(),
        },
    ));
    assert_eq!(!verdict(0, seen).breaches.is_empty(), broken);
}

#[test]
fn a_breach_comes_with_what_led_there() {
    let seen = vec![
        (200, dialled(1, 0)),
        (300, dialled(2, 1)),
        (400, over(1)),
        (510, answered(BUSY)),
    ];
    let breach = &verdict(0, seen).breaches[0];
    assert!(
        breach.timeline.len() == 5 && breach.timeline[1].contains("0.200 s"),
        "{breach:?}"
    );
}

#[test]
fn a_difference_is_clear_only_where_the_pairs_agree() {
    let a = [0.90, 0.80, 0.95, 0.70, 0.85];
    let better = a.map(|x| x + 0.02);
    let found = Difference::of(&a, &better, 1);
    assert!(found.clear() && (found.mean - 0.02).abs() < 1e-9 && found.low > 0.019);
    let mixed = [0.92, 0.79, 0.94, 0.73, 0.84];
    let found = Difference::of(&a, &mixed, 1);
    assert!(
        !found.clear() && found.low < 0.0 && found.high > 0.0,
        "{found:?}"
    );
}

#[test_case(b"0.5 refused sess=1 server=- dials=0\n2.1 dial-erred server=s-1\n\n2.9 dial-erred server=s-1", &["1 proxies, 3 lines, 0 bad\n", "dial-erred                   2        1", "2           dial-erred 2", "s-1         dial-erred 2"]; "sound lines")]
#[test_case(b"serving by discovery\n1.0 taken=4 up=3", &["2 lines, 0 bad", "-           serving 1"]; "no time, counters alone")]
#[test_case(b"-1.0 refused\nNaN refused\n1.0 REFUSED!\n\xff\n7.0", &["5 lines, 5 bad, first at n0.log:1, n0.log:2"]; "lines that make no sense")]
#[test_case(&[b'x'; 40_000], &["3 lines, 3 bad"]; "an endless line")]
fn the_logs_of_a_fleet_are_summed_and_bad_lines_named(log: &[u8], says: &[&str]) {
    let mut logs = LogSummary::new(2);
    logs.take("n0.log", log).unwrap();
    assert!(
        says.iter().all(|part| logs.table().contains(part)),
        "{}",
        logs.table()
    );
}

/// Whatever else strikes, these together are what fails.
#[test_case(&[3]; "one")]
#[test_case(&[0, 11]; "first and last")]
#[test_case(&[2, 5, 7]; "three")]
#[test_case(&[]; "none of them")]
fn a_failing_draw_is_cut_down_to_what_fails(needed: &[u32]) {
    let all: Vec<u32> = (0..12).collect();
    let left = fewest(&all, 200, |left| needed.iter().all(|n| left.contains(n)));
    assert_eq!(left, needed);
    assert!(fewest(&all, 3, |left| needed.iter().all(|n| left.contains(n))).len() >= needed.len());
}

#[test]
fn what_is_cut_down_is_written_as_it_was_drawn() {
    let scenario = help::scenario("");
    for chaos in 0..40 {
        let plan = Plan::new(&scenario, 5, Some(chaos));
        let text = written(help::BASE, &drawn(&plan.faults)).unwrap();
        let read = Plan::new(&Scenario::read(&text).unwrap(), 5, None);
        let ms = |at: Duration| at.as_millis();
        let told = |s: &PlannedFault| {
            (
                s.kind,
                s.on.clone(),
                ms(s.at),
                s.way,
                s.half_open,
                ms(s.span),
                s.back,
            )
        };
        assert_eq!(
            read.faults.iter().map(told).collect::<Vec<_>>(),
            plan.faults.iter().map(told).collect::<Vec<_>>()
        );
    }
}

#[test]
fn records_of_days_are_summed_and_the_draw_that_costs_is_found() {
    let mut journal = Journal::default();
    // A trouble costs a quarter, servers nothing; a day played twice counts once.
    for seed in 0..12_u64 {
        let bad = seed % 3 == 0;
        let score = if bad { 0.5 } else { 0.75 } + (seed % 2) as f64 * 0.01;
        let troubles = if bad {
            r#"["slow","burst"]"#
        } else {
            r#"["burst"]"#
        };
        let text = format!(
            r#"{{"v":1,"days":[{{"name":"zone+mass-2","seed":{seed},"score":{score},"served":0.8,"served_late":0.9,
            "servers":{},"nodes":300,"caps":[64,640,0.2],"troubles":{troubles},"signature":{{"moves":0.5,"odd":null}},"rules":{{"lost":0}}}},
            {{"name":"fleet","seed":1,"score":0.1}}]}}"#,
            70 + seed % 4
        );
        journal.take(text.as_bytes(), "+mass");
        if seed == 0 {
            journal.take(text.as_bytes(), "+mass");
        }
    }
    journal.take(b"{\"days\":7}", "+mass");
    let table = journal.table();
    assert!(
        table.contains("13 records, 12 days, 1 files cannot be read"),
        "{table}"
    );
    assert!(table.contains("| zone+mass | 12 | 0.672 ("), "{table}");
    let first = table
        .lines()
        .skip_while(|line| !line.starts_with("| draw"))
        .nth(2)
        .unwrap();
    assert!(
        first.starts_with("| trouble slow | -0.2") && !table.contains("| trouble burst |"),
        "{first}\n{table}"
    );
    assert!(Journal::of_folder(std::path::Path::new("no-such-folder"), "+mass").is_err());
}
