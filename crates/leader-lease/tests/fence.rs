//! Which orders a receiver accepts.

use asterramp_leader_lease::{FencingGuard, FencingToken, NO_TERM, OrderRejection};
use std::time::Duration;

const INCARNATION: u64 = 3;
const NOW: Duration = Duration::from_secs(100);
/// An order that counts.
const VALID: FencingToken = FencingToken {
    term: 7,
    incarnation: INCARNATION,
    expires_at: Duration::from_secs(101),
};

#[test]
fn a_valid_order_is_accepted_again_and_again_and_its_term_kept() {
    let mut guard = FencingGuard::new(INCARNATION, NO_TERM);
    assert_eq!(guard.check(NOW, &VALID), Ok(()));
    assert_eq!(guard.check(NOW, &VALID), Ok(()));
    assert_eq!(guard.highest_term(), VALID.term);
}

#[test]
fn each_reason_of_rejection_leaves_the_highest_term() {
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
fn a_later_leader_fences_off_the_former_one() {
    let mut guard = FencingGuard::new(INCARNATION, NO_TERM);
    let successor = FencingToken { term: 8, ..VALID };
    assert_eq!(guard.check(NOW, &VALID), Ok(()));
    assert_eq!(guard.check(NOW, &successor), Ok(()));
    assert_eq!(guard.check(NOW, &VALID), Err(OrderRejection::StaleTerm));
}

#[test]
fn a_restarted_receiver_keeps_the_highest_term_and_rejects_orders_for_its_predecessor() {
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
