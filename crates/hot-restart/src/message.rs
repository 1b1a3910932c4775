//! Messages that predecessor and successor exchange. Their encoding is in [`crate::codec`].

use std::time::Duration;

/// Version of the encoding. A process refuses messages of any other version, so a change of the
/// encoding makes old and new builds start without a handover.
pub const PROTOCOL_VERSION: u8 = 1;

/// Longest message in bytes, header included. The receiver's buffer has this size, and a longer
/// message is refused.
pub const MAX_MESSAGE_BYTES: usize = 64 * 1024;

/// Most endpoints that the predecessor puts into one `Endpoints` message. Even with the longest
/// names, such a message takes less than half of [`MAX_MESSAGE_BYTES`].
pub const MAX_ENDPOINTS_PER_MESSAGE: usize = 32;

/// Longest uid, address or zone name in bytes. The decoder refuses longer ones.
pub const MAX_NAME_BYTES: usize = 256;

/// Most bytes of session ids, with the length of each, that are put into one message. A
/// single longer id has a message of its own.
const MAX_SESSION_ID_BYTES_PER_MESSAGE: usize = MAX_MESSAGE_BYTES / 4;

/// One message on the link between predecessor and successor.
#[derive(Clone, Debug, PartialEq)]
pub enum HotRestartMessage {
    /// Successor: first message after connecting.
    Hello,
    /// Predecessor: a part of its endpoint list, at most [`MAX_ENDPOINTS_PER_MESSAGE`] entries.
    Endpoints(Vec<EndpointRecord>),
    /// Predecessor: the socket on which it accepts clients, sent as a descriptor. The endpoint list
    /// is complete.
    Listener {
        /// Revision of the discovery list from which the endpoints were taken.
        list_revision: u64,
    },
    /// Successor: it accepts clients from now on.
    Serving,
    /// Predecessor: the number of descriptors that it still has open. The successor keeps as many
    /// of the limit that both processes share free for them.
    OpenDescriptors(u32),
    /// Predecessor: offers an open session. The client's and the server's sockets are sent as
    /// descriptors, in this order.
    SessionOffer(SessionOffer),
    /// Predecessor: offers a client connection whose first line is not complete. Its socket is sent
    /// as a descriptor.
    PendingConnectionOffer(BufferedBytes),
    /// Successor: it owns the connection of the oldest offer that it had not accepted yet.
    OfferAccepted,
    /// Predecessor: it closes the link and resumes the connections of all offers that were not
    /// accepted.
    HandoverStopped,
    /// Successor, before `Serving`, to a predecessor that has sent
    /// [`HotRestartMessage::session_ids_announcement`]: it wants the ids of the sessions.
    SessionIdsRequested,
    /// Predecessor, before `OpenDescriptors`: a part of the client-given ids of its sessions, and of those that have ended
    /// there and may have run.
    OpenSessionIds(Vec<String>),
    /// Predecessor: the ids of sessions that have ended there; only of those whose ids may come again after
    /// [`HotRestartMessage::reusable_ids_announcement`], else of all, and of those that were handed over.
    EndedSessionIds(Vec<String>),
}

impl HotRestartMessage {
    /// The predecessor's first message, which announces that it answers `SessionIdsRequested`: an
    /// `Endpoints` message without records. A successor of an earlier build ignores it, and a
    /// predecessor of an earlier build does not send it.
    pub fn session_ids_announcement() -> HotRestartMessage {
        HotRestartMessage::Endpoints(Vec::new())
    }

    /// Whether this is [`Self::session_ids_announcement`].
    pub fn is_session_ids_announcement(&self) -> bool {
        matches!(self, HotRestartMessage::Endpoints(records) if records.is_empty())
    }

    /// The first message with ids, which announces that `EndedSessionIds` names only sessions whose ids may come again: an
    /// `OpenSessionIds` message without ids. A successor of an earlier build ignores it, and a predecessor of an earlier
    /// build does not send it.
    pub fn reusable_ids_announcement() -> HotRestartMessage {
        HotRestartMessage::OpenSessionIds(Vec::new())
    }

    /// Whether the ids of an `OpenSessionIds` message make it [`Self::reusable_ids_announcement`].
    pub fn is_reusable_ids_announcement(ids: &[String]) -> bool {
        ids.is_empty()
    }

