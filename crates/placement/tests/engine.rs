//! The module's decisions, as tables of cases.
#![allow(
    missing_docs,
    unreachable_pub,
    missing_debug_implementations,
    rust_2018_idioms
)] // Not yet brought to the workspace lints.
#![allow(clippy::too_many_lines, clippy::cognitive_complexity)] // Not yet brought to the workspace lints.

#[path = "engine/cold.rs"]
mod cold;
mod help;
#[path = "engine/places.rs"]
mod places;

use asterramp_placement::deployment::{IdempotencyScope, Listener, RetryBudgetRule, RetrySafety};
use asterramp_placement::event::{
    Endpoint, EndpointState, EndpointUpdate, Load, Observation, Outcome, ServerId, SessionRequest,
};
use asterramp_placement::{Action, Deployment, Event};
use help::{Proxy, came_to, count, deployment, dialled, entry, ms, time_out};
use test_case::test_case;

const REPEATABLE: RetrySafety = RetrySafety::Idempotent;
const BY_ALL: RetrySafety = RetrySafety::IdempotencyKey(IdempotencyScope::All, ms(5_000));
const BY_ZONE: RetrySafety = RetrySafety::IdempotencyKey(IdempotencyScope::Zone, ms(5_000));
const BY_CELL: RetrySafety = RetrySafety::IdempotencyKey(IdempotencyScope::Cell, ms(5_000));
const SHORT: RetrySafety = RetrySafety::IdempotencyKey(IdempotencyScope::All, ms(50));

#[test_case((10.0, 0.2), (20.0, 0.4) => 0; "fewer connections")]
#[test_case((20.0, 0.4), (10.0, 0.2) => 1; "fewer connections on the second")]
#[test_case((20.0, 0.2), (10.0, 0.4) => 0; "a stronger server with more connections")]
fn lower_score_wins(a: (f64, f64), b: (f64, f64)) -> ServerId {
    let mut proxy = Proxy::with(deployment(REPEATABLE), 2);
    proxy.probed(0, a.0, a.1);
    proxy.probed(1, b.0, b.1);
    dialled(&proxy.arrive(None).1).unwrap()
}

#[test]
fn bump_counts_and_a_failed_set_up_takes_it_back() {
    let mut proxy = Proxy::with(deployment(REPEATABLE), 2);
    for server in 0..2 {
        proxy.probed(server, 10.0, 0.2);
    }
    let (sess, did) = proxy.arrive(None);
    let first = dialled(&did).unwrap();
    let second = dialled(&proxy.arrive(None).1).unwrap();
    assert_ne!(first, second, "the bump of the first makes the other lower");
    proxy.end(sess, 0, Outcome::CalledOff, true);
    assert_eq!(dialled(&proxy.arrive(None).1), Some(first));
}

#[test]
fn scores_age_by_the_rate_of_ending_and_are_reset_by_counts() {
    let mut proxy = Proxy::with(deployment(REPEATABLE), 2);
    let held = proxy.open_many(20);
    for server in 0..2 {
        proxy.probed(server, 10.0, 0.2);
    }
    for (sess, _) in held.iter().filter(|(_, server)| *server == 1) {
        proxy.end(*sess, 0, Outcome::Ok, true);
    }
    proxy.now += ms(1_400);
    assert_eq!(
        dialled(&proxy.arrive(None).1),
        Some(1),
        "connections of 1 end, those of 0 do not"
    );
    proxy.probed(1, 30.0, 0.6);
    assert_eq!(
        dialled(&proxy.arrive(None).1),
        Some(0),
        "the count stands above the aged score"
    );
}

#[test]
fn weights_decide_how_often_a_server_is_drawn() {
    let servers = [4.0, 1.0, 1.0, 1.0]
        .iter()
        .zip(0..)
        .map(|(w, id)| Endpoint {
            weight: *w,
            ..entry(id)
        })
        .collect();
    let mut proxy = Proxy::new(deployment(REPEATABLE), 3, servers);
    let mut got = [0; 4];
    for _ in 0..400 {
        (0..4).for_each(|s| drop(proxy.probed(s, 10.0, 0.2)));
        proxy.now += ms(2_000);
        got[dialled(&proxy.arrive(None).1).unwrap() as usize] += 1;
    }
    assert!(got[0] > 130 && got.iter().all(|n| *n > 40), "{got:?}");
}

// Each rule on every kind: what follows a failed dial.
#[test_case(REPEATABLE, Outcome::TimedOut => 'D'; "repeatable that may have run")]
#[test_case(BY_ALL, Outcome::Erred => 'D'; "referenced, known everywhere")]
#[test_case(SHORT, Outcome::Erred => 'R'; "referenced, forgotten by now")]
#[test_case(BY_ZONE, Outcome::Reset => 'D'; "referenced, known in the zone")]
#[test_case(BY_CELL, Outcome::Reset => 'D'; "referenced, known in a cell of one")]
#[test_case(BY_CELL, Outcome::Unreachable => 'D'; "referenced that cannot have run")]
#[test_case(RetrySafety::NotIdempotent, Outcome::TimedOut => 'T'; "once-only that timed out")]
#[test_case(RetrySafety::NotIdempotent, Outcome::Erred => 'T'; "once-only that erred")]
#[test_case(RetrySafety::NotIdempotent, Outcome::Reset => 'T'; "once-only that was reset")]
#[test_case(RetrySafety::NotIdempotent, Outcome::Full => 'D'; "once-only turned away unseen")]
#[test_case(RetrySafety::NotIdempotent, Outcome::Unreachable => 'D'; "once-only that reached nobody")]
fn no_effect_twice(kind: RetrySafety, outcome: Outcome) -> char {
    let servers = vec![
        Endpoint {
            cell: 1,
            ..entry(0)
        },
        Endpoint {
            cell: 2,
            ..entry(1)
        },
    ];
    let mut proxy = Proxy::new(deployment(kind), 5, servers);
    let (sess, first) = proxy.arrive(None);
    proxy.now += ms(100);
    let next = proxy.end(sess, 0, outcome, false);
    if kind == BY_CELL && outcome == Outcome::Reset {
        assert_eq!(
            dialled(&next),
            dialled(&first),
            "the other cell would not know it"
        );
    }
    came_to(&next)
}

