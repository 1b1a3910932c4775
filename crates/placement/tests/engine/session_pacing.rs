//! Pauses between new sessions while sessions fail at every server.

use crate::support::{IDEMPOTENT, Proxy, deployment, dialed_server, endpoint, ms, outcome_letter};
use asterramp_placement::event::{Endpoint, Outcome, SessionRequest};
use asterramp_placement::{Deployment, PlacementEvent};
use test_case::test_case;

// A shared dependency of the servers is overloaded: repeated dials by all proxies would keep it overloaded.
#[test_case(Outcome::ServerError; "server errors")]
#[test_case(Outcome::TimedOut; "timeouts")]
fn while_all_sessions_fail_most_are_rejected_at_once_until_one_opens(outcome: Outcome) {
    let config = Deployment {
        max_attempts: 6,
        ..deployment(IDEMPOTENT)
    };
    let mut proxy = Proxy::with_servers(config, 40);
    let mut dials = 0;
    let mut sessions = 0;
    for _ in 0..200 {
        proxy.wait(ms(100));
        let (session, mut actions) = proxy.request_session(None);
        for attempt in 0.. {
            if dialed_server(&actions).is_none() {
                break;
            }
            dials += 1;
            sessions += usize::from(attempt == 0);
            proxy.now += ms(10);
            actions = proxy.end_attempt(session, attempt, outcome, false);
        }
        assert_eq!(outcome_letter(&actions), 'R');
    }
    assert!(
        (5..=24).contains(&sessions) && dials <= sessions + 10,
        "{dials} dials, {sessions} sessions in 20 s"
    );
    // Each session that opens halves the pause.
    let opens = |proxy: &mut Proxy| {
        proxy.wait(ms(100));
        let (session, actions) = proxy.request_session(None);
        proxy.handle(PlacementEvent::SessionOpened {
            session,
            attempt: 0,
        });
        dialed_server(&actions).is_some()
    };
    let recovered_at = proxy.now;
    while !(0..10).all(|_| opens(&mut proxy)) {
        assert!(
            proxy.now < recovered_at + ms(15_000),
            "sessions are still paced"
        );
    }
}

