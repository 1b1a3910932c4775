//! Which orders a receiver accepts, and why it rejects others.

use asterramp_leader_lease::{FencingGuard, FencingToken, NO_TERM, OrderRejection};
use std::time::Duration;

const INCARNATION: u64 = 3;
const NOW: Duration = Duration::from_secs(100);
/// The token of an order that is accepted at [`NOW`].
const VALID: FencingToken = FencingToken {
    term: 7,
    incarnation: INCARNATION,
    expires_at: Duration::from_secs(101),
};

#[test]
fn valid_order_is_accepted_repeatedly_and_its_term_recorded() {
    let mut guard = FencingGuard::new(INCARNATION, NO_TERM);
    assert_eq!(guard.check(NOW, &VALID), Ok(()));
    assert_eq!(guard.check(NOW, &VALID), Ok(()));
    assert_eq!(guard.highest_term(), VALID.term);
}

#[test]
fn rejected_order_does_not_change_the_highest_term() {
    let cases = [
        (
            FencingToken {
                term: NO_TERM,
                ..VALID
            },
            OrderRejection::NoTerm,
        ),
        (
            FencingToken {
                incarnation: INCARNATION - 1,
                ..VALID
            },
            OrderRejection::OtherIncarnation,
        ),
        (
            FencingToken {
                expires_at: NOW,
                ..VALID
            },
            OrderRejection::Expired,
        ),
        (FencingToken { term: 6, ..VALID }, OrderRejection::StaleTerm),
    ];
    let mut guard = FencingGuard::new(INCARNATION, 7);
    for (token, rejection) in cases {
        assert_eq!(guard.check(NOW, &token), Err(rejection));
        assert_eq!(guard.highest_term(), 7);
        assert_eq!(rejection.to_string(), rejection.reason());
    }
}

#[test]
fn order_of_a_later_leader_fences_off_the_former_one() {
    let mut guard = FencingGuard::new(INCARNATION, NO_TERM);
    let successor = FencingToken { term: 8, ..VALID };
    assert_eq!(guard.check(NOW, &VALID), Ok(()));
    assert_eq!(guard.check(NOW, &successor), Ok(()));
    assert_eq!(guard.check(NOW, &VALID), Err(OrderRejection::StaleTerm));
}

#[test]
fn restarted_receiver_keeps_the_highest_term_and_rejects_orders_for_its_former_process() {
    let mut guard = FencingGuard::new(INCARNATION, NO_TERM);
    assert_eq!(guard.check(NOW, &VALID), Ok(()));
    let mut guard = FencingGuard::new(INCARNATION + 1, guard.highest_term());
    assert_eq!(
        guard.check(NOW, &VALID),
        Err(OrderRejection::OtherIncarnation)
    );
    let former = FencingToken {
        term: VALID.term - 1,
        incarnation: guard.clock(NOW).incarnation,
        ..VALID
    };
    assert_eq!(guard.check(NOW, &former), Err(OrderRejection::StaleTerm));
}
