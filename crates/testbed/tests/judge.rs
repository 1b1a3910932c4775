//! The judge: each rule, checked over events that keep it and events that break it.

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

fn session_request(id: u64, proxy: u16, listener: u8) -> Event {
    Event::Asked {
        id,
        proxy,
        place: 0,
        listener,
        wait: ms(1_000),
        inherited: false,
    }
}

/// The event log of a run; each event comes with its time in ms.
fn event_log(events: impl IntoIterator<Item = (u64, Event)>) -> Vec<LoggedEvent> {
    events
        .into_iter()
        .map(|(at_ms, seen)| LoggedEvent {
            at: ms(at_ms),
            seen,
        })
        .collect()
}

/// The verdict on a run of 9 s in which session 1 is requested from proxy 0 at 100 ms with a client wait of 1 s, and in which
/// `events` happen, each with its time in ms.
fn verdict(listener: u8, events: Vec<(u64, Event)>) -> Verdict {
    let first = (100, session_request(1, 0, listener));
    let last = (9_000, Event::HostUp { host: 9 });
    let events = [first].into_iter().chain(events).chain([last]);
    judge(&event_log(events), &settings())
}

/// Listener 0 is idempotent, 1 is not, 2 has idempotency keys within a zone, and 3 has keys on all hosts. Hosts 0 and 2 are
/// in zone 0, host 1 is in zone 1.
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

fn dial_still_open(dial: u32, earlier: u32) -> Event {
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

fn host_listed(standing: HostState) -> Event {
    Event::HostListed {
        proxy: 0,
        host: 0,
        standing,
        started: None,
    }
}

/// The events of a session that is accepted through proxy 0 and stays open until 9 s, each with its time in ms.
fn long_session(id: u64, accepted_at: u64) -> [(u64, Event); 5] {
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
        (accepted_at, session_request(id, 0, 0)),
        (accepted_at, dialled),
        (accepted_at, replied),
        (accepted_at, answered),
        (9_000, over),
    ]
}

/// From 1 s on, proxy 0 accepts forty sessions, one every 10 ms, which stay open until 9 s. If `serves_alone_at` is given, the
/// successor of a hot restart serves alone from then on. At `called_at`, an operator receives `metrics` after `took`: the
/// numbers of accepted sessions and of sessions in flight. All times are in ms.
#[test_case(None, 3_000, 10, Some((40, 40)), None; "exact")]
#[test_case(None, 3_000, 10, Some((37, 44)), None; "within the tolerances")]
#[test_case(None, 1_700, 10, Some((12, 12)), None; "half a second out of date")]
#[test_case(None, 3_000, 10, Some((36, 40)), Some(Rule::MetricsAccurate); "too few accepted")]
#[test_case(None, 3_000, 10, Some((44, 40)), Some(Rule::MetricsAccurate); "too many accepted")]
#[test_case(None, 3_000, 10, Some((40, 35)), Some(Rule::MetricsAccurate); "too few in flight")]
#[test_case(None, 3_000, 10, Some((40, 45)), Some(Rule::MetricsAccurate); "too many in flight")]
#[test_case(None, 3_000, 1_200, Some((40, 40)), Some(Rule::OperatorsAnsweredInTime); "late response")]
#[test_case(None, 3_000, 10, None, Some(Rule::OperatorsAnsweredInTime); "no response")]
#[test_case(Some(2_000), 3_000, 10, Some((0, 40)), None; "the successor counts from zero")]
#[test_case(Some(2_000), 3_000, 10, Some((0, 20)), Some(Rule::MetricsAccurate); "the successor lost sessions")]
#[test_case(Some(2_000), 3_000, 10, Some((40, 40)), Some(Rule::MetricsAccurate); "the successor counts sessions that its predecessor accepted")]
#[test_case(Some(2_000), 1_990, 10, Some((40, 11)), None; "some sessions are handed over before the successor serves alone")]
fn metrics_are_checked_against_what_peers_saw(
    serves_alone_at: Option<u64>,
    called_at: u64,
    took: u64,
    metrics: Option<(u64, u64)>,
    broken: Option<Rule>,
) {
    let mut events = vec![(0, Event::ProxyStarted { proxy: 0 })];
    for id in 1..=40 {
        events.extend(long_session(id, 1_000 + id * 10));
    }
    if let Some(serves_alone_at) = serves_alone_at {
        events.push((serves_alone_at - 100, Event::ProxyBeside { proxy: 0 }));
        events.push((serves_alone_at, Event::ProxyServes { proxy: 0 }));
    }
    events.push((
        called_at,
        Event::Called {
            proxy: 0,
            took: ms(took),
            figures: metrics,
        },
    ));
    events.sort_by_key(|event| event.0);
    let found: Vec<Rule> = judge(&event_log(events), &settings())
        .violations
        .into_iter()
        .map(|violation| violation.rule)
        .collect();
    assert_eq!(found, broken.into_iter().collect::<Vec<_>>());
}