#[test_case(REPEATABLE, 0 => 'R'; "repeatable, empty roster")]
#[test_case(RetrySafety::NotIdempotent, 0 => 'R'; "once-only, empty roster")]
#[test_case(RetrySafety::NotIdempotent, 1 => 'D'; "once-only, one server")]
fn answered_at_once_without_a_usable_server(kind: RetrySafety, servers: u32) -> char {
    came_to(&Proxy::with(deployment(kind), servers).arrive(None).1)
}

#[test_case(REPEATABLE, 'R'; "repeatable")]
#[test_case(BY_ALL, 'R'; "referenced")]
#[test_case(BY_ZONE, 'T'; "referenced in a zone")]
#[test_case(RetrySafety::NotIdempotent, 'T'; "once-only")]
fn one_answer_and_no_dial_after_the_dial_timeout(kind: RetrySafety, answer: char) {
    let mut proxy = Proxy::with(deployment(kind), 3);
    let (sess, _) = proxy.arrive(None);
    proxy.now += ms(4_800);
    assert_eq!(
        came_to(&proxy.end(sess, 0, Outcome::TimedOut, false)),
        answer
    );
    for stray in [
        proxy.end(sess, 0, Outcome::TimedOut, false),
        proxy.tell(Event::ClientLeft { session: sess }),
    ] {
        assert!(stray.is_empty(), "{stray:?}");
    }
}

#[test]
fn dials_are_few_and_one_at_a_time_and_leave_time_for_the_next() {
    let mut proxy = Proxy::with(deployment(REPEATABLE), 6);
    let (sess, did) = proxy.arrive(None);
    assert_eq!(time_out(&did), ms(400));
    let mut seen = vec![dialled(&did).unwrap()];
    assert!(
        proxy
            .tell(Event::Tick)
            .iter()
            .all(|a| !matches!(a, Action::Dial { .. })),
        "the first is still out"
    );
    for (dial, wanted) in [(0, 'D'), (1, 'D'), (2, 'R')] {
        proxy.now += ms(400);
        // Others come up meanwhile, or the fault would not be the servers'.
        proxy.open(None);
        let did = proxy.end(sess, dial, Outcome::Erred, false);
        assert_eq!(came_to(&did), wanted);
        seen.extend(dialled(&did));
    }
    seen.dedup();
    assert_eq!(seen.len(), 3, "each at another server: {seen:?}");
}

#[test_case(EndpointState::Draining; "draining")]
#[test_case(EndpointState::Gone; "gone")]
fn nothing_goes_to_a_server_that_drains(standing: EndpointState) {
    let mut proxy = Proxy::with(deployment(REPEATABLE), 2);
    proxy.roster(Endpoint {
        state: standing,
        ..entry(0)
    });
    assert!((0..50).all(|_| dialled(&proxy.arrive(None).1) != Some(0)));
    proxy.tell(Event::Endpoints(EndpointUpdate::Complete(vec![])));
    assert_eq!(
        came_to(&proxy.arrive(None).1),
        'R',
        "a server that a whole list leaves out is gone"
    );
}

#[test_case(1, 1; "one proxy")]
#[test_case(3, 3; "three proxies, the budget holds for all")]
#[test_case(3, 9; "nine")]
#[test_case(20, 20; "twenty")]
#[test_case(100, 100; "a hundred")]
fn a_cold_server_is_used_and_not_pushed_over(instances: u64, proxies: u32) {
    let mut facts = deployment(REPEATABLE);
    facts.proxy_count = proxies;
    let mut sent: Vec<u64> = Vec::new();
    for nonce in 0..instances {
        facts.proxy_index = nonce as u32;
        let mut proxy = Proxy::new(facts.clone(), nonce, (0..4).map(entry).collect());
        let held: Vec<_> = (0..28).map(|_| proxy.open(None).0).collect();
        held[..7]
            .iter()
            .for_each(|s| drop(proxy.end(*s, 0, Outcome::Ok, true)));
        (0..4).for_each(|s| drop(proxy.probed(s, 20.0, 0.7)));
        proxy.roster(Endpoint {
            started_at: Some(proxy.now),
            ..entry(9)
        });
        for step in 0..190 {
            proxy.wait(ms(100));
            proxy.probed(9, 0.0, 0.0);
            let (sess, did) = proxy.arrive(None);
            sent.extend((dialled(&did) == Some(9)).then_some(step * 100));
            proxy.end(sess, 0, Outcome::CalledOff, true);
        }
    }
    sent.sort_unstable();
    // 29 fill it in the 20 s of its warming, from a quarter of that on; four times as much in two seconds pushes it
    // over. Whole dials by chance may be some more.
    for t in &sent {
        let window = sent
            .iter()
            .filter(|u| (*t..*t + 2_000).contains(*u))
            .count() as f64;
        let limit = 4.0 * (0.25 + 0.75 * (*t as f64 + 2_000.0) / 20_000.0) * 29.0 / 20.0 * 2.0;
        assert!(
            window <= limit + 1.5 * limit.sqrt(),
            "{window} from {t} ms on, {limit:.1} is the limit"
        );
    }
    assert!(
        sent.len() > 12 * instances as usize / proxies as usize,
        "{} while it warmed",
        sent.len()
    );
}

// Until the others' mean is known, few connections tell nothing, rather than that they take nothing.
#[test]
fn the_share_of_few_connections_is_not_forgotten_before_the_first_survey() {
    let mut proxy = Proxy::with(deployment(REPEATABLE), 1);
    proxy.probed(0, 20.0, 2.4);
    (0..4).for_each(|_| drop(proxy.probed(0, 7.0, 0.4)));
    assert_eq!(
        came_to(&proxy.arrive(None).1),
        'R',
        "seven of an eighth each"
    );
}

