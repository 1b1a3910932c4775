//! An offer has exactly one owner, whatever becomes of the messages about it. The model checker
//! explores all orders of two processes; these are the rules of one.

use asterramp_hot_restart::{
    ConnectionOwnership, MAX_PENDING_OFFERS, OfferError, SendOutcome, UnacceptedOffers,
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
    assert_eq!(ownership.free_offer_slots(), 0);
    assert!(ownership.is_offered(&0));
    assert_eq!(ownership.take_oldest_offer(), Some(0));
    assert!(!ownership.is_offered(&0));
    assert_eq!(ownership.free_offer_slots(), 1);
    assert_eq!(Ownership::default().take_oldest_offer(), None);
}

#[test_case(SendOutcome::Sent, &[1, 2], &[]; "the successor was notified")]
#[test_case(SendOutcome::PeerGone, &[1, 2], &[]; "the successor is gone")]
#[test_case(SendOutcome::LinkFull, &[], &[1, 2]; "the successor may accept")]
fn what_was_not_accepted_is_resumed_or_released(
    stop_notice: SendOutcome,
    resumed: &[usize],
    released: &[usize],
) {
    let mut ownership = with_offers(0..3);
    assert_eq!(ownership.take_oldest_offer(), Some(0));
    let end = UnacceptedOffers {
        resumed: resumed.to_vec(),
        released: released.to_vec(),
    };
    assert_eq!(ownership.end_handover(stop_notice), end);
    assert_eq!(ownership.free_offer_slots(), MAX_PENDING_OFFERS);
}

#[test]
fn what_the_predecessor_was_not_notified_of_waits_within_the_bound() {
    let mut ownership = Ownership::default();
    assert_eq!(ownership.receive_offer(0, SendOutcome::Sent), Ok(Some(0)));
    assert_eq!(
        ownership.receive_offer(1, SendOutcome::LinkFull),
        Err(OfferError::LinkFull)
    );
    for received in 0..MAX_PENDING_OFFERS {
        assert_eq!(
            ownership.receive_offer(received, SendOutcome::PeerGone),
            Ok(None)
        );
    }
    let beyond = ownership.receive_offer(MAX_PENDING_OFFERS, SendOutcome::PeerGone);
    assert_eq!(beyond, Err(OfferError::TooManyOffers));
    assert_eq!(
        ownership.take_unconfirmed(),
        (0..MAX_PENDING_OFFERS).collect::<Vec<_>>()
    );
    assert_eq!(ownership.take_unconfirmed(), Vec::<usize>::new());
}
