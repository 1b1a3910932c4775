//! Decides which of the two processes may read and write a connection while it is handed over.
//!
//! Both processes hold descriptors of an offered connection. If both read from it, each would miss
//! the bytes that the other has read. So the predecessor does not use a connection from the moment
//! it offers it, and the successor uses it only once it has notified the predecessor of its
//! acceptance, or once the predecessor has ended and can no longer resume the connection.

use crate::error::OfferError;
use std::collections::VecDeque;

/// Most offers that may be pending, that is, sent and not accepted yet. Both processes hold
/// descriptors of the connections of pending offers, so this bounds the number of descriptors that
/// a hot restart needs in addition.
pub const MAX_PENDING_OFFERS: usize = 16;

/// Result of sending a message to the other process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SendOutcome {
    /// The message is in the link.
    Sent,
    /// The link is full: the other process is alive and does not read.
    LinkFull,
    /// The other process has closed the link or ended.
    PeerGone,
}

/// One process's record of the connections that are being handed over.
///
/// `O` identifies a connection that this process offers as the predecessor; `R` holds a connection
/// that it has received as the successor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConnectionOwnership<O, R> {
    /// Predecessor: offers that were not accepted yet, oldest first. This process does not use
    /// their connections.
    pending_offers: VecDeque<O>,
    /// Successor: offers whose acceptance could not be sent because the predecessor is gone. This
    /// process does not use their connections before it knows whether the predecessor resumes them.
    unconfirmed_offers: Vec<R>,
}

/// The offers that were not accepted when the handover ended, by what the predecessor does with
/// them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnacceptedOffers<O> {
    /// The predecessor uses these connections again.
    pub resumed: Vec<O>,
    /// The predecessor closes its descriptors of these connections, because the successor may own
    /// them.
    pub released: Vec<O>,
}

impl<O, R> Default for ConnectionOwnership<O, R> {
    fn default() -> Self {
        ConnectionOwnership {
            pending_offers: VecDeque::new(),
            unconfirmed_offers: Vec::new(),
        }
    }
}

impl<O: PartialEq, R> ConnectionOwnership<O, R> {
    /// Number of further offers that may be made now; at most [`MAX_PENDING_OFFERS`].
    pub fn free_offer_slots(&self) -> usize {
        MAX_PENDING_OFFERS.saturating_sub(self.pending_offers.len())
    }

    /// Whether `offer` is pending.
    pub fn is_offered(&self, offer: &O) -> bool {
        self.pending_offers.contains(offer)
    }

    /// Predecessor: records that `offer` has been sent. Its connection must not be used from now
    /// on.
    pub fn add_offer(&mut self, offer: O) {
        self.pending_offers.push_back(offer);
    }

    /// Predecessor: removes and returns the oldest offer, which the successor has accepted, so that
    /// its descriptors can be closed. `None` if no offer is pending.
    pub fn take_oldest_offer(&mut self) -> Option<O> {
        self.pending_offers.pop_front()
    }

    /// Predecessor: ends the handover. `stop_notice` is the result of sending `HandoverStopped`.
    ///
    /// A successor that is alive and could not be notified may accept any pending offer later, so
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

    /// Successor: records an offer. `acceptance` is the result of sending `OfferAccepted`.
    ///
    /// If the predecessor was notified, the offer is returned and its connection may be used. If
    /// the predecessor is gone, the offer is kept for [`Self::take_unconfirmed`] and `None` is
    /// returned.
    ///
    /// # Errors
    ///
    /// [`OfferError`] if the predecessor is alive and could not be notified, or if one that is gone
    /// has left more offers than [`MAX_PENDING_OFFERS`].
    pub fn receive_offer(
        &mut self,
        received: R,
        acceptance: SendOutcome,
    ) -> Result<Option<R>, OfferError> {
        match acceptance {
            SendOutcome::Sent => Ok(Some(received)),
            SendOutcome::PeerGone if self.unconfirmed_offers.len() < MAX_PENDING_OFFERS => {
                self.unconfirmed_offers.push(received);
                Ok(None)
            }
            SendOutcome::PeerGone => Err(OfferError::TooManyOffers),
            SendOutcome::LinkFull => Err(OfferError::LinkFull),
        }
    }

    /// Successor: removes and returns the offers whose acceptance could not be sent. The successor
    /// adopts their connections if the link has ended, and closes them if the predecessor has sent
    /// `HandoverStopped`.
    pub fn take_unconfirmed(&mut self) -> Vec<R> {
        std::mem::take(&mut self.unconfirmed_offers)
    }
}
