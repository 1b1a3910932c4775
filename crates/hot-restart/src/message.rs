//! The messages that the two processes exchange. Their encoding is in [`crate::codec`].

use std::time::Duration;

/// Version of the encoding. A process refuses messages of any other version, so a change of the
/// encoding makes old and new builds start without a handover.
pub const PROTOCOL_VERSION: u8 = 1;

/// Longest message in bytes, header included. The receiver's buffer has this size, and a longer
/// message is refused.
pub const MAX_MESSAGE_BYTES: usize = 64 * 1024;

/// Most endpoints that the predecessor puts into one `Endpoints` message. With names of
/// [`MAX_NAME_BYTES`] such a message stays well under [`MAX_MESSAGE_BYTES`].
pub const MAX_ENDPOINTS_PER_MESSAGE: usize = 32;

/// Longest uid, address or zone in bytes. The decoder refuses longer ones.
pub const MAX_NAME_BYTES: usize = 256;

/// One message on the link between predecessor and successor.
#[derive(Clone, Debug, PartialEq)]
pub enum HotRestartMessage {
    /// Successor: first message after connecting.
    Hello,
    /// Predecessor: some of the endpoints that it knows.
    Endpoints(Vec<EndpointRecord>),
    /// Predecessor: the clients' listening socket, which goes along as a descriptor. It ends the
    /// endpoint list.
    Listener {
        /// Revision of the discovery list that the endpoints were taken from.
        list_revision: u64,
    },
    /// Successor: it accepts clients from now on.
    Serving,
    /// Predecessor: how many descriptors it still has open. The successor leaves room for them in
    /// the limit that both processes share.
    OpenDescriptors(u32),
    /// Predecessor: offers an open session; the client's and the server's sockets go along, in this
    /// order.
    SessionOffer(SessionOffer),
    /// Predecessor: offers a client connection whose first line is not complete; its socket goes
    /// along.
    PendingConnectionOffer(BufferedBytes),
    /// Successor: the oldest offer that it has not accepted yet is its own from now on.
    OfferAccepted,
    /// Predecessor: it closes the link and goes on with all offers that were not accepted.
    HandoverStopped,
}

impl HotRestartMessage {
    /// How many file descriptors travel with the message.
    pub fn descriptor_count(&self) -> usize {
        match self {
            HotRestartMessage::Listener { .. } | HotRestartMessage::PendingConnectionOffer(_) => 1,
            HotRestartMessage::SessionOffer(_) => 2,
            HotRestartMessage::Hello
            | HotRestartMessage::Endpoints(_)
            | HotRestartMessage::Serving
            | HotRestartMessage::OpenDescriptors(_)
            | HotRestartMessage::OfferAccepted
            | HotRestartMessage::HandoverStopped => 0,
        }
    }
}

/// A server endpoint as the predecessor learned it from discovery.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointRecord {
    /// Unique name of the server instance; at most [`MAX_NAME_BYTES`].
    pub uid: String,
    /// Socket address in text form, as in `10.0.0.1:80`; at most [`MAX_NAME_BYTES`].
    pub address: String,
    /// Name of its zone; at most [`MAX_NAME_BYTES`].
    pub zone: String,
    /// Number of its cell.
    pub cell: u16,
    /// State in discovery's list.
    pub state: EndpointRecordState,
    /// Share of the load relative to other endpoints: finite, zero or more.
    pub weight: f64,
    /// When the server started, as time since the Unix epoch in whole milliseconds. `None` where
    /// unknown.
    pub started_at: Option<Duration>,
}

/// State of an endpoint in an [`EndpointRecord`]. The discriminants are the encoding.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum EndpointRecordState {
    /// It takes new sessions.
    Ready = 0,
    /// It keeps its sessions and takes no new ones.
    Draining = 1,
    /// It is no longer in the list.
    Gone = 2,
}

/// Bytes that the predecessor has read from one socket and not forwarded.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BufferedBytes {
    /// How many of them, from the front, are complete lines that the predecessor has validated; at
    /// most as many as there are bytes.
    pub validated_len: usize,
    /// The bytes in the order in which they came.
    pub bytes: Vec<u8>,
}

/// An open session as it is offered to the successor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SessionOffer {
    /// The client's first line, line ending included; the successor reads the session's id and
    /// listener from it.
    pub opening_line: Vec<u8>,
    /// Unique name of the server that the session is on; at most [`MAX_NAME_BYTES`].
    pub server_uid: String,
    /// How long the server may still leave the client's last line unanswered, in whole
    /// milliseconds, under `u32::MAX` of them. `None` where no line waits for an answer.
    pub response_timeout: Option<Duration>,
    /// What the client sent.
    pub from_client: BufferedBytes,
    /// What the server sent.
    pub from_server: BufferedBytes,
}
