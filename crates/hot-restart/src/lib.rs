//! Protocol of a hot restart: one proxy process (the successor) takes over the listener and the
//! open connections of another (the predecessor) on the same machine, without ending a session.
//!
//! This package has no I/O. It holds the messages and their encoding ([`HotRestartMessage`]), the
//! state machine of either process ([`HotRestartState`]), and the rule by which exactly one of the
//! two may read or write a connection ([`ConnectionOwnership`]). The proxy sends the messages over
//! a Unix `SOCK_SEQPACKET` socket, the link: one packet is one message, with its file descriptors
//! as ancillary data.
//!
//! A hot restart runs as follows:
//!
//! 1. The successor connects and sends `Hello`.
//! 2. The predecessor sends the endpoint list in any number of `Endpoints` messages, then
//!    `Listener` with the socket on which it accepts clients.
//! 3. The successor sends `Serving` once it can serve clients.
//! 4. The predecessor stops accepting and begins no more sessions. It sends `OpenDescriptors`, upon
//!    which the successor accepts clients, and then offers its connections with `SessionOffer` and
//!    `PendingConnectionOffer`, at most [`MAX_PENDING_OFFERS`] at a time.
//! 5. The successor confirms each offer, in order, with `OfferAccepted`; the predecessor then closes
//!    its own descriptors of the oldest offer.
//!
//! A request with the id of a session that is open at either process must be rejected, or a server
//! could run it twice. So only one of the two begins sessions at any time, and the successor knows
//! the ids of the predecessor's sessions before it begins any: it sends `SessionIdsRequested` before
//! `Serving`, and the predecessor sends `OpenSessionIds` before `OpenDescriptors`, and
//! `EndedSessionIds` as sessions end. Builds that do not know these messages neither get nor send
//! them, see [`HotRestartMessage::session_ids_announcement`].
//!
//! From the offer on, neither process reads or writes the connection; the successor owns it once it
//! has sent `OfferAccepted`. If the successor ends without having sent it, the predecessor resumes
//! the connection. If the predecessor ends first, the successor reads the link to its end and
//! adopts the connections of all offers in it. A predecessor that stops the handover while the
//! successor is alive sends `HandoverStopped` and resumes the connections of all offers that were
//! not accepted; if the message cannot be sent, it releases them to the successor.

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