#[test]
fn the_roster_is_asked_at_start_and_again_with_measured_pace() {
    let mut facts = deployment(REPEATABLE);
    facts.endpoint_poll_delay = Some(ms(10_000));
    let asks = |did: &[Action]| count(did, |a| *a == Action::PollEndpoints);
    let mut proxy = Proxy::bare(facts, 1);
    assert_eq!(
        asks(&proxy.tell(Event::Endpoints(EndpointUpdate::Stale(vec![entry(0)])))),
        1
    );
    let mut total = 0;
    for _ in 0..200 {
        let did = proxy.tell(Event::Endpoints(EndpointUpdate::Failed));
        assert_eq!(asks(&did), 0, "not in the same breath");
        total += asks(&proxy.wait(ms(200)));
    }
    assert!(total <= 20, "{total} calls in 40 s");
    let mut proxy = Proxy::with(deployment(REPEATABLE), 1);
    assert_eq!(
        asks(&proxy.wait(ms(5_000))),
        0,
        "a pushed roster is not asked"
    );
}

// A roster that answers nobody is called by all proxies of a fleet at a rate that it could serve, and not in step.
#[test_case(3, 2; "three")]
#[test_case(100, 20; "a hundred")]
#[test_case(300, 30; "three hundred")]
fn calls_of_a_fleet_to_a_roster_that_fails_abate_and_spread(proxies: u32, a_second: usize) {
    let mut facts = deployment(REPEATABLE);
    (facts.proxy_count, facts.endpoint_poll_delay) = (proxies, Some(ms(10_000)));
    let mut calls = [0; 60];
    for nonce in 0..u64::from(proxies) {
        let mut proxy = Proxy::new(facts.clone(), nonce, vec![entry(0)]);
        let (began, mut last) = (proxy.now, ms(0));
        while last < ms(58_000) {
            // Each call fails after two seconds in the queue.
            proxy.wait(ms(2_000));
            proxy.tell(Event::Endpoints(EndpointUpdate::Failed));
            while !proxy.wait(ms(100)).contains(&Action::PollEndpoints) {}
            let now = proxy.now - began;
            assert!(
                now - last < ms(40_000),
                "told of nothing for {:?}",
                now - last
            );
            calls
                .get_mut(now.as_secs() as usize)
                .into_iter()
                .for_each(|calls| *calls += 1);
            last = now;
        }
    }
    let (late, most) = (&calls[30..], calls[30..].iter().max().unwrap_or(&0));
    assert!(
        late.iter().sum::<usize>() <= a_second * 30 && *most <= a_second * 2,
        "{late:?}"
    );
}

// What stands behind the servers is short: dials of all proxies, over and over, would keep it so.
#[test_case(Outcome::Erred; "err")]
#[test_case(Outcome::TimedOut; "hang")]
fn where_sessions_fail_wherever_they_go_most_are_answered_at_once_until_one_comes_up(
    outcome: Outcome,
) {
    let facts = Deployment {
        max_attempts: 6,
        ..deployment(REPEATABLE)
    };
    let mut proxy = Proxy::with(facts, 40);
    let (mut dials, mut sessions) = (0, 0);
    for _ in 0..200 {
        proxy.wait(ms(100));
        let (sess, mut did) = proxy.arrive(None);
        for dial in 0.. {
            if dialled(&did).is_none() {
                break;
            }
            (dials, sessions) = (dials + 1, sessions + usize::from(dial == 0));
            proxy.now += ms(10);
            did = proxy.end(sess, dial, outcome, false);
        }
        assert_eq!(came_to(&did), 'R');
    }
    assert!(
        (5..=24).contains(&sessions) && dials <= sessions + 10,
        "{dials} dials, {sessions} sessions in 20 s"
    );
    // The first that comes up lets half as long a pause follow, and so on.
    let up = |proxy: &mut Proxy| {
        proxy.wait(ms(100));
        let (sess, did) = proxy.arrive(None);
        proxy.tell(Event::SessionOpened {
            session: sess,
            dial: 0,
        });
        dialled(&did).is_some()
    };
    let since = proxy.now;
    while !(0..10).all(|_| up(&mut proxy)) {
        assert!(proxy.now < since + ms(15_000), "they are not dialled again");
    }
}

// A zone whose servers all err is not what stands behind all servers.
#[test]
fn where_a_zone_errs_sessions_go_to_another_and_nobody_is_held_back() {
    let servers = (0..12)
        .map(|s| Endpoint {
            zone: (s % 2) as u8,
            ..entry(s)
        })
        .collect();
    let mut proxy = Proxy::new(
        Deployment {
            max_attempts: 4,
            ..deployment(REPEATABLE)
        },
        7,
        servers,
    );
    for _ in 0..200 {
        let (sess, mut did) = proxy.arrive(None);
        let dials = (0..4).take_while(|dial| {
            proxy.now += ms(10);
            let server = dialled(&did).expect("a dial");
            if server.is_multiple_of(2) {
                did = proxy.end(sess, *dial, Outcome::Erred, false);
            } else {
                proxy.tell(Event::SessionOpened {
                    session: sess,
                    dial: *dial,
                });
            }
            server.is_multiple_of(2)
        });
        assert!(dials.count() <= 1, "one error shows it");
        proxy.wait(ms(500));
    }
}

// While others come up, the same failures are those of two servers.
#[test]
fn while_others_come_up_a_session_that_fails_twice_holds_nobody_back() {
    let mut proxy = Proxy::with(
        Deployment {
            max_attempts: 6,
            ..deployment(REPEATABLE)
        },
        40,
    );
    for _ in 0..50 {
        let (sess, did) = proxy.arrive(None);
        assert!(dialled(&did).is_some());
        for dial in 0..3 {
            proxy.now += ms(10);
            proxy.open(None);
            let did = proxy.end(sess, dial, Outcome::Erred, false);
            assert!(dialled(&did).is_some(), "dial {dial}");
        }
        proxy.end(sess, 3, Outcome::CalledOff, true);
        proxy.wait(ms(100));
    }
}

