//! Pauses between new sessions while sessions fail wherever they go.

use crate::support::{IDEMPOTENT, Proxy, deployment, dialed_server, endpoint, ms, outcome_letter};
use asterramp_placement::event::{Endpoint, Outcome, SessionRequest};
use asterramp_placement::{Deployment, PlacementEvent};
use test_case::test_case;

// What stands behind the servers is short: dials of all proxies, over and over, would keep it so.
#[test_case(Outcome::ServerError; "err")]
#[test_case(Outcome::TimedOut; "hang")]
fn while_all_sessions_fail_most_are_rejected_at_once_until_one_opens(outcome: Outcome) {
    let facts = Deployment {
        max_attempts: 6,
        ..deployment(IDEMPOTENT)
    };
    let mut proxy = Proxy::with(facts, 40);
    let mut dials = 0;
    let mut sessions = 0;
    for _ in 0..200 {
        proxy.wait(ms(100));
        let (session, mut actions) = proxy.request_session(None);
        for dial in 0.. {
            if dialed_server(&actions).is_none() {
                break;
            }
            dials += 1;
            sessions += usize::from(dial == 0);
            proxy.now += ms(10);
            actions = proxy.end_attempt(session, dial, outcome, false);
        }
        assert_eq!(outcome_letter(&actions), 'R');
    }
    assert!(
        (5..=24).contains(&sessions) && dials <= sessions + 10,
        "{dials} dials, {sessions} sessions in 20 s"
    );
    // The first that comes up lets half as long a pause follow, and so on.
    let up = |proxy: &mut Proxy| {
        proxy.wait(ms(100));
        let (session, actions) = proxy.request_session(None);
        proxy.handle(PlacementEvent::SessionOpened {
            session,
            attempt: 0,
        });
        dialed_server(&actions).is_some()
    };
    let since = proxy.now;
    while !(0..10).all(|_| up(&mut proxy)) {
        assert!(proxy.now < since + ms(15_000), "they are not dialed again");
    }
}

