//! Attempts and final answers: the number of attempts, their servers and their timeouts.

use crate::support::{
    IDEMPOTENT, KEY_KNOWN_BY_ALL, KEY_KNOWN_BY_CELL, KEY_KNOWN_BY_ZONE, Proxy, SHORT_KEY,
    deployment, dial_timeout_of, dialed_server, endpoint, ms, outcome_letter,
};
use asterramp_placement::deployment::{RetryBudgetRule, RetrySafety};
use asterramp_placement::event::{Endpoint, Outcome};
use asterramp_placement::{Deployment, PlacementAction, PlacementEvent};
use test_case::test_case;

// Result of a failed first attempt, for each retry safety and outcome.
#[test_case(IDEMPOTENT, Outcome::TimedOut => 'D'; "idempotent, may have been executed")]
#[test_case(KEY_KNOWN_BY_ALL, Outcome::ServerError => 'D'; "keyed, all servers share keys")]
#[test_case(SHORT_KEY, Outcome::ServerError => 'R'; "keyed, key expired")]
#[test_case(KEY_KNOWN_BY_ZONE, Outcome::Reset => 'D'; "keyed, the zone shares keys")]
#[test_case(KEY_KNOWN_BY_CELL, Outcome::Reset => 'D'; "keyed, cell of one server")]
#[test_case(KEY_KNOWN_BY_CELL, Outcome::Unreachable => 'D'; "keyed, not executed")]
#[test_case(RetrySafety::NotIdempotent, Outcome::TimedOut => 'T'; "not idempotent, timed out")]
#[test_case(RetrySafety::NotIdempotent, Outcome::ServerError => 'T'; "not idempotent, server error")]
#[test_case(RetrySafety::NotIdempotent, Outcome::Reset => 'T'; "not idempotent, reset")]
#[test_case(RetrySafety::NotIdempotent, Outcome::Full => 'D'; "not idempotent, server full")]
#[test_case(RetrySafety::NotIdempotent, Outcome::Unreachable => 'D'; "not idempotent, unreachable")]
fn nothing_is_executed_twice(retry_safety: RetrySafety, outcome: Outcome) -> char {
    let servers = vec![
        Endpoint {
            cell: 1,
            ..endpoint(0)
        },
        Endpoint {
            cell: 2,
            ..endpoint(1)
        },
    ];
    let mut proxy = Proxy::new(deployment(retry_safety), 5, servers);
    let (session, first) = proxy.request_session(None);
    proxy.now += ms(100);
    let next = proxy.end_attempt(session, 0, outcome, false);
    if retry_safety == KEY_KNOWN_BY_CELL && outcome == Outcome::Reset {
        assert_eq!(
            dialed_server(&next),
            dialed_server(&first),
            "servers of the other cell do not know the key"
        );
    }
    outcome_letter(&next)
}

#[test_case(IDEMPOTENT, 0 => 'R'; "idempotent, no server")]
#[test_case(RetrySafety::NotIdempotent, 0 => 'R'; "not idempotent, no server")]
#[test_case(RetrySafety::NotIdempotent, 1 => 'D'; "not idempotent, one server")]
fn answered_at_once_without_a_usable_server(retry_safety: RetrySafety, servers: u32) -> char {
    outcome_letter(
        &Proxy::with_servers(deployment(retry_safety), servers)
            .request_session(None)
            .1,
    )
}

#[test_case(IDEMPOTENT, 'R'; "idempotent")]
#[test_case(KEY_KNOWN_BY_ALL, 'R'; "keyed")]
#[test_case(KEY_KNOWN_BY_ZONE, 'T'; "keyed in a zone")]
#[test_case(RetrySafety::NotIdempotent, 'T'; "not idempotent")]
fn one_answer_and_no_dial_after_the_answer_deadline(retry_safety: RetrySafety, answer: char) {
    let mut proxy = Proxy::with_servers(deployment(retry_safety), 3);
    let (session, _) = proxy.request_session(None);
    proxy.now += ms(4_800);
    assert_eq!(
        outcome_letter(&proxy.end_attempt(session, 0, Outcome::TimedOut, false)),
        answer
    );
    for stray in [
        proxy.end_attempt(session, 0, Outcome::TimedOut, false),
        proxy.handle(PlacementEvent::ClientLeft { session }),
    ] {
        assert!(stray.is_empty(), "{stray:?}");
    }
}

