//! The judge: each rule over events that keep it and events that break it.

use asterramp_testbed::event_log::{
    ClientAnswer, ConnectionEnd, Event, HostReply, HostState, LoggedEvent,
};
use asterramp_testbed::judge::{HostLocation, JudgeSettings, ListenerPolicy, Rule, Verdict, judge};
use asterramp_testbed::scenario::{IdempotencyScope, RetrySafety};
use std::time::Duration;
use test_case::test_case;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn asked(id: u64, proxy: u16, listener: u8) -> Event {
    Event::Asked {
        id,
        proxy,
        place: 0,
        listener,
        wait: ms(1_000),
        inherited: false,
    }
}

fn events(seen: impl IntoIterator<Item = (u64, Event)>) -> Vec<LoggedEvent> {
    seen.into_iter()
        .map(|(at, seen)| LoggedEvent { at: ms(at), seen })
        .collect()
}

/// Of session 1, asked of proxy 0 at 100 ms with a wait of 1 s, and what else happened.
fn verdict(listener: u8, seen: Vec<(u64, Event)>) -> Verdict {
    let first = (100, asked(1, 0, listener));
    let last = (9_000, Event::HostUp { host: 9 });
    let seen = [first].into_iter().chain(seen).chain([last]);
    judge(&events(seen), &settings())
}