const BUSY: ClientAnswer = ClientAnswer::Busy(None);

#[test_case(0, vec![(300, answered(BUSY))], None; "rejected in time")]
#[test_case(0, vec![(1_160, answered(BUSY))], None; "rejected within the answer slack")]
#[test_case(0, vec![(1_200, answered(BUSY))], Some(Rule::NoSessionLost); "rejected late")]
#[test_case(0, vec![], Some(Rule::NoSessionLost); "never answered")]
#[test_case(0, vec![(900, Event::Left { id: 1 })], None; "the client left before the end of its wait")]
#[test_case(0, vec![(500, Event::Cut { id: 1, end: ConnectionEnd::Fin })], Some(Rule::NoSessionLost); "connection closed without an answer")]
#[test_case(0, vec![(499, Event::ProxyKilled { proxy: 0 }), (500, Event::Cut { id: 1, end: ConnectionEnd::Reset })], None; "its proxy was killed")]
#[test_case(0, vec![(20, Event::ProxyKilled { proxy: 0 }), (180, Event::ProxyDead { proxy: 0 }), (181, Event::Cut { id: 1, end: ConnectionEnd::Reset })], None; "requested between the kill and the end of its proxy")]
#[test_case(0, vec![(10, Event::ProxyKilled { proxy: 0 }), (70, Event::ProxyDead { proxy: 0 }), (101, Event::Cut { id: 1, end: ConnectionEnd::Reset })], None; "request recorded shortly after the end of its proxy")]
#[test_case(0, vec![(10, Event::ProxyKilled { proxy: 0 }), (40, Event::ProxyDead { proxy: 0 }), (500, Event::Cut { id: 1, end: ConnectionEnd::Reset })], Some(Rule::NoSessionLost); "requested long after the end of its proxy")]
#[test_case(0, vec![(499, Event::ProxyKilled { proxy: 1 }), (500, Event::Cut { id: 1, end: ConnectionEnd::Reset })], Some(Rule::NoSessionLost); "another proxy was killed")]
#[test_case(0, vec![(300, answered(BUSY)), (310, answered(ClientAnswer::Failed))], Some(Rule::NoSessionLost); "two answers")]
#[test_case(0, vec![(300, answered(BUSY)), (400, dialled(1, 0))], Some(Rule::NoSessionLost); "a dial after the answer")]
#[test_case(0, vec![(200, dialled(1, 0)), (240, dial_over(1)), (250, dialled(2, 1)), (300, dial_over(2)), (310, answered(BUSY))], None; "one dial after the other")]
#[test_case(0, vec![(200, dialled(1, 0)), (300, dialled(2, 1)), (400, dial_over(1)), (500, dial_over(2)), (510, answered(BUSY))], Some(Rule::NoConcurrentDials); "two dials at once")]
#[test_case(0, vec![(200, dialled(1, 0)), (300, dialled(2, 1)), (302, dial_over(1)), (303, replied(2, HostReply::Up)), (304, answered(ClientAnswer::Up))], None; "two dials that overlap by less than the tolerance")]
#[test_case(0, vec![(200, dialled(1, 0)), (300, dialled(2, 1)), (300, dial_still_open(2, 1)), (302, dial_over(1)), (303, replied(2, HostReply::Up)), (304, answered(ClientAnswer::Up))], Some(Rule::NoConcurrentDials); "two dials that overlap by less than the tolerance and proof of the overlap")]
#[test_case(0, vec![(200, dialled(1, 0)), (220, replied(1, HostReply::Busy)), (230, dialled(2, 1)), (400, dial_over(1)), (410, answered(BUSY))], None; "the first dial was rejected")]
#[test_case(0, vec![(110, dialled(1, 0)), (120, dial_over(1)), (130, dialled(2, 1)), (140, dial_over(2)), (150, dialled(3, 2)), (160, dial_over(3)), (170, answered(BUSY))], Some(Rule::NoSessionLost); "three dials where two are allowed")]
#[test_case(1, vec![(200, dialled(1, 0)), (300, dial_over(1)), (310, dialled(2, 1)), (400, dial_over(2)), (410, answered(ClientAnswer::Failed))], Some(Rule::NoDuplicateEffect); "not idempotent and retried")]
#[test_case(1, vec![(200, dialled(1, 0)), (300, replied(1, HostReply::Busy)), (310, dialled(2, 1)), (400, dial_over(2)), (410, answered(ClientAnswer::Failed))], None; "not idempotent and retried after a rejection")]
#[test_case(1, vec![(200, dialled(1, 0)), (300, dial_over(1)), (310, answered(BUSY))], Some(Rule::NoDuplicateEffect); "not idempotent and rejected though it may have run")]
#[test_case(2, vec![(200, dialled(1, 0)), (300, dial_over(1)), (310, dialled(2, 1)), (400, dial_over(2)), (410, answered(ClientAnswer::Failed))], Some(Rule::NoDuplicateEffect); "idempotency key retried in another zone")]
#[test_case(2, vec![(200, dialled(1, 0)), (300, dial_over(1)), (310, dialled(2, 2)), (400, dial_over(2)), (410, answered(ClientAnswer::Failed))], None; "idempotency key retried in its zone")]
#[test_case(2, vec![(200, dialled(1, 0)), (300, dial_over(1)), (900, dialled(2, 2)), (950, dial_over(2)), (960, answered(ClientAnswer::Failed))], Some(Rule::NoDuplicateEffect); "idempotency key retried after its lifetime")]
#[test_case(2, vec![(200, dialled(1, 0)), (300, dial_over(1)), (310, answered(BUSY))], Some(Rule::NoDuplicateEffect); "idempotency key of one zone and rejected")]
#[test_case(3, vec![(200, dialled(1, 0)), (300, dial_over(1)), (310, answered(BUSY))], None; "idempotency key of all hosts and rejected")]
#[test_case(0, vec![(0, host_listed(HostState::Draining)), (900, dialled(1, 0)), (950, dial_over(1)), (960, answered(BUSY))], None; "within the drain grace")]
#[test_case(0, vec![(0, host_listed(HostState::Draining)), (1_060, dialled(1, 0)), (1_080, dial_over(1)), (1_090, answered(BUSY))], Some(Rule::DrainsRespected); "after the drain grace")]
#[test_case(0, vec![(0, host_listed(HostState::Gone)), (200, host_listed(HostState::Ready)), (1_060, dialled(1, 0)), (1_080, dial_over(1)), (1_090, answered(BUSY))], None; "ready again before the end of the drain grace")]
#[test_case(0, vec![(0, host_listed(HostState::Draining)), (300, host_listed(HostState::Gone)), (1_060, dialled(1, 0)), (1_080, dial_over(1)), (1_090, answered(BUSY))], Some(Rule::DrainsRespected); "draining and then gone")]
#[test_case(0, vec![(200, dialled(1, 0)), (210, replied(1, HostReply::Up)), (220, answered(ClientAnswer::Up)), (2_000, Event::Ended { id: 1, end: ConnectionEnd::Fin, told: false }), (2_001, dial_over(1))], Some(Rule::NoSessionLost); "cut off while open")]
#[test_case(0, vec![(200, dialled(1, 0)), (210, replied(1, HostReply::Up)), (220, answered(ClientAnswer::Up)), (1_990, Event::DialOver { id: 1, dial: 1, by_host: true }), (2_000, Event::Ended { id: 1, end: ConnectionEnd::Fin, told: false })], None; "ended by its host")]
#[test_case(0, vec![(200, dialled(1, 0)), (210, replied(1, HostReply::Up)), (220, answered(ClientAnswer::Up)), (2_000, Event::Ended { id: 1, end: ConnectionEnd::Fin, told: true }), (2_001, dial_over(1))], None; "migrated")]
#[test_case(0, vec![(220, answered(ClientAnswer::Up)), (300, Event::Garbled { id: 1, line: "x".into() })], Some(Rule::NoSessionLost); "a line that no host sent")]
#[test_case(0, vec![(220, answered(ClientAnswer::Up)), (300, Event::Held { id: 1, span: ms(1_040) })], None; "a line delayed within the tolerance")]
#[test_case(0, vec![(220, answered(ClientAnswer::Up)), (300, Event::Held { id: 1, span: ms(1_100) })], Some(Rule::NoSessionLost); "a line delayed for too long")]
#[test_case(0, vec![(220, answered(BUSY)), (300, Event::MisbehavingClient { sort: "x", owed: true, served: true })], Some(Rule::NoSessionLost); "a misbehaving client served")]
#[test_case(0, vec![(220, answered(BUSY)), (300, Event::ProxyExited { proxy: 0, code: Some(1), asked: true })], Some(Rule::NoUnexpectedExit); "an exit with an error")]
#[test_case(0, vec![(220, answered(BUSY)), (300, Event::ProxyExited { proxy: 0, code: Some(0), asked: true })], None; "an exit with code 0")]
fn each_rule_is_broken_only_by_its_own_violations(
    listener: u8,
    events: Vec<(u64, Event)>,
    rule: Option<Rule>,
) {
    let verdict = verdict(listener, events);
    let mut found: Vec<Rule> = verdict
        .violations
        .iter()
        .map(|violation| violation.rule)
        .collect();
    found.dedup();
    assert_eq!(found, Vec::from_iter(rule), "{:#?}", verdict.violations);
}

