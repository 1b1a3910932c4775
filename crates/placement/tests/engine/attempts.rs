//! Attempts and final answers: how many, where, for how long.

use crate::support::{
    IDEMPOTENT, KEY_KNOWN_BY_ALL, KEY_KNOWN_BY_CELL, KEY_KNOWN_BY_ZONE, Proxy, SHORT_KEY,
    deployment, dial_timeout_of, dialed_server, endpoint, ms, outcome_letter,
};
use asterramp_placement::deployment::{RetryBudgetRule, RetrySafety};
use asterramp_placement::event::{Endpoint, Outcome};
use asterramp_placement::{Deployment, PlacementAction, PlacementEvent};
use test_case::test_case;

// Each rule on every kind: what follows a failed dial.
#[test_case(IDEMPOTENT, Outcome::TimedOut => 'D'; "idempotent that may have run")]
#[test_case(KEY_KNOWN_BY_ALL, Outcome::ServerError => 'D'; "keyed, known everywhere")]
#[test_case(SHORT_KEY, Outcome::ServerError => 'R'; "keyed, forgotten by now")]
#[test_case(KEY_KNOWN_BY_ZONE, Outcome::Reset => 'D'; "keyed, known in the zone")]
#[test_case(KEY_KNOWN_BY_CELL, Outcome::Reset => 'D'; "keyed, known in a cell of one")]
#[test_case(KEY_KNOWN_BY_CELL, Outcome::Unreachable => 'D'; "keyed that cannot have run")]
#[test_case(RetrySafety::NotIdempotent, Outcome::TimedOut => 'T'; "not idempotent that timed out")]
#[test_case(RetrySafety::NotIdempotent, Outcome::ServerError => 'T'; "not idempotent that erred")]
#[test_case(RetrySafety::NotIdempotent, Outcome::Reset => 'T'; "not idempotent that was reset")]
#[test_case(RetrySafety::NotIdempotent, Outcome::Full => 'D'; "not idempotent turned away unseen")]
#[test_case(RetrySafety::NotIdempotent, Outcome::Unreachable => 'D'; "not idempotent that reached nobody")]
fn nothing_is_executed_twice(kind: RetrySafety, outcome: Outcome) -> char {
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
    let mut proxy = Proxy::new(deployment(kind), 5, servers);
    let (session, first) = proxy.request_session(None);
    proxy.now += ms(100);
    let next = proxy.end_attempt(session, 0, outcome, false);
    if kind == KEY_KNOWN_BY_CELL && outcome == Outcome::Reset {
        assert_eq!(
            dialed_server(&next),
            dialed_server(&first),
            "the other cell would not know it"
        );
    }
    outcome_letter(&next)
}

#[test_case(IDEMPOTENT, 0 => 'R'; "idempotent, no server")]
#[test_case(RetrySafety::NotIdempotent, 0 => 'R'; "not idempotent, no server")]
#[test_case(RetrySafety::NotIdempotent, 1 => 'D'; "not idempotent, one server")]
fn answered_at_once_without_a_usable_server(kind: RetrySafety, servers: u32) -> char {
    outcome_letter(
        &Proxy::with(deployment(kind), servers)
            .request_session(None)
            .1,
    )
}

#[test_case(IDEMPOTENT, 'R'; "idempotent")]
#[test_case(KEY_KNOWN_BY_ALL, 'R'; "keyed")]
#[test_case(KEY_KNOWN_BY_ZONE, 'T'; "keyed in a zone")]
#[test_case(RetrySafety::NotIdempotent, 'T'; "not idempotent")]
fn one_answer_and_no_dial_after_the_dial_timeout(kind: RetrySafety, answer: char) {
    let mut proxy = Proxy::with(deployment(kind), 3);
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
fn attempts_are_few_and_one_at_a_time_and_leave_time_for_the_next() {
    let mut proxy = Proxy::with(deployment(IDEMPOTENT), 6);
    let (session, actions) = proxy.request_session(None);
    assert_eq!(dial_timeout_of(&actions), ms(400));
    let mut seen = vec![dialed_server(&actions).unwrap()];
    assert!(
        proxy
            .handle(PlacementEvent::Tick)
            .iter()
            .all(|a| !matches!(a, PlacementAction::Dial { .. })),
        "the first is still out"
    );
    for (dial, wanted) in [(0, 'D'), (1, 'D'), (2, 'R')] {
        proxy.now += ms(400);
        // Others come up meanwhile, or the fault would not be the servers'.
        proxy.open_session(None);
        let actions = proxy.end_attempt(session, dial, Outcome::ServerError, false);
        assert_eq!(outcome_letter(&actions), wanted);
        seen.extend(dialed_server(&actions));
    }
    seen.dedup();
    assert_eq!(seen.len(), 3, "each at another server: {seen:?}");
}

// Where a dial times out, the next is given as long as it would have needed: all at once, as traffic is thin.
#[test]
fn after_a_timeout_the_next_attempt_waits_longer() {
    let mut proxy = Proxy::with(deployment(IDEMPOTENT), 10);
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

// Where set-ups are slow everywhere, short time-outs fill what they wait for with work nobody awaits.
#[test]
fn time_outs_follow_what_set_ups_take() {
    let mut proxy = Proxy::with(deployment(IDEMPOTENT), 4);
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
fn without_retry_budget_a_session_is_answered_at_once() {
    let rule = RetryBudgetRule {
        window: ms(2_000),
        min_retries: 1.0,
        retries_per_session: 0.0,
    };
    let mut proxy = Proxy::with(
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
        "first dials are not counted"
    );
    proxy.now += ms(2_200);
    assert!(
        dialed_server(&proxy.end_attempt(first, 1, Outcome::Unreachable, false)).is_some(),
        "it is there again"
    );
}