#[test]
fn attempts_are_limited_and_sequential_and_leave_time_for_the_next() {
    let mut proxy = Proxy::with_servers(deployment(IDEMPOTENT), 6);
    let (session, actions) = proxy.request_session(None);
    assert_eq!(dial_timeout_of(&actions), ms(400));
    let mut dialed = vec![dialed_server(&actions).unwrap()];
    assert!(
        proxy
            .handle(PlacementEvent::Tick)
            .iter()
            .all(|action| !matches!(action, PlacementAction::Dial { .. })),
        "the first attempt has not ended"
    );
    for (attempt, expected) in [(0, 'D'), (1, 'D'), (2, 'R')] {
        proxy.now += ms(400);
        // Other sessions open in between, or the failures would start session pacing.
        proxy.open_session(None);
        let actions = proxy.end_attempt(session, attempt, Outcome::ServerError, false);
        assert_eq!(outcome_letter(&actions), expected);
        dialed.extend(dialed_server(&actions));
    }
    dialed.dedup();
    assert_eq!(dialed.len(), 3, "each at another server: {dialed:?}");
}

// With little traffic an average setup time would rise too late, so one timeout raises it at once.
#[test]
fn after_a_timeout_the_next_attempt_waits_longer() {
    let mut proxy = Proxy::with_servers(deployment(IDEMPOTENT), 10);
    proxy.open_session(None);
    let (session, actions) = proxy.request_session(None);
    let first = dial_timeout_of(&actions);
    proxy.now += first;
    proxy.end_attempt(session, 0, Outcome::TimedOut, false);
    proxy.end_attempt(session, 1, Outcome::Cancelled, true);
    let (_, actions) = proxy.request_session(None);
    assert!(
        dial_timeout_of(&actions) >= first * 4,
        "{:?} after {first:?}",
        dial_timeout_of(&actions)
    );
}

// If sessions open slowly at all servers, short timeouts would fill the servers with work for clients that no longer
// wait for it.
#[test]
fn attempt_timeouts_grow_with_the_setup_time() {
    let mut proxy = Proxy::with_servers(deployment(IDEMPOTENT), 4);
    for _ in 0..30 {
        let (session, _) = proxy.request_session(None);
        proxy.now += ms(1_000);
        proxy.handle(PlacementEvent::SessionOpened {
            session,
            attempt: 0,
        });
    }
    assert!(dial_timeout_of(&proxy.request_session(None).1) > ms(1_500));
}

#[test]
fn a_session_is_rejected_at_once_when_the_retry_budget_is_used_up() {
    let rule = RetryBudgetRule {
        window: ms(2_000),
        min_retries: 1.0,
        retries_per_session: 0.0,
    };
    let mut proxy = Proxy::with_servers(
        Deployment {
            retry_budget: Some(rule),
            ..deployment(IDEMPOTENT)
        },
        3,
    );
    let (first, _) = proxy.request_session(None);
    let (second, _) = proxy.request_session(None);
    assert!(dialed_server(&proxy.end_attempt(first, 0, Outcome::Unreachable, false)).is_some());
    let actions = proxy.end_attempt(second, 0, Outcome::Unreachable, false);
    assert!(
        matches!(
            actions[..],
            [
                PlacementAction::Reject { .. },
                PlacementAction::ReleaseSession { .. }
            ]
        ),
        "{actions:?}"
    );
    assert!(
        dialed_server(&proxy.request_session(None).1).is_some(),
        "first attempts are not counted"
    );
    proxy.now += ms(2_200);
    assert!(
        dialed_server(&proxy.end_attempt(first, 1, Outcome::Unreachable, false)).is_some(),
        "the budget recovers after its window"
    );
}