// A process that nothing has come up at yet, as after a restart, holds others back at its first failure; that session
// itself is dialled elsewhere. What says nothing of what stands behind the servers does not count.
#[test_case(Outcome::Erred, false => 'R'; "errs")]
#[test_case(Outcome::TimedOut, false => 'R'; "times out")]
#[test_case(Outcome::Reset, false => 'R'; "is reset")]
#[test_case(Outcome::Full, false => 'D'; "is turned away")]
#[test_case(Outcome::Unreachable, false => 'D'; "cannot connect")]
#[test_case(Outcome::CalledOff, false => 'D'; "is sent away")]
#[test_case(Outcome::Erred, true => 'D'; "errs where another has come up")]
fn a_fresh_process_holds_back_at_its_first_failure(outcome: Outcome, served: bool) -> char {
    let mut proxy = Proxy::with(deployment(REPEATABLE), 10);
    if served {
        proxy.open(None);
        proxy.now += ms(2_000);
    }
    let (sess, did) = proxy.arrive(None);
    assert!(dialled(&did).is_some());
    assert_eq!(
        came_to(&proxy.end(sess, 0, outcome, false)),
        'D',
        "it goes on elsewhere"
    );
    proxy.now += ms(50);
    came_to(&proxy.arrive(None).1)
}

// While sessions are held back, one that came up at once lets the next go sooner, one that took long later.
#[test_case(5 => true; "at once")]
#[test_case(500 => false; "after long")]
fn what_comes_up_slowly_lets_no_more_in(took: u64) -> bool {
    let mut proxy = Proxy::with(deployment(REPEATABLE), 10);
    // Two clients fail everywhere: the pause is its longest.
    for _ in 0..2 {
        let (sess, did) = proxy.arrive(None);
        assert!(dialled(&did).is_some());
        proxy.end(sess, 0, Outcome::Erred, false);
        proxy.end(sess, 1, Outcome::Erred, false);
        proxy.now += ms(7_000);
    }
    let (sess, did) = proxy.arrive(None);
    assert!(dialled(&did).is_some());
    proxy.now += ms(took);
    proxy.tell(Event::SessionOpened {
        session: sess,
        dial: 0,
    });
    // Half of 4 s, or all of it, with the chance of a half to one and a half on top.
    proxy.now += ms(2_000);
    dialled(&proxy.arrive(None).1).is_some()
}

// However long nothing comes up, whoever looks at a proxy for 4 s sees it try.
#[test]
fn held_back_sessions_are_tried_within_four_seconds() {
    let mut proxy = Proxy::with(deployment(REPEATABLE), 10);
    let (mut last, mut gaps) = (proxy.now, Vec::new());
    for _ in 0..600 {
        proxy.wait(ms(100));
        let (sess, did) = proxy.arrive(None);
        if dialled(&did).is_some() {
            gaps.push(proxy.now - last);
            last = proxy.now;
            proxy.end(sess, 0, Outcome::Erred, false);
            proxy.end(sess, 1, Outcome::Erred, false);
        }
    }
    assert!(gaps.iter().all(|gap| *gap < ms(4_000)), "{gaps:?}");
    assert!(gaps.len() < 40, "{} of 600 are tried", gaps.len());
}

// Who failed last lets others go first, but where nobody else comes is tried again.
#[test]
fn a_client_that_fails_alone_is_tried_again() {
    let mut proxy = Proxy::with(deployment(REPEATABLE), 10);
    let again = |proxy: &mut Proxy, sess, item| {
        let dial_timeout = proxy.now + ms(4_800);
        came_to(&proxy.settle(Event::SessionRequested(SessionRequest {
            session: sess,
            hash_key: item,
            dial_timeout,
            ..SessionRequest::default()
        })))
    };
    assert_eq!(again(&mut proxy, 1, 7), 'D');
    proxy.end(1, 0, Outcome::Erred, false);
    proxy.end(1, 1, Outcome::Erred, false);
    proxy.now += ms(1_500);
    assert_eq!(again(&mut proxy, 2, 7), 'R', "others go first");
    proxy.now += ms(1_000);
    assert_eq!(again(&mut proxy, 3, 7), 'D', "nobody else came");
}

// Where a dial times out, the next is given as long as it would have needed: all at once, as traffic is thin.
#[test]
fn after_a_time_out_the_next_dial_waits_longer() {
    let mut proxy = Proxy::with(deployment(REPEATABLE), 10);
    proxy.open(None);
    let (sess, did) = proxy.arrive(None);
    let first = time_out(&did);
    proxy.now += first;
    proxy.end(sess, 0, Outcome::TimedOut, false);
    proxy.end(sess, 1, Outcome::CalledOff, true);
    let (_, did) = proxy.arrive(None);
    assert!(
        time_out(&did) >= first * 4,
        "{:?} after {first:?}",
        time_out(&did)
    );
}

// Where no report tells what a connection takes, warm servers show it by what they bear, and the settings by what is
// planned for all of them; the larger counts.
#[test_case(0, 0.0 => true; "nothing is borne yet, nothing planned")]
#[test_case(60, 0.0 => false; "fifteen each")]
#[test_case(0, 450.0 => false; "nothing is borne yet, as much is planned")]
#[test_case(60, 80.0 => false; "fifteen each, less is planned")]
fn without_reports_a_cold_server_gets_by_what_warm_ones_bear(open: usize, planned: f64) -> bool {
    let mut facts = deployment(REPEATABLE);
    (facts.may_probe, facts.proxy_count, facts.proxy_index) = (false, 3, 1);
    // For the ten servers that numbers up to the new one's stand for, four of which drain.
    facts.planned_connections = planned;
    let mut proxy = Proxy::with(facts, 4);
    proxy.open_many(open);
    (0..20).for_each(|_| drop(proxy.wait(ms(100))));
    // All others drain.
    proxy.tell(Event::Endpoints(EndpointUpdate::Complete(vec![Endpoint {
        started_at: Some(proxy.now),
        ..entry(9)
    }])));
    let mut sent = 0;
    for _ in 0..100 {
        proxy.wait(ms(100));
        (0..4).for_each(|_| sent += usize::from(dialled(&proxy.arrive(None).1).is_some()));
    }
    // Fifteen in the 20 s of its warming, at three quarters of four times its warmth.
    assert!(sent <= 11, "{sent}");
    sent < 4
}