fn settings() -> JudgeSettings {
    let policy = |retry_safety, idempotency_scope, key_ttl| ListenerPolicy {
        retry_safety,
        idempotency_scope,
        key_ttl,
    };
    let location = |zone, cell| HostLocation { zone, cell };
    JudgeSettings {
        listeners: vec![
            policy(RetrySafety::Idempotent, IdempotencyScope::All, ms(0)),
            policy(RetrySafety::NotIdempotent, IdempotencyScope::All, ms(0)),
            policy(RetrySafety::IdempotencyKey, IdempotencyScope::Zone, ms(600)),
            policy(RetrySafety::IdempotencyKey, IdempotencyScope::All, ms(600)),
        ],
        hosts: vec![location(0, 0), location(1, 0), location(0, 1)],
        drain_grace: ms(1_000),
        answer_slack: ms(66),
        tolerance: ms(50),
        max_dials: 2,
        check_metrics: true,
        priority_weights: None,
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

fn dial_over(dial: u32) -> Event {
    Event::DialOver {
        id: 1,
        dial,
        by_host: false,
    }
}

fn answered(answer: ClientAnswer) -> Event {
    Event::Answered { id: 1, answer }
}

fn listed(standing: HostState) -> Event {
    Event::HostListed {
        proxy: 0,
        host: 0,
        standing,
        started: None,
    }
}

/// A session that comes up at proxy 0 and stands until 9 s.
fn long_session(id: u64, came: u64) -> [(u64, Event); 5] {
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
    let answered = Event::Answered {
        id,
        answer: ClientAnswer::Up,
    };
    let over = Event::DialOver {
        id,
        dial: 1,
        by_host: true,
    };
    [
        (came, asked(id, 0, 0)),
        (came, dialled),
        (came, replied),
        (came, answered),
        (9_000, over),
    ]
}

/// Forty sessions come up at proxy 0, one each 10 ms from 1 s on, and stand until 9 s; a process beside it serves alone
/// from `serves_alone_at` on, if any; at `called_at` an operator is given `figures`.
#[test_case(None, 3_000, 10, Some((40, 40)), None; "true")]
#[test_case(None, 3_000, 10, Some((37, 44)), None; "within the bounds")]
#[test_case(None, 1_700, 10, Some((12, 12)), None; "half a second old")]
#[test_case(None, 3_000, 10, Some((36, 40)), Some(Rule::MetricsAccurate); "too few")]
#[test_case(None, 3_000, 10, Some((44, 40)), Some(Rule::MetricsAccurate); "too many")]
#[test_case(None, 3_000, 10, Some((40, 35)), Some(Rule::MetricsAccurate); "fewer in flight")]
#[test_case(None, 3_000, 10, Some((40, 45)), Some(Rule::MetricsAccurate); "more in flight")]
#[test_case(None, 3_000, 1_200, Some((40, 40)), Some(Rule::OperatorsAnsweredInTime); "late")]
#[test_case(None, 3_000, 10, None, Some(Rule::OperatorsAnsweredInTime); "no figures")]
#[test_case(Some(2_000), 3_000, 10, Some((0, 40)), None; "another process counts from nothing")]
#[test_case(Some(2_000), 3_000, 10, Some((0, 20)), Some(Rule::MetricsAccurate); "another process lost some")]
#[test_case(Some(2_000), 3_000, 10, Some((40, 40)), Some(Rule::MetricsAccurate); "another process counts what the first did")]
#[test_case(Some(2_000), 1_990, 10, Some((40, 11)), None; "some are handed over already")]
fn metrics_are_checked_against_what_peers_saw(
    serves_alone_at: Option<u64>,
    called_at: u64,
    took: u64,
    figures: Option<(u64, u64)>,
    broken: Option<Rule>,
) {
    let mut seen = vec![(0, Event::ProxyStarted { proxy: 0 })];
    for id in 1..=40 {
        seen.extend(long_session(id, 1_000 + id * 10));
    }
    if let Some(serves_alone_at) = serves_alone_at {
        seen.push((serves_alone_at - 100, Event::ProxyBeside { proxy: 0 }));
        seen.push((serves_alone_at, Event::ProxyServes { proxy: 0 }));
    }
    seen.push((
        called_at,
        Event::Called {
            proxy: 0,
            took: ms(took),
            figures,
        },
    ));
    seen.sort_by_key(|seen| seen.0);
    let found: Vec<Rule> = judge(&events(seen), &settings())
        .violations
        .into_iter()
        .map(|b| b.rule)
        .collect();
    assert_eq!(found, broken.into_iter().collect::<Vec<_>>());
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
#[test_case(0, vec![(200, dialled(1, 0)), (240, dial_over(1)), (250, dialled(2, 1)), (300, dial_over(2)), (310, answered(BUSY))], None; "one dial after the other")]
#[test_case(0, vec![(200, dialled(1, 0)), (300, dialled(2, 1)), (400, dial_over(1)), (500, dial_over(2)), (510, answered(BUSY))], Some(Rule::NoConcurrentDials); "two dials at once")]
#[test_case(0, vec![(200, dialled(1, 0)), (300, dialled(2, 1)), (302, dial_over(1)), (303, replied(2, HostReply::Up)), (304, answered(ClientAnswer::Up))], None; "two for less than peers note apart may be one after the other")]
#[test_case(0, vec![(200, dialled(1, 0)), (300, dialled(2, 1)), (300, still_out(2, 1)), (302, dial_over(1)), (303, replied(2, HostReply::Up)), (304, answered(ClientAnswer::Up))], Some(Rule::NoConcurrentDials); "two for that long and seen to be")]
#[test_case(0, vec![(200, dialled(1, 0)), (220, replied(1, HostReply::Busy)), (230, dialled(2, 1)), (400, dial_over(1)), (410, answered(BUSY))], None; "the first was turned away")]
#[test_case(0, vec![(110, dialled(1, 0)), (120, dial_over(1)), (130, dialled(2, 1)), (140, dial_over(2)), (150, dialled(3, 2)), (160, dial_over(3)), (170, answered(BUSY))], Some(Rule::NoSessionLost); "three dials of two")]
#[test_case(1, vec![(200, dialled(1, 0)), (300, dial_over(1)), (310, dialled(2, 1)), (400, dial_over(2)), (410, answered(ClientAnswer::Failed))], Some(Rule::NoDuplicateEffect); "once-only sent again")]
#[test_case(1, vec![(200, dialled(1, 0)), (300, replied(1, HostReply::Busy)), (310, dialled(2, 1)), (400, dial_over(2)), (410, answered(ClientAnswer::Failed))], None; "once-only that had not run")]
#[test_case(1, vec![(200, dialled(1, 0)), (300, dial_over(1)), (310, answered(BUSY))], Some(Rule::NoDuplicateEffect); "once-only refused though it may have run")]
#[test_case(2, vec![(200, dialled(1, 0)), (300, dial_over(1)), (310, dialled(2, 1)), (400, dial_over(2)), (410, answered(ClientAnswer::Failed))], Some(Rule::NoDuplicateEffect); "referenced in another zone")]
#[test_case(2, vec![(200, dialled(1, 0)), (300, dial_over(1)), (310, dialled(2, 2)), (400, dial_over(2)), (410, answered(ClientAnswer::Failed))], None; "referenced in its zone")]
#[test_case(2, vec![(200, dialled(1, 0)), (300, dial_over(1)), (900, dialled(2, 2)), (950, dial_over(2)), (960, answered(ClientAnswer::Failed))], Some(Rule::NoDuplicateEffect); "referenced after its memory")]
#[test_case(2, vec![(200, dialled(1, 0)), (300, dial_over(1)), (310, answered(BUSY))], Some(Rule::NoDuplicateEffect); "referenced in a zone and refused")]
#[test_case(3, vec![(200, dialled(1, 0)), (300, dial_over(1)), (310, answered(BUSY))], None; "referenced everywhere and refused")]
#[test_case(0, vec![(0, listed(HostState::Draining)), (900, dialled(1, 0)), (950, dial_over(1)), (960, answered(BUSY))], None; "within the drain grace")]
#[test_case(0, vec![(0, listed(HostState::Draining)), (1_060, dialled(1, 0)), (1_080, dial_over(1)), (1_090, answered(BUSY))], Some(Rule::DrainsRespected); "after the drain grace")]
#[test_case(0, vec![(0, listed(HostState::Gone)), (200, listed(HostState::Ready)), (1_060, dialled(1, 0)), (1_080, dial_over(1)), (1_090, answered(BUSY))], None; "back before")]
#[test_case(0, vec![(0, listed(HostState::Draining)), (300, listed(HostState::Gone)), (1_060, dialled(1, 0)), (1_080, dial_over(1)), (1_090, answered(BUSY))], Some(Rule::DrainsRespected); "drained and then gone")]
#[test_case(0, vec![(200, dialled(1, 0)), (210, replied(1, HostReply::Up)), (220, answered(ClientAnswer::Up)), (2_000, Event::Ended { id: 1, end: ConnectionEnd::Fin, told: false }), (2_001, dial_over(1))], Some(Rule::NoSessionLost); "cut off while open")]
#[test_case(0, vec![(200, dialled(1, 0)), (210, replied(1, HostReply::Up)), (220, answered(ClientAnswer::Up)), (1_990, Event::DialOver { id: 1, dial: 1, by_host: true }), (2_000, Event::Ended { id: 1, end: ConnectionEnd::Fin, told: false })], None; "ended by its host")]
#[test_case(0, vec![(200, dialled(1, 0)), (210, replied(1, HostReply::Up)), (220, answered(ClientAnswer::Up)), (2_000, Event::Ended { id: 1, end: ConnectionEnd::Fin, told: true }), (2_001, dial_over(1))], None; "moved")]
#[test_case(0, vec![(220, answered(ClientAnswer::Up)), (300, Event::Garbled { id: 1, line: "x".into() })], Some(Rule::NoSessionLost); "told what no host said")]
#[test_case(0, vec![(220, answered(ClientAnswer::Up)), (300, Event::Held { id: 1, span: ms(1_040) })], None; "a line held within the blur")]
#[test_case(0, vec![(220, answered(ClientAnswer::Up)), (300, Event::Held { id: 1, span: ms(1_100) })], Some(Rule::NoSessionLost); "a line held back")]
#[test_case(0, vec![(220, answered(BUSY)), (300, Event::MisbehavingClient { sort: "x", owed: true, served: true })], Some(Rule::NoSessionLost); "a bad client served")]
#[test_case(0, vec![(220, answered(BUSY)), (300, Event::ProxyExited { proxy: 0, code: Some(1), asked: true })], Some(Rule::NoUnexpectedExit); "an exit with an error")]
#[test_case(0, vec![(220, answered(BUSY)), (300, Event::ProxyExited { proxy: 0, code: Some(0), asked: true })], None; "an exit in good order")]
fn each_rule_is_broken_by_what_it_forbids_alone(
    listener: u8,
    seen: Vec<(u64, Event)>,
    rule: Option<Rule>,
) {
    let verdict = verdict(listener, seen);
    let mut found: Vec<Rule> = verdict.violations.iter().map(|b| b.rule).collect();
    found.dedup();
    assert_eq!(found, Vec::from_iter(rule), "{:#?}", verdict.violations);
}

#[test_case(4, true; "two thirds knew it")]
#[test_case(3, false; "fewer knew it")]
fn a_collapse_counts_if_two_thirds_were_notified_of_the_start(knowing: u64, broken: bool) {
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
        seen.push((100, asked(id, proxy, 0)));
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
    assert_eq!(!verdict(0, seen).violations.is_empty(), broken);
}

#[test]
fn a_violation_comes_with_the_events_that_led_there() {
    let seen = vec![
        (200, dialled(1, 0)),
        (300, dialled(2, 1)),
        (400, dial_over(1)),
        (510, answered(BUSY)),
    ];
    let violation = &verdict(0, seen).violations[0];
    assert!(
        violation.timeline.len() == 5 && violation.timeline[1].contains("0.200 s"),
        "{violation:?}"
    );
}