    /// `OpenSessionIds` messages that together hold these ids; none if there are no ids.
    pub fn open_session_ids(ids: impl IntoIterator<Item = String>) -> Vec<HotRestartMessage> {
        let batches = session_id_batches(ids).into_iter();
        batches.map(HotRestartMessage::OpenSessionIds).collect()
    }

    /// `EndedSessionIds` messages that together hold these ids; none if there are no ids.
    pub fn ended_session_ids(ids: impl IntoIterator<Item = String>) -> Vec<HotRestartMessage> {
        let batches = session_id_batches(ids).into_iter();
        batches.map(HotRestartMessage::EndedSessionIds).collect()
    }

    /// Number of file descriptors that are sent with the message.
    pub fn descriptor_count(&self) -> usize {
        match self {
            HotRestartMessage::Listener { .. } | HotRestartMessage::PendingConnectionOffer(_) => 1,
            HotRestartMessage::SessionOffer(_) => 2,
            HotRestartMessage::Hello
            | HotRestartMessage::Endpoints(_)
            | HotRestartMessage::Serving
            | HotRestartMessage::OpenDescriptors(_)
            | HotRestartMessage::OfferAccepted
            | HotRestartMessage::HandoverStopped
            | HotRestartMessage::SessionIdsRequested
            | HotRestartMessage::OpenSessionIds(_)
            | HotRestartMessage::EndedSessionIds(_) => 0,
        }
    }
}

/// Session ids in batches of at most [`MAX_SESSION_ID_BYTES_PER_MESSAGE`].
fn session_id_batches(ids: impl IntoIterator<Item = String>) -> Vec<Vec<String>> {
    let mut batches: Vec<Vec<String>> = Vec::new();
    let mut batch_bytes = 0;
    for id in ids {
        let id_bytes = size_of::<u32>() + id.len();
        match batches.last_mut() {
            Some(batch) if batch_bytes + id_bytes <= MAX_SESSION_ID_BYTES_PER_MESSAGE => {
                batch.push(id);
                batch_bytes += id_bytes;
            }
            _ => {
                batches.push(vec![id]);
                batch_bytes = id_bytes;
            }
        }
    }
    batches
}

/// A server endpoint that the predecessor knows from discovery.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointRecord {
    /// Unique name of the server instance; at most [`MAX_NAME_BYTES`].
    pub uid: String,
    /// Socket address in text form, as in `10.0.0.1:80`; at most [`MAX_NAME_BYTES`].
    pub address: String,
    /// Name of its availability zone; at most [`MAX_NAME_BYTES`].
    pub zone: String,
    /// Number of its cell, within which servers may share idempotency keys.
    pub cell: u16,
    /// State in discovery's list.
    pub state: EndpointRecordState,
    /// Weight relative to the other endpoints: finite, zero or more. A greater weight attracts more
    /// sessions.
    pub weight: f64,
    /// When the server started, as time since the Unix epoch, encoded in whole milliseconds. `None`
    /// if unknown; zero is decoded as `None`.
    pub started_at: Option<Duration>,
}

/// State of an endpoint in an [`EndpointRecord`]. The discriminants are the encoding.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum EndpointRecordState {
    /// It accepts new sessions.
    Ready = 0,
    /// It keeps its sessions and accepts no new ones.
    Draining = 1,
    /// It is no longer in the list.
    Gone = 2,
}

/// Bytes that the predecessor has read from one socket and not forwarded.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BufferedBytes {
    /// Number of leading bytes that are complete lines and that the predecessor has validated; at
    /// most the length of `bytes`.
    pub validated_len: usize,
    /// The bytes in the order in which they were received.
    pub bytes: Vec<u8>,
}

/// An open session that is offered to the successor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SessionOffer {
    /// The client's first line, line ending included; the successor reads the session's id and
    /// listener from it.
    pub opening_line: Vec<u8>,
    /// Unique name of the server that the session is on; at most [`MAX_NAME_BYTES`].
    pub server_uid: String,
    /// Time that the server has left to respond to the client's last line, encoded in whole
    /// milliseconds; less than `u32::MAX` of them. `None` if no line awaits a response.
    pub response_timeout: Option<Duration>,
    /// Bytes from the client that were not forwarded to the server.
    pub from_client: BufferedBytes,
    /// Bytes from the server that were not forwarded to the client.
    pub from_server: BufferedBytes,
}