// A server that fails its sessions is left alone, and tried again after a rest.
#[test_case(Outcome::Erred; "errs")]
#[test_case(Outcome::TimedOut; "hangs")]
#[test_case(Outcome::Unreachable; "cannot be reached")]
#[test_case(Outcome::Full; "turns sessions away")]
fn a_failing_server_rests(outcome: Outcome) {
    let mut proxy = Proxy::with(deployment(REPEATABLE), 2);
    let mut visits = 0;
    for _ in 0..200 {
        proxy.wait(ms(100));
        let (sess, did) = proxy.arrive(None);
        if dialled(&did) == Some(0) {
            visits += 1;
            assert_ne!(dialled(&proxy.end(sess, 0, outcome, false)), Some(0));
            proxy.tell(Event::SessionOpened {
                session: sess,
                dial: 1,
            });
            proxy.end(sess, 1, Outcome::Ok, true);
        } else {
            proxy.end(sess, 0, Outcome::CalledOff, true);
        }
    }
    assert!((2..=12).contains(&visits), "{visits} visits in 20 s");
}

// A session that every server turns away, such as one whose id is open elsewhere, is no fault of theirs.
#[test_case(Outcome::Erred => 0; "errs everywhere")]
#[test_case(Outcome::Reset => 0; "is cut off everywhere")]
#[test_case(Outcome::TimedOut => 3; "hangs everywhere")]
fn a_session_that_fails_everywhere_puts_no_server_to_rest(outcome: Outcome) -> usize {
    let mut proxy = Proxy::with(deployment(REPEATABLE), 4);
    let (sess, first) = proxy.arrive(None);
    let mut tried = vec![dialled(&first).unwrap()];
    for dial in 0..3 {
        // Others come up meanwhile, or the fault would not be its own.
        proxy.now += ms(1);
        proxy.open(None);
        tried.extend(dialled(&proxy.end(sess, dial, outcome, false)));
    }
    assert_eq!(tried.len(), 3);
    let sought: Vec<_> = (0..100)
        .filter_map(|_| dialled(&proxy.arrive(None).1))
        .collect();
    tried.into_iter().filter(|id| !sought.contains(id)).count()
}

#[test_case(30, false => 'D'; "most drain")]
#[test_case(40, false => 'R'; "all drain")]
#[test_case(40, true => 'D'; "all fail, serving goes on as if none did")]
fn a_proxy_finds_the_servers_that_are_left(lost: u32, fail: bool) -> char {
    let mut proxy = Proxy::with(deployment(REPEATABLE), 40);
    let drains = |id| Endpoint {
        state: EndpointState::Draining,
        ..entry(id)
    };
    (0..lost).for_each(|id| {
        drop(if fail {
            proxy.unanswered(id)
        } else {
            proxy.roster(drains(id))
        })
    });
    let came = came_to(&proxy.arrive(None).1);
    (40..80).for_each(|id| drop(proxy.roster(entry(id))));
    assert_eq!(came_to(&proxy.arrive(None).1), 'D', "a fleet that doubles");
    came
}

// One session more on full servers would spoil those that stand.
#[test_case(0.5 => 'D'; "room")]
#[test_case(0.95 => 'R'; "full")]
fn refused_where_no_server_has_room(asked: f64) -> char {
    let mut proxy = Proxy::with(deployment(REPEATABLE), 2);
    (0..2).for_each(|s| drop(proxy.probed(s, 50.0, asked)));
    let did = proxy.arrive(None).1;
    assert!(did.iter().all(
        |a| !matches!(a, Action::Reject { retry_after: come_back, .. } if come_back.is_zero())
    ));
    came_to(&did)
}

// When room runs out, what is worth less is refused first; with room, or where all are worth the same, nothing differs.
#[test_case(1.0, 1.0, 0.80 => "DD"; "alike, hardly any room")]
#[test_case(1.0, 0.2, 0.60 => "DD"; "worth less, room")]
#[test_case(1.0, 0.2, 0.80 => "DR"; "worth less, hardly any room")]
#[test_case(0.2, 1.0, 0.80 => "RD"; "worth more, hardly any room")]
#[test_case(1.0, 0.0, 0.60 => "DD"; "worth nothing, room")]
#[test_case(1.0, 0.2, 0.95 => "RR"; "full")]
fn what_is_worth_less_leaves_room(first: f64, second: f64, asked: f64) -> String {
    let facts = deployment(REPEATABLE);
    let listeners = [first, second]
        .map(|worth| Listener {
            priority_weight: worth,
            ..facts.listeners[0]
        })
        .to_vec();
    let mut proxy = Proxy::with(Deployment { listeners, ..facts }, 2);
    (0..2).for_each(|s| drop(proxy.probed(s, 50.0, asked)));
    [0, 1]
        .map(|listener| came_to(&proxy.arrive_at(listener, None).1))
        .iter()
        .collect()
}

// Connections on an overloaded or silent server are served nothing until some have gone.
#[test_case(REPEATABLE, Some(0.8) => 0; "not overloaded")]
#[test_case(REPEATABLE, Some(1.7) => 5; "twice what it should bear")]
#[test_case(REPEATABLE, None => 10; "silent")]
#[test_case(RetrySafety::NotIdempotent, None => 0; "once-only connections stay")]
fn an_overloaded_server_is_relieved(kind: RetrySafety, asked: Option<f64>) -> usize {
    let mut proxy = Proxy::with(deployment(kind), 1);
    proxy.open_many(10);
    let did = match asked {
        Some(asked) => proxy.probed(0, 10.0, asked),
        None => [proxy.unanswered(0), proxy.unanswered(0)].concat(),
    };
    count(&did, |a| matches!(a, Action::Migrate { .. }))
}

// Where a server slows down from report to report, what it can do now is foreseen; one that jumps may jump back.
#[test_case(&[0.4, 0.6, 0.9] => true; "slower twice running")]
#[test_case(&[0.4, 0.4, 0.9] => false; "slower once")]
#[test_case(&[0.9, 0.9, 0.9] => false; "as slow as before")]
#[test_case(&[0.75, 0.82, 0.9] => false; "a little slower twice running")]
fn a_server_that_slows_down_is_relieved_before_it_is_full(asked: &[f64]) -> bool {
    let mut proxy = Proxy::with(deployment(REPEATABLE), 1);
    proxy.open_many(20);
    asked.iter().any(|asked| {
        count(&proxy.probed(0, 20.0, *asked), |a| {
            matches!(a, Action::Migrate { .. })
        }) > 0
    })
}

