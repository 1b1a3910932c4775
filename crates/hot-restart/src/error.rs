//! Errors of decoding messages and of receiving offers. Their texts appear in the log and are
//! stable.

use std::str::Utf8Error;

/// Why bytes are not a [`crate::HotRestartMessage`].
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum MessageError {
    /// The message is shorter than a header, or does not begin with the magic bytes.
    #[error("no message of this kind")]
    InvalidHeader,
    /// The message was encoded by a build that uses another version of the protocol.
    #[error("another version")]
    UnsupportedVersion {
        /// Version in the header.
        version: u8,
    },
    /// The length in the header is not that of the body, or the message is longer than
    /// [`crate::MAX_MESSAGE_BYTES`].
    #[error("a wrong length")]
    WrongLength {
        /// Length of the body according to the header, in bytes.
        declared_len: u32,
        /// Length of the received body, in bytes.
        received_len: usize,
    },
    /// The kind in the header is none of this version.
    #[error("an unknown word")]
    UnknownKind {
        /// Kind in the header.
        kind: u8,
    },
    /// The body ends within a field.
    #[error("it ends too soon")]
    Truncated,
    /// The body has bytes after the last field.
    #[error("more than the word")]
    TrailingBytes {
        /// Number of bytes after the last field.
        count: usize,
    },
    /// A name or a session id is not UTF-8.
    #[error("a name is not text")]
    NameNotUtf8(#[source] Utf8Error),
    /// A name is longer than [`crate::MAX_NAME_BYTES`].
    #[error("a name is too long")]
    NameTooLong {
        /// Length of the name in bytes.
        name_len: usize,
    },
    /// An endpoint's state is none of [`crate::EndpointRecordState`].
    #[error("a host's standing or weight is none")]
    UnknownEndpointState {
        /// The number in the message.
        state: u8,
    },
    /// An endpoint's weight is negative, infinite or not a number.
    #[error("a host's standing or weight is none")]
    InvalidWeight {
        /// The weight in the message.
        weight: f64,
    },
    /// The number of validated bytes of a buffer exceeds its length.
    #[error("more lines than bytes")]
    ValidatedBeyondEnd {
        /// Number of validated bytes according to the message.
        validated_len: usize,
        /// Length of the buffer in bytes.
        buffered_len: usize,
    },
}

/// Why the successor rejects an offer that it has received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OfferError {
    /// The predecessor has ended and left more offers in the link than
    /// [`crate::MAX_PENDING_OFFERS`].
    #[error("more offers than may be")]
    TooManyOffers,
    /// The link is full while the predecessor is alive, so it cannot be notified that the offer is
    /// accepted.
    #[error("the elder cannot be told")]
    LinkFull,
}