// Failures of one zone's servers don't show that a dependency of all servers is overloaded.
#[test]
fn where_a_zone_fails_sessions_go_to_another_and_none_are_paced() {
    let servers = (0..12)
        .map(|server| Endpoint {
            zone: (server % 2) as u8,
            ..endpoint(server)
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
        let failed_attempts = (0..4).take_while(|attempt| {
            proxy.now += ms(10);
            let server = dialed_server(&actions).expect("a dial");
            if server.is_multiple_of(2) {
                actions = proxy.end_attempt(session, *attempt, Outcome::ServerError, false);
            } else {
                proxy.handle(PlacementEvent::SessionOpened {
                    session,
                    attempt: *attempt,
                });
            }
            server.is_multiple_of(2)
        });
        assert!(
            failed_attempts.count() <= 1,
            "the zone is avoided after one error"
        );
        proxy.wait(ms(500));
    }
}

// While other sessions open, a session's failures only show that the servers it was dialed at failed.
#[test]
fn a_session_that_fails_repeatedly_while_others_open_starts_no_pacing() {
    let mut proxy = Proxy::with_servers(
        Deployment {
            max_attempts: 6,
            ..deployment(IDEMPOTENT)
        },
        40,
    );
    for _ in 0..50 {
        let (session, actions) = proxy.request_session(None);
        assert!(dialed_server(&actions).is_some());
        for attempt in 0..3 {
            proxy.now += ms(10);
            proxy.open_session(None);
            let actions = proxy.end_attempt(session, attempt, Outcome::ServerError, false);
            assert!(dialed_server(&actions).is_some(), "attempt {attempt}");
        }
        proxy.end_attempt(session, 3, Outcome::Cancelled, true);
        proxy.wait(ms(100));
    }
}

// A process in which no session has opened yet, as after a restart, paces sessions from its first failure on; the
// failed session itself is retried at another server. Outcomes that don't show an overloaded dependency don't count.
#[test_case(Outcome::ServerError, false => 'R'; "server error")]
#[test_case(Outcome::TimedOut, false => 'R'; "timeout")]
#[test_case(Outcome::Reset, false => 'R'; "reset")]
#[test_case(Outcome::Full, false => 'D'; "full")]
#[test_case(Outcome::Unreachable, false => 'D'; "unreachable")]
#[test_case(Outcome::Cancelled, false => 'D'; "cancelled")]
#[test_case(Outcome::ServerError, true => 'D'; "server error after another session opened")]
fn a_fresh_process_paces_sessions_after_its_first_failure(
    outcome: Outcome,
    opened_before: bool,
) -> char {
    let mut proxy = Proxy::with_servers(deployment(IDEMPOTENT), 10);
    if opened_before {
        proxy.open_session(None);
        proxy.now += ms(2_000);
    }
    let (session, actions) = proxy.request_session(None);
    assert!(dialed_server(&actions).is_some());
    assert_eq!(
        outcome_letter(&proxy.end_attempt(session, 0, outcome, false)),
        'D',
        "the session is retried"
    );
    proxy.now += ms(50);
    outcome_letter(&proxy.request_session(None).1)
}

// While sessions are paced, one that opens quickly shortens the pause, and one that opens slowly lengthens it.
#[test_case(5 => true; "quickly")]
#[test_case(500 => false; "slowly")]
fn a_session_that_opens_slowly_lengthens_the_pause(setup_millis: u64) -> bool {
    let mut proxy = Proxy::with_servers(deployment(IDEMPOTENT), 10);
    // Sessions of two clients fail at every server, which lengthens the pause to its maximum.
    for _ in 0..2 {
        let (session, actions) = proxy.request_session(None);
        assert!(dialed_server(&actions).is_some());
        proxy.end_attempt(session, 0, Outcome::ServerError, false);
        proxy.end_attempt(session, 1, Outcome::ServerError, false);
        proxy.now += ms(7_000);
    }
    let (session, actions) = proxy.request_session(None);
    assert!(dialed_server(&actions).is_some());
    proxy.now += ms(setup_millis);
    proxy.handle(PlacementEvent::SessionOpened {
        session,
        attempt: 0,
    });
    // The pause is now half of its maximum of 3 s, or all of it.
    proxy.now += ms(2_000);
    dialed_server(&proxy.request_session(None).1).is_some()
}

// However long no session opens, a proxy dials one at least every 4 s.
#[test]
fn paced_sessions_are_tried_within_four_seconds() {
    let mut proxy = Proxy::with_servers(deployment(IDEMPOTENT), 10);
    let mut last_dial = proxy.now;
    let mut gaps = Vec::new();
    for _ in 0..600 {
        proxy.wait(ms(100));
        let (session, actions) = proxy.request_session(None);
        if dialed_server(&actions).is_some() {
            gaps.push(proxy.now - last_dial);
            last_dial = proxy.now;
            proxy.end_attempt(session, 0, Outcome::ServerError, false);
            proxy.end_attempt(session, 1, Outcome::ServerError, false);
        }
    }
    assert!(gaps.iter().all(|gap| *gap < ms(4_000)), "{gaps:?}");
    assert!(gaps.len() < 40, "{} of 600 sessions are dialed", gaps.len());
}

// The client whose session failed last has to wait for others, but is dialed again if no other requests a session.
#[test]
fn a_failed_client_is_dialed_again_if_no_other_comes() {
    let mut proxy = Proxy::with_servers(deployment(IDEMPOTENT), 10);
    let request = |proxy: &mut Proxy, session, hash_key| {
        let answer_deadline = proxy.now + ms(4_800);
        outcome_letter(
            &proxy.handle_and_answer_probes(PlacementEvent::SessionRequested(SessionRequest {
                session,
                hash_key,
                answer_deadline,
                ..SessionRequest::default()
            })),
        )
    };
    assert_eq!(request(&mut proxy, 1, 7), 'D');
    proxy.end_attempt(1, 0, Outcome::ServerError, false);
    proxy.end_attempt(1, 1, Outcome::ServerError, false);
    proxy.now += ms(1_500);
    assert_eq!(request(&mut proxy, 2, 7), 'R', "others go first");
    proxy.now += ms(1_000);
    assert_eq!(request(&mut proxy, 3, 7), 'D', "no other client came");
}
