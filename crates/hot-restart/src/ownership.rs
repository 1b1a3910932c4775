//! Which of the two processes may touch a connection while it is handed over.
//!
//! Both processes hold descriptors of an offered connection, and a byte that both read would be
//! lost. So the predecessor leaves a connection alone from the moment it offers it, and the
//! successor touches it only once it has notified the predecessor, or once the predecessor has
//! ended and can no longer go on with it.

use crate::error::OfferError;
use std::collections::VecDeque;

/// Most offers that may be out and not accepted, and so most connections of which both processes
/// hold descriptors. It bounds the descriptors that a hot restart costs on top of those in use.
pub const MAX_PENDING_OFFERS: usize = 16;

/// What became of a message that was to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SendOutcome {
    /// It is in the link.
    Sent,
    /// The link is full: the other process lives and does not read.
    LinkFull,
    /// The other process has closed the link or ended.
    PeerGone,
}

/// Ownership of the connections that are being handed over, as one process sees it.
///
/// `O` identifies what this process offers as the predecessor; `R` is what it has received in an
/// offer as the successor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConnectionOwnership<O, R> {
    /// Offered and not accepted yet, oldest first. This process does not touch them.
    pending_offers: VecDeque<O>,
    /// Received when the predecessor could no longer be notified. This process does not touch them
    /// before it knows whether the predecessor goes on with them.
    unconfirmed: Vec<R>,
}

/// What a predecessor does with the offers that were not accepted when the handover ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnacceptedOffers<O> {
    /// It goes on with these.
    pub resumed: Vec<O>,
    /// It closes its descriptors of these: the successor may own them.
    pub released: Vec<O>,
}

impl<O, R> Default for ConnectionOwnership<O, R> {
    fn default() -> Self {
        ConnectionOwnership {
            pending_offers: VecDeque::new(),
            unconfirmed: Vec::new(),
        }
    }
}

impl<O: PartialEq, R> ConnectionOwnership<O, R> {
    /// How many more offers may be made now; at most [`MAX_PENDING_OFFERS`].
    pub fn free_offer_slots(&self) -> usize {
        MAX_PENDING_OFFERS.saturating_sub(self.pending_offers.len())
    }

    /// Whether `offer` is out and not accepted yet.
    pub fn is_offered(&self, offer: &O) -> bool {
        self.pending_offers.contains(offer)
    }

    /// Predecessor: `offer` has been sent. It is left alone from now on.
    pub fn add_offer(&mut self, offer: O) {
        self.pending_offers.push_back(offer);
    }

    /// Predecessor: the successor has accepted the oldest offer, which is returned to be released.
    /// `None` where no offer is out.
    pub fn take_oldest_offer(&mut self) -> Option<O> {
        self.pending_offers.pop_front()
    }

    /// Predecessor: the handover is over. `stop_notice` says what became of the `HandoverStopped`
    /// message.
    ///
    /// A successor that lives and could not be sent the notice may accept any offer at any time, so
    /// all of them are released; otherwise all are resumed.
    pub fn end_handover(&mut self, stop_notice: SendOutcome) -> UnacceptedOffers<O> {
        let offers = Vec::from(std::mem::take(&mut self.pending_offers));
        match stop_notice {
            SendOutcome::LinkFull => UnacceptedOffers {
                resumed: Vec::new(),
                released: offers,
            },
            SendOutcome::Sent | SendOutcome::PeerGone => UnacceptedOffers {
                resumed: offers,
                released: Vec::new(),
            },
        }
    }

    /// Successor: an offer was received, and `acceptance` says what became of the `OfferAccepted`
    /// message. Returns what may be touched from now on: the offer itself where the predecessor was
    /// notified. Where the predecessor is gone, the offer waits for [`Self::take_unconfirmed`] and
    /// nothing is returned.
    ///
    /// # Errors
    ///
    /// [`OfferError`] where the predecessor lives and could not be notified, or where a predecessor
    /// that is gone left more offers than [`MAX_PENDING_OFFERS`].
    pub fn receive_offer(
        &mut self,
        received: R,
        acceptance: SendOutcome,
    ) -> Result<Option<R>, OfferError> {
        match acceptance {
            SendOutcome::Sent => Ok(Some(received)),
            SendOutcome::PeerGone if self.unconfirmed.len() < MAX_PENDING_OFFERS => {
                self.unconfirmed.push(received);
                Ok(None)
            }
            SendOutcome::PeerGone => Err(OfferError::TooManyOffers),
            SendOutcome::LinkFull => Err(OfferError::LinkFull),
        }
    }

    /// Successor: what it accepted without notifying the predecessor. It adopts these where the
    /// link has ended, and closes them where the predecessor said that it goes on with them.
    pub fn take_unconfirmed(&mut self) -> Vec<R> {
        std::mem::take(&mut self.unconfirmed)
    }
}
