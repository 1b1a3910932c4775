//! A connection has exactly one owner, whether or not the messages about its offer arrive. These
//! tests check the rules of one process; the model checker explores all interleavings of two.

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
fn offers_are_accepted_oldest_first_and_free_their_slots() {
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
#[test_case(SendOutcome::LinkFull, &[], &[1, 2]; "the successor could not be notified and may accept")]
fn pending_offers_are_resumed_or_released_when_the_handover_ends(
    stop_notice: SendOutcome,
    resumed: &[usize],
    released: &[usize],
) {
    let mut ownership = with_offers(0..3);
    assert_eq!(ownership.take_oldest_offer(), Some(0));
    let expected = UnacceptedOffers {
        resumed: resumed.to_vec(),
        released: released.to_vec(),
    };
    assert_eq!(ownership.end_handover(stop_notice), expected);
    assert_eq!(ownership.free_offer_slots(), MAX_PENDING_OFFERS);
}

#[test]
fn offers_whose_acceptance_was_not_sent_are_kept_up_to_the_bound() {
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
    let too_many = ownership.receive_offer(MAX_PENDING_OFFERS, SendOutcome::PeerGone);
    assert_eq!(too_many, Err(OfferError::TooManyOffers));
    assert_eq!(
        ownership.take_unconfirmed(),
        (0..MAX_PENDING_OFFERS).collect::<Vec<_>>()
    );
    assert_eq!(ownership.take_unconfirmed(), Vec::<usize>::new());
}