// A zone whose servers all err is not what stands behind all servers.
#[test]
fn where_a_zone_fails_sessions_go_to_another_and_none_are_paced() {
    let servers = (0..12)
        .map(|s| Endpoint {
            zone: (s % 2) as u8,
            ..endpoint(s)
        })
        .collect();
    let mut proxy = Proxy::new(
        Deployment {
            max_attempts: 4,
            ..deployment(IDEMPOTENT)
        },
        7,
        servers,
    );
    for _ in 0..200 {
        let (session, mut actions) = proxy.request_session(None);
        let dials = (0..4).take_while(|dial| {
            proxy.now += ms(10);
            let server = dialed_server(&actions).expect("a dial");
            if server.is_multiple_of(2) {
                actions = proxy.end_attempt(session, *dial, Outcome::ServerError, false);
            } else {
                proxy.handle(PlacementEvent::SessionOpened {
                    session,
                    attempt: *dial,
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
fn while_others_open_a_session_that_fails_twice_paces_nobody() {
    let mut proxy = Proxy::with(
        Deployment {
            max_attempts: 6,
            ..deployment(IDEMPOTENT)
        },
        40,
    );
    for _ in 0..50 {
        let (session, actions) = proxy.request_session(None);
        assert!(dialed_server(&actions).is_some());
        for dial in 0..3 {
            proxy.now += ms(10);
            proxy.open_session(None);
            let actions = proxy.end_attempt(session, dial, Outcome::ServerError, false);
            assert!(dialed_server(&actions).is_some(), "dial {dial}");
        }
        proxy.end_attempt(session, 3, Outcome::Cancelled, true);
        proxy.wait(ms(100));
    }
}

// A process that nothing has come up at yet, as after a restart, holds others back at its first failure; that session
// itself is dialed elsewhere. What says nothing of what stands behind the servers does not count.
#[test_case(Outcome::ServerError, false => 'R'; "errs")]
#[test_case(Outcome::TimedOut, false => 'R'; "times out")]
#[test_case(Outcome::Reset, false => 'R'; "is reset")]
#[test_case(Outcome::Full, false => 'D'; "is turned away")]
#[test_case(Outcome::Unreachable, false => 'D'; "cannot connect")]
#[test_case(Outcome::Cancelled, false => 'D'; "is sent away")]
#[test_case(Outcome::ServerError, true => 'D'; "errs where another has come up")]
fn a_fresh_process_paces_sessions_after_its_first_failure(outcome: Outcome, served: bool) -> char {
    let mut proxy = Proxy::with(deployment(IDEMPOTENT), 10);
    if served {
        proxy.open_session(None);
        proxy.now += ms(2_000);
    }
    let (session, actions) = proxy.request_session(None);
    assert!(dialed_server(&actions).is_some());
    assert_eq!(
        outcome_letter(&proxy.end_attempt(session, 0, outcome, false)),
        'D',
        "it goes on elsewhere"
    );
    proxy.now += ms(50);
    outcome_letter(&proxy.request_session(None).1)
}

// While sessions are held back, one that came up at once lets the next go sooner, one that took long later.
#[test_case(5 => true; "at once")]
#[test_case(500 => false; "after long")]
fn a_session_that_opens_slowly_lengthens_the_pause(took: u64) -> bool {
    let mut proxy = Proxy::with(deployment(IDEMPOTENT), 10);
    // Two clients fail everywhere: the pause is its longest.
    for _ in 0..2 {
        let (session, actions) = proxy.request_session(None);
        assert!(dialed_server(&actions).is_some());
        proxy.end_attempt(session, 0, Outcome::ServerError, false);
        proxy.end_attempt(session, 1, Outcome::ServerError, false);
        proxy.now += ms(7_000);
    }
    let (session, actions) = proxy.request_session(None);
    assert!(dialed_server(&actions).is_some());
    proxy.now += ms(took);
    proxy.handle(PlacementEvent::SessionOpened {
        session,
        attempt: 0,
    });
    // Half of 4 s, or all of it, with the chance of a half to one and a half on top.
    proxy.now += ms(2_000);
    dialed_server(&proxy.request_session(None).1).is_some()
}

// However long nothing comes up, whoever looks at a proxy for 4 s sees it try.
#[test]
fn paced_sessions_are_tried_within_four_seconds() {
    let mut proxy = Proxy::with(deployment(IDEMPOTENT), 10);
    let mut last = proxy.now;
    let mut gaps = Vec::new();
    for _ in 0..600 {
        proxy.wait(ms(100));
        let (session, actions) = proxy.request_session(None);
        if dialed_server(&actions).is_some() {
            gaps.push(proxy.now - last);
            last = proxy.now;
            proxy.end_attempt(session, 0, Outcome::ServerError, false);
            proxy.end_attempt(session, 1, Outcome::ServerError, false);
        }
    }
    assert!(gaps.iter().all(|gap| *gap < ms(4_000)), "{gaps:?}");
    assert!(gaps.len() < 40, "{} of 600 are tried", gaps.len());
}

// Who failed last lets others go first, but where nobody else comes is tried again.
#[test]
fn a_client_that_fails_alone_is_tried_again() {
    let mut proxy = Proxy::with(deployment(IDEMPOTENT), 10);
    let again = |proxy: &mut Proxy, session, item| {
        let answer_deadline = proxy.now + ms(4_800);
        outcome_letter(
            &proxy.handle_and_answer_probes(PlacementEvent::SessionRequested(SessionRequest {
                session,
                hash_key: item,
                answer_deadline,
                ..SessionRequest::default()
            })),
        )
    };
    assert_eq!(again(&mut proxy, 1, 7), 'D');
    proxy.end_attempt(1, 0, Outcome::ServerError, false);
    proxy.end_attempt(1, 1, Outcome::ServerError, false);
    proxy.now += ms(1_500);
    assert_eq!(again(&mut proxy, 2, 7), 'R', "others go first");
    proxy.now += ms(1_000);
    assert_eq!(again(&mut proxy, 3, 7), 'D', "nobody else came");
}