#[test_case(4, true; "two thirds were notified")]
#[test_case(3, false; "fewer were notified")]
fn a_collapse_is_a_violation_if_two_thirds_were_notified_of_the_start(notified: u64, broken: bool) {
    let started = Some(ms(50));
    let notification = Event::HostListed {
        proxy: 0,
        host: 0,
        standing: HostState::Ready,
        started,
    };
    let mut events = vec![(60, notification), (200, answered(BUSY))];
    for id in 2..=6 {
        let proxy = u16::from(id > notified);
        events.push((100, session_request(id, proxy, 0)));
        events.push((200, Event::Answered { id, answer: BUSY }));
    }
    events.push((
        300,
        Event::Collapsed {
            host: 0,
            started,
            by: (1..=6).collect(),
        },
    ));
    assert_eq!(!verdict(0, events).violations.is_empty(), broken);
}

#[test]
fn a_violation_has_the_timeline_of_its_session() {
    let events = vec![
        (200, dialled(1, 0)),
        (300, dialled(2, 1)),
        (400, dial_over(1)),
        (510, answered(BUSY)),
    ];
    let violation = &verdict(0, events).violations[0];
    assert!(
        violation.timeline.len() == 5 && violation.timeline[1].contains("0.200 s"),
        "{violation:?}"
    );
}
