//! Attempts and final answers: how many, where, for how long.

use crate::support::{
    IDEMPOTENT, KEY_KNOWN_BY_ALL, KEY_KNOWN_BY_CELL, KEY_KNOWN_BY_ZONE, Proxy, SHORT_KEY, came_to,
    deployment, dialled, entry, ms, time_out,
};
use asterramp_placement::deployment::{RetryBudgetRule, RetrySafety};
use asterramp_placement::event::{Endpoint, Outcome};
use asterramp_placement::{Action, Deployment, Event};
use test_case::test_case;

// Each rule on every kind: what follows a failed dial.
#[test_case(IDEMPOTENT, Outcome::TimedOut => 'D'; "repeatable that may have run")]
#[test_case(KEY_KNOWN_BY_ALL, Outcome::Erred => 'D'; "referenced, known everywhere")]
#[test_case(SHORT_KEY, Outcome::Erred => 'R'; "referenced, forgotten by now")]
#[test_case(KEY_KNOWN_BY_ZONE, Outcome::Reset => 'D'; "referenced, known in the zone")]
#[test_case(KEY_KNOWN_BY_CELL, Outcome::Reset => 'D'; "referenced, known in a cell of one")]
#[test_case(KEY_KNOWN_BY_CELL, Outcome::Unreachable => 'D'; "referenced that cannot have run")]
#[test_case(RetrySafety::NotIdempotent, Outcome::TimedOut => 'T'; "once-only that timed out")]
#[test_case(RetrySafety::NotIdempotent, Outcome::Erred => 'T'; "once-only that erred")]
#[test_case(RetrySafety::NotIdempotent, Outcome::Reset => 'T'; "once-only that was reset")]
#[test_case(RetrySafety::NotIdempotent, Outcome::Full => 'D'; "once-only turned away unseen")]
#[test_case(RetrySafety::NotIdempotent, Outcome::Unreachable => 'D'; "once-only that reached nobody")]
fn nothing_is_executed_twice(kind: RetrySafety, outcome: Outcome) -> char {
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
    if kind == KEY_KNOWN_BY_CELL && outcome == Outcome::Reset {
        assert_eq!(
            dialled(&next),
            dialled(&first),
            "the other cell would not know it"
        );
    }
    came_to(&next)
}

#[test_case(IDEMPOTENT, 0 => 'R'; "repeatable, empty roster")]
#[test_case(RetrySafety::NotIdempotent, 0 => 'R'; "once-only, empty roster")]
#[test_case(RetrySafety::NotIdempotent, 1 => 'D'; "once-only, one server")]
fn answered_at_once_without_a_usable_server(kind: RetrySafety, servers: u32) -> char {
    came_to(&Proxy::with(deployment(kind), servers).arrive(None).1)
}

#[test_case(IDEMPOTENT, 'R'; "repeatable")]
#[test_case(KEY_KNOWN_BY_ALL, 'R'; "referenced")]
#[test_case(KEY_KNOWN_BY_ZONE, 'T'; "referenced in a zone")]
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
fn attempts_are_few_and_one_at_a_time_and_leave_time_for_the_next() {
    let mut proxy = Proxy::with(deployment(IDEMPOTENT), 6);
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

// Where a dial times out, the next is given as long as it would have needed: all at once, as traffic is thin.
#[test]
fn after_a_timeout_the_next_attempt_waits_longer() {
    let mut proxy = Proxy::with(deployment(IDEMPOTENT), 10);
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

// Where set-ups are slow everywhere, short time-outs fill what they wait for with work nobody awaits.
#[test]
fn time_outs_follow_what_set_ups_take() {
    let mut proxy = Proxy::with(deployment(IDEMPOTENT), 4);
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

#[test]
fn without_retry_budget_a_session_is_answered_at_once() {
    let rule = RetryBudgetRule {
        span: ms(2_000),
        free_retries: 1.0,
        retries_per_session: 0.0,
    };
    let mut proxy = Proxy::with(
        Deployment {
            retry_budget: Some(rule),
            ..deployment(IDEMPOTENT)
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