// Refused for want of room, while one at rest stands idle after an error or two.
#[test_case(true => 'D'; "it answers probes")]
#[test_case(false => 'R'; "it does not")]
fn a_server_at_rest_is_tried_before_a_session_is_refused(answers: bool) -> char {
    let mut proxy = Proxy::with(deployment(REPEATABLE), 2);
    proxy.probed(0, 50.0, 0.2);
    proxy.probed(1, 50.0, 0.95);
    // Others have come up before; where none ever has, the first failure holds back.
    proxy.tell(Event::SessionInherited(
        SessionRequest {
            session: 99,
            ..SessionRequest::default()
        },
        0,
    ));
    let (sess, did) = proxy.arrive(None);
    assert_eq!(dialled(&did), Some(0));
    proxy.end(sess, 0, Outcome::Reset, false);
    (!answers).then(|| proxy.unanswered(0));
    came_to(&proxy.arrive(None).1)
}

// Slow messages tell of a starved server that its reports call fit.
#[test_case(80 => false; "within the target")]
#[test_case(120 => true; "over it")]
fn slow_messages_relieve_a_server(millis: u64) -> bool {
    let mut proxy = Proxy::with(deployment(REPEATABLE), 1);
    let (sess, server) = proxy.open_many(10)[0];
    proxy.probed(0, 10.0, 0.3);
    let did = proxy.tell(Event::Observed {
        session: sess,
        server,
        observation: Observation::Delay(ms(millis)),
    });
    count(&did, |a| matches!(a, Action::Migrate { .. })) > 0
}

// What is piled up keeps all messages late: with room elsewhere it pays to move many at once, without it none is better off.
#[test_case(0.3, 120 => true; "a little, room elsewhere")]
#[test_case(0.3, 900 => false; "much, room elsewhere")]
#[test_case(0.9, 900 => true; "much, no room")]
fn a_late_server_keeps_most_of_its_connections(asked: f64, millis: u64) -> bool {
    let mut proxy = Proxy::with(deployment(REPEATABLE), 2);
    (0..2).for_each(|server| drop(proxy.probed(server, 40.0, asked.min(0.4))));
    let (sess, server) = proxy.open_many(40)[0];
    (0..2).for_each(|server| drop(proxy.probed(server, 20.0, asked)));
    proxy.now += ms(2_000);
    let did = proxy.tell(Event::Observed {
        session: sess,
        server,
        observation: Observation::Delay(ms(millis)),
    });
    let held = 20.0;
    (count(&did, |a| matches!(a, Action::Migrate { .. })) as f64) < 0.35 * held
}

// Where hundreds hold a connection or two each, parts rounded up would empty the server.
#[test]
fn proxies_with_few_connections_move_the_excess_together() {
    let moved = (0..200).map(|nonce| {
        let mut proxy = Proxy::new(deployment(REPEATABLE), nonce, vec![entry(0)]);
        proxy.open(None);
        count(&proxy.probed(0, 200.0, 1.0), |a| {
            matches!(a, Action::Migrate { .. })
        })
    });
    assert!((15..=50).contains(&moved.sum::<usize>()));
}

#[test]
fn relief_waits_until_it_can_show_in_reports() {
    let mut proxy = Proxy::with(deployment(REPEATABLE), 1);
    proxy.open_many(20);
    let moved = |did: &[Action]| count(did, |a| matches!(a, Action::Migrate { .. }));
    assert!(moved(&proxy.probed(0, 20.0, 1.2)) > 0);
    proxy.now += ms(600);
    assert_eq!(moved(&proxy.probed(0, 20.0, 1.2)), 0);
    proxy.now += ms(600);
    assert!(moved(&proxy.probed(0, 18.0, 1.1)) > 0);
}

// A server just filled still looks empty in its late reports, and the other proxies fill it as well.
// Those whose connections have come here are not among them.
#[test_case(1, 0, false => 'D'; "alone")]
#[test_case(8, 0, false => 'R'; "eight proxies")]
#[test_case(8, 50, false => 'D'; "seven of them without connections")]
#[test_case(8, 0, true => 'D'; "clients that the others sent away")]
fn young_sends_count_for_every_proxy(proxies: u32, held: usize, again: bool) -> char {
    let mut facts = deployment(REPEATABLE);
    facts.proxy_count = proxies;
    let mut proxy = Proxy::with(facts, 1);
    proxy.open_many(held);
    proxy.wait(ms(2_000));
    proxy.probed(0, 50.0, 0.5);
    proxy.again = again;
    (0..12).for_each(|_| drop(proxy.arrive(None)));
    proxy.probed(0, 50.0, 0.5);
    came_to(&proxy.arrive(None).1)
}

// A group is paid for by every server that holds any of it.
#[test]
fn a_group_stays_together_and_proxies_agree_on_where() {
    let home = |nonce| {
        let mut proxy = Proxy::new(deployment(REPEATABLE), nonce, (0..8).map(entry).collect());
        (0..8).for_each(|s| drop(proxy.probed(s, 10.0 + f64::from(s), 0.2 + 0.01 * f64::from(s))));
        let got: Vec<ServerId> = (0..6).map(|_| proxy.open(Some(77)).1).collect();
        assert!(got.iter().all(|s| *s == got[0]), "{got:?}");
        got[0]
    };
    assert!((1..9).all(|nonce| home(nonce) == home(0)));
}

