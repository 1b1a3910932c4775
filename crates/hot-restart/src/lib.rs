//! Protocol of a hot restart: one proxy process (the successor) takes over the listener and the
//! open connections of another (the predecessor) on the same machine, without ending a session.
//!
//! This package has no I/O. It holds the messages and their encoding ([`HotRestartMessage`]), the
//! state machine of either process ([`HotRestartState`]), and the rule by which exactly one of the
//! two may touch a connection ([`ConnectionOwnership`]). The proxy drives it over a Unix
//! `SOCK_SEQPACKET` link, on which one packet is one message and file descriptors travel beside it.
//!
//! A hot restart runs as follows:
//!
//! 1. The successor connects and sends `Hello`.
//! 2. The predecessor sends the endpoint list in any number of `Endpoints`, then `Listener` with
//!    the clients' listening socket.
//! 3. The successor sends `Serving` once it accepts clients.
//! 4. The predecessor stops accepting, sends `OpenDescriptors`, and then offers what it holds with
//!    `SessionOffer` and `PendingConnectionOffer`, at most [`MAX_PENDING_OFFERS`] at a time.
//! 5. The successor answers each offer, in order, with `OfferAccepted`; the predecessor then closes
//!    its own descriptors of the oldest offer.
//!
//! From the offer on, neither process touches the connection; the successor owns it once it has
//! sent `OfferAccepted`. Where the successor ends without having sent it, the predecessor goes on
//! with the connection. Where the predecessor ends first, the successor reads the link to its end
//! and adopts what it found there. A predecessor that ends the handover with a live successor sends
//! `HandoverStopped` and goes on with whatever was not accepted before; where even that cannot be
//! sent, it leaves everything that it offered to the successor.

mod codec;
mod error;
mod message;
mod ownership;
mod state;

pub use error::{MessageError, OfferError};
pub use message::{
    BufferedBytes, EndpointRecord, EndpointRecordState, HotRestartMessage,
    MAX_ENDPOINTS_PER_MESSAGE, MAX_MESSAGE_BYTES, MAX_NAME_BYTES, PROTOCOL_VERSION, SessionOffer,
};
pub use ownership::{ConnectionOwnership, MAX_PENDING_OFFERS, SendOutcome, UnacceptedOffers};
pub use state::{HotRestartEffect, HotRestartInput, HotRestartState};
