//! What can be wrong with a message or an offer. The texts appear in the log and stay as they are.

use std::str::Utf8Error;

/// Why bytes are not a [`crate::HotRestartMessage`].
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum MessageError {
    /// Shorter than a header, or without the magic bytes.
    #[error("no message of this kind")]
    InvalidHeader,
    /// Encoded by a build that uses another version of the protocol.
    #[error("another version")]
    UnsupportedVersion {
        /// Version in the header.
        version: u8,
    },
    /// The length in the header is not that of the body, or the message is longer than
    /// [`crate::MAX_MESSAGE_BYTES`].
    #[error("a wrong length")]
    WrongLength {
        /// Length of the body in bytes, as the header gives it.
        declared: u32,
        /// Length of the body in bytes, as received.
        received: usize,
    },
    /// The header names no message of this version.
    #[error("an unknown word")]
    UnknownKind {
        /// Kind in the header.
        kind: u8,
    },
    /// The body ends within a field.
    #[error("it ends too soon")]
    Truncated,
    /// The body goes on after the last field.
    #[error("more than the word")]
    TrailingBytes {
        /// How many bytes are left over.
        count: usize,
    },
    /// A name is not UTF-8.
    #[error("a name is not text")]
    NameNotUtf8(#[source] Utf8Error),
    /// A name is longer than [`crate::MAX_NAME_BYTES`].
    #[error("a name is too long")]
    NameTooLong {
        /// Length of the name in bytes.
        length: usize,
    },
    /// An endpoint's state is none of [`crate::EndpointRecordState`].
    #[error("a host's standing or weight is none")]
    UnknownEndpointState {
        /// State as encoded.
        state: u8,
    },
    /// An endpoint's weight is negative, infinite or not a number.
    #[error("a host's standing or weight is none")]
    InvalidWeight {
        /// Weight as encoded.
        weight: f64,
    },
    /// More bytes of a buffer are said to be validated than there are.
    #[error("more lines than bytes")]
    ValidatedBeyondEnd {
        /// How many bytes are said to be validated.
        validated: usize,
        /// How many bytes the buffer has.
        length: usize,
    },
}

/// Why the successor may not keep an offer that it has read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OfferError {
    /// The predecessor has ended and left more offers in the link than
    /// [`crate::MAX_PENDING_OFFERS`].
    #[error("more offers than may be")]
    TooManyOffers,
    /// The predecessor lives, and its end of the link is full: it cannot learn that the offer is
    /// accepted.
    #[error("the elder cannot be told")]
    LinkFull,
}