// Walking on through a busy zone would leave some of a group on every server there.
#[test]
fn a_group_takes_its_first_two_near_by_or_the_agreed_order() {
    let servers: Vec<Endpoint> = (0..12)
        .map(|id| Endpoint {
            zone: (id % 2) as u8,
            ..entry(id)
        })
        .collect();
    let at = |group, near: f64, far: f64, zone| {
        let mut facts = deployment(REPEATABLE);
        facts.zone = zone as u8;
        let mut proxy = Proxy::new(facts, 1, servers.clone());
        let load = |s| if s % 2 == zone { near } else { far } + 0.01 * f64::from(s);
        (0..12).for_each(|s| drop(proxy.probed(s, 10.0, load(s))));
        proxy.open(group).1
    };
    assert_eq!(
        [at(Some(5), 0.3, 0.3, 0) % 2, at(Some(5), 0.3, 0.3, 1) % 2],
        [0, 1]
    );
    assert_eq!(
        at(Some(5), 0.55, 0.55, 0),
        at(Some(5), 0.55, 0.55, 1),
        "both zones go by one order"
    );
    assert_eq!(at(None, 0.3, 0.1, 0) % 2, 0, "room in its own zone");
    assert_eq!(at(None, 0.8, 0.1, 0) % 2, 1, "beyond it where that is busy");
}

// Where set-ups are slow everywhere, short time-outs fill what they wait for with work nobody awaits.
#[test]
fn time_outs_follow_what_set_ups_take() {
    let mut proxy = Proxy::with(deployment(REPEATABLE), 4);
    for _ in 0..30 {
        let (sess, _) = proxy.arrive(None);
        proxy.now += ms(1_000);
        proxy.tell(Event::SessionOpened {
            session: sess,
            dial: 0,
        });
    }
    assert!(time_out(&proxy.arrive(None).1) > ms(1_500));
}

// Probes grow with what they are worth to us, not with proxies times servers.
#[test_case(1, 4; "one connection")]
#[test_case(8, 22; "eight")]
fn servers_in_use_are_probed_every_few_seconds(held: usize, at_least: usize) {
    let mut proxy = Proxy::with(deployment(REPEATABLE), 1);
    proxy.open_many(held);
    let mut probes = 0;
    for _ in 0..300 {
        proxy.probed(0, 10.0, 0.2);
        probes += count(&proxy.wait(ms(100)), IS_PROBE);
    }
    assert!(
        (at_least..at_least * 3 / 2).contains(&probes),
        "{probes} in 30 s"
    );
}

const IS_PROBE: fn(&Action) -> bool = |a| matches!(a, Action::Probe { .. });

// Six seconds by the old count are long where a failed proxy's clients come.
#[test]
fn a_server_that_fills_is_probed_within_a_second_or_so() {
    let mut proxy = Proxy::with(deployment(REPEATABLE), 1);
    proxy.open(None);
    proxy.wait(ms(300));
    proxy.open_many(20);
    assert!(count(&proxy.wait(ms(1_300)), IS_PROBE) > 0);
}

// What the first few connections pay for their groups made a proxy that had just started refuse everybody.
#[test_case(3.0 => 'D'; "few connections")]
#[test_case(8.0 => 'R'; "enough to tell")]
fn a_few_connections_do_not_tell_what_one_takes(counted: f64) -> char {
    let mut proxy = Proxy::with(deployment(REPEATABLE), 2);
    (0..2).for_each(|s| drop(proxy.probed(s, counted, counted * 0.08)));
    (0..30).for_each(|_| drop(proxy.arrive(None)));
    came_to(&proxy.arrive(None).1)
}

#[test_case(3; "three servers")]
#[test_case(120; "a hundred and twenty")]
fn a_session_has_its_two_candidates_asked_and_no_others(servers: u32) {
    let mut proxy = Proxy::with(deployment(REPEATABLE), servers);
    assert_eq!(
        count(&proxy.wait(ms(5_000)), IS_PROBE),
        0,
        "nothing held, nothing asked"
    );
    let did = proxy.arrive(None).1;
    assert_eq!((count(&did, IS_PROBE), came_to(&did)), (2, 'D'));
    proxy.now += ms(100);
    assert!(count(&proxy.arrive(None).1, IS_PROBE) <= 2);
}

// A session waits for probes for part of its time only, and one that leaves meanwhile is owed nothing.
#[test_case(true => '-'; "client left")]
#[test_case(false => 'D'; "probes lost")]
fn waiting_for_probes_ends(leaves: bool) -> char {
    let mut proxy = Proxy::with(deployment(REPEATABLE), 3);
    let arrival = SessionRequest {
        dial_timeout: proxy.now + ms(4_800),
        ..SessionRequest::default()
    };
    assert_eq!(came_to(&proxy.tell(Event::SessionRequested(arrival))), '-');
    if leaves {
        assert_eq!(
            proxy.tell(Event::ClientLeft { session: 0 }),
            [Action::Forget { session: 0 }]
        );
    }
    came_to(&proxy.wait(ms(500)))
}

#[test]
fn no_probe_and_no_calling_off_where_they_are_not_allowed() {
    let mut facts = deployment(REPEATABLE);
    (facts.may_probe, facts.may_cancel, facts.max_attempts) = (false, false, 0);
    let mut proxy = Proxy::with(facts, 2);
    let (sess, did) = proxy.arrive(None);
    assert_eq!(came_to(&did), 'D', "without a single report");
    let did = [
        proxy.tell(Event::ClientLeft { session: sess }),
        proxy.wait(ms(5_000)),
    ]
    .concat();
    assert!(
        did.iter().all(|a| matches!(a, Action::SetTimer { .. })),
        "{did:?}"
    );
}

// Odd but legal settings neither panic nor leave a session without an answer.
#[test_case(|f| f.proxy_count = 0; "no proxy counted")]
#[test_case(|f| f.packet_passthrough = true; "packets pass through")]
#[test_case(|f| f.weights_reflect_load = true; "weights that sink")]
#[test_case(|f| (f.slow_start.warm_after, f.slow_start.initial_capacity, f.slow_start.max_multiple) = (ms(0), 0.0, 0.0); "no cold rule")]
#[test_case(|f| f.endpoint_poll_delay = Some(ms(0)); "a roster asked without a limit")]
#[test_case(|f| (f.max_retry_after, f.listeners[0].handshake_target) = (ms(0), ms(0)); "no come-back, no target")]
fn odd_settings_serve(odd: fn(&mut asterramp_placement::Deployment)) {
    let mut facts = deployment(REPEATABLE);
    odd(&mut facts);
    let servers = vec![
        Endpoint {
            weight: f64::NAN,
            ..entry(0)
        },
        Endpoint {
            weight: 0.0,
            started_at: Some(ms(0)),
            ..entry(1)
        },
    ];
    let mut proxy = Proxy::new(facts, 0, servers);
    proxy.probed(0, 0.0, 0.0);
    proxy.probed(1, 3.0, 0.0);
    proxy.tell(Event::Endpoints(EndpointUpdate::Failed));
    proxy.wait(ms(1_000));
    // Others have come up before; where none ever has, the first failure holds back.
    proxy.tell(Event::SessionInherited(
        SessionRequest {
            session: 99,
            ..SessionRequest::default()
        },
        0,
    ));
    for _ in 0..9 {
        let (sess, did) = proxy.arrive(Some(1));
        assert_eq!(came_to(&did), 'D');
        assert_ne!(came_to(&proxy.end(sess, 0, Outcome::TimedOut, false)), '-');
    }
}

