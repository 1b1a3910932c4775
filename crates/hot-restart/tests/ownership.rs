//! An offer has exactly one owner, whatever becomes of the messages about it. The model checker
//! explores all orders of two processes; these are the rules of one.

use asterramp_hot_restart::{
    ConnectionOwnership, Delivery, HandoverEnd, MAX_PENDING_OFFERS, OfferError,
};
use test_case::test_case;

type Ownership = ConnectionOwnership<usize, usize>;

fn with_offers(offers: std::ops::Range<usize>) -> Ownership {
    let mut ownership = Ownership::default();
    for offer in offers {
        ownership.add_offer(offer);
    }
    ownership
}

#[test]
fn offers_are_accepted_oldest_first_and_make_room_for_others() {
    let mut ownership = with_offers(0..MAX_PENDING_OFFERS);
    assert_eq!(ownership.free_offers(), 0);
    assert!(ownership.is_offered(&0));
    assert_eq!(ownership.accept_oldest(), Some(0));
    assert!(!ownership.is_offered(&0));
    assert_eq!(ownership.free_offers(), 1);
    assert_eq!(Ownership::default().accept_oldest(), None);
}

#[test_case(Delivery::Sent, &[1, 2], &[]; "the successor was notified")]
#[test_case(Delivery::PeerGone, &[1, 2], &[]; "the successor is gone")]
#[test_case(Delivery::LinkFull, &[], &[1, 2]; "the successor may accept")]
fn what_was_not_accepted_is_resumed_or_released(
    stop_notice: Delivery,
    resumed: &[usize],
    released: &[usize],
) {
    let mut ownership = with_offers(0..3);
    assert_eq!(ownership.accept_oldest(), Some(0));
    let end = HandoverEnd {
        resumed: resumed.to_vec(),
        released: released.to_vec(),
    };
    assert_eq!(ownership.end_handover(stop_notice), end);
    assert_eq!(ownership.free_offers(), MAX_PENDING_OFFERS);
}

#[test]
fn what_the_predecessor_was_not_notified_of_waits_within_the_bound() {
    let mut ownership = Ownership::default();
    assert_eq!(ownership.receive_offer(0, Delivery::Sent), Ok(Some(0)));
    assert_eq!(
        ownership.receive_offer(1, Delivery::LinkFull),
        Err(OfferError::LinkFull)
    );
    for received in 0..MAX_PENDING_OFFERS {
        assert_eq!(
            ownership.receive_offer(received, Delivery::PeerGone),
            Ok(None)
        );
    }
    let beyond = ownership.receive_offer(MAX_PENDING_OFFERS, Delivery::PeerGone);
    assert_eq!(beyond, Err(OfferError::TooMany));
    assert_eq!(
        ownership.take_unconfirmed(),
        (0..MAX_PENDING_OFFERS).collect::<Vec<_>>()
    );
    assert_eq!(ownership.take_unconfirmed(), Vec::<usize>::new());
}