#[test]
fn connections_open_at_the_start_count_and_stray_events_are_ignored() {
    let mut proxy = Proxy::with(deployment(RetrySafety::NotIdempotent), 2);
    let arrival = SessionRequest {
        session: 0,
        ..SessionRequest::default()
    };
    assert!(
        proxy.tell(Event::SessionInherited(arrival, 5)).is_empty(),
        "a server that no list has named"
    );
    let lost = proxy.end(0, 0, Outcome::Reset, true);
    assert_eq!(lost, [Action::Forget { session: 0 }]);
    let load = Load::default();
    for stray in [
        Event::SessionOpened {
            session: 99,
            dial: 0,
        },
        Event::SessionOpened {
            session: 0,
            dial: 3,
        },
        Event::AttemptEnded {
            session: 0,
            dial: 0,
            outcome: Outcome::Ok,
            session_over: true,
            load,
        },
        Event::ClientLeft { session: 42 },
        Event::ProbeEnded {
            server: 77,
            outcome: Outcome::Ok,
            load,
        },
    ] {
        assert!(proxy.tell(stray).is_empty());
    }
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = |nonce| {
        let mut proxy = Proxy::new(deployment(REPEATABLE), nonce, (0..6).map(entry).collect());
        (0..40)
            .flat_map(|_| [proxy.arrive(None).1, proxy.wait(ms(300))].concat())
            .collect::<Vec<_>>()
    };
    assert_eq!(run(1), run(1));
    assert_ne!(run(1), run(2));
}

// A long walk for one session costs probes and time, and leaves its group on one server more.
#[test_case(12 => 'D'; "room among the first of its order")]
#[test_case(60 => 'R'; "none among them")]
fn a_session_looks_at_a_few_servers_only(full: u32) -> char {
    let mut proxy = Proxy::with(deployment(REPEATABLE), 64);
    proxy.loads = (0..64)
        .map(|s| (s, help::load(50.0, if s < full { 0.95 } else { 0.2 })))
        .collect();
    let did = proxy.arrive(Some(3)).1;
    assert!(count(&did, IS_PROBE) <= 32, "{did:?}");
    came_to(&did)
}

// A server so slow that one session more is too much looks empty once it has lost them all.
#[test_case(0 => 'R'; "still slow")]
#[test_case(12 => 'D'; "empty for a while")]
fn a_slow_server_that_emptied_is_not_filled_again(reports: usize) -> char {
    let mut proxy = Proxy::with(deployment(REPEATABLE), 2);
    (0..8).for_each(|_| drop(proxy.probed(1, 60.0, 0.9)));
    (0..8).for_each(|_| drop(proxy.probed(0, 1.0, 1.5)));
    proxy.wait(ms(1_100));
    (0..=reports).for_each(|_| drop(proxy.probed(0, 0.0, 0.0)));
    proxy.probed(1, 60.0, 0.9);
    came_to(&proxy.arrive(None).1)
}

#[test]
fn without_budget_for_a_further_dial_a_session_is_answered_at_once() {
    let rule = RetryBudgetRule {
        span: ms(2_000),
        free_retries: 1.0,
        retries_per_session: 0.0,
    };
    let mut proxy = Proxy::with(
        Deployment {
            retry_budget: Some(rule),
            ..deployment(REPEATABLE)
        },
        3,
    );
    let (first, _) = proxy.arrive(None);
    let (second, _) = proxy.arrive(None);
    assert!(dialled(&proxy.end(first, 0, Outcome::Unreachable, false)).is_some());
    let did = proxy.end(second, 0, Outcome::Unreachable, false);
    assert!(
        matches!(did[..], [Action::Reject { .. }, Action::Forget { .. }]),
        "{did:?}"
    );
    assert!(
        dialled(&proxy.arrive(None).1).is_some(),
        "first dials are not counted"
    );
    proxy.now += ms(2_200);
    assert!(
        dialled(&proxy.end(first, 1, Outcome::Unreachable, false)).is_some(),
        "it is there again"
    );
}

// What another process of this proxy had of a cold server's budget may be spent this moment.
#[test]
fn a_cold_server_that_was_inherited_waits_for_its_whole_budget() {
    let first_dial = |number: u32, inherited: bool| {
        let mut proxy = Proxy::bare(
            Deployment {
                proxy_index: number,
                proxy_count: 3,
                ..deployment(REPEATABLE)
            },
            7,
        );
        let cold = vec![Endpoint {
            started_at: Some(proxy.now),
            ..entry(0)
        }];
        proxy.tell(Event::Endpoints(if inherited {
            EndpointUpdate::Inherited(cold)
        } else {
            EndpointUpdate::Complete(cold)
        }));
        (0..600).find(|_| {
            proxy.wait(ms(100));
            dialled(&proxy.arrive(None).1).is_some()
        })
    };
    let steps: Vec<_> = (0..20)
        .map(|number| (first_dial(number, true), first_dial(number, false)))
        .collect();
    assert!(
        steps
            .iter()
            .all(|(inherited, told)| inherited.is_some() && inherited >= told),
        "{steps:?}"
    );
    let all = |steps: Vec<Option<i32>>| steps.into_iter().flatten().sum::<i32>();
    let (inherited, told) = steps.into_iter().unzip();
    assert!(
        all(inherited) > all(told) + 20,
        "on the whole it waits longer"
    );
}
