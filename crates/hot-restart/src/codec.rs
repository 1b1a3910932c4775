//! Encoding of [`HotRestartMessage`].
//!
//! A message is a header of nine bytes and a body. The header is the magic bytes `ARH`, the version
//! (one byte), the kind (one byte) and the length of the body in bytes (four bytes). All numbers
//! are little-endian; a byte string or a name is its length (four bytes) and its bytes. During an
//! upgrade, processes of two builds exchange these messages, so none of this changes within one
//! [`PROTOCOL_VERSION`]; `tests/golden.rs` compares with the bytes of an earlier build.

use crate::error::MessageError;
use crate::message::{
    BufferedBytes, EndpointRecord, EndpointRecordState, HotRestartMessage, MAX_MESSAGE_BYTES,
    MAX_NAME_BYTES, PROTOCOL_VERSION, SessionOffer,
};
use std::time::Duration;

/// First bytes of every message.
const MAGIC: [u8; 3] = *b"ARH";
/// Length of the header in bytes: magic bytes, version, kind and length of the body.
const HEADER_BYTES: usize = 9;
/// Position of the version in the header, in bytes.
const VERSION_OFFSET: usize = 3;
/// Position of the kind in the header, in bytes.
const KIND_OFFSET: usize = 4;
/// Position of the body's length in the header, in bytes.
const LENGTH_OFFSET: usize = 5;
/// Encoded in place of the response timeout in milliseconds if no line of the client awaits a
/// response.
const NO_RESPONSE_AWAITED: u32 = u32::MAX;
/// Encoded in place of an endpoint's start time if it is unknown.
const START_UNKNOWN: u64 = 0;

/// Kind of a message. The discriminants are the numbers in the header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
enum MessageKind {
    Hello = 1,
    Endpoints = 2,
    Listener = 3,
    Serving = 4,
    OpenDescriptors = 5,
    SessionOffer = 6,
    PendingConnectionOffer = 7,
    OfferAccepted = 8,
    HandoverStopped = 9,
    // Builds before these three kinds refuse them like any unknown kind, so a process sends them only
    // to one that knows them.
    SessionIdsRequested = 11,
    OpenSessionIds = 12,
    EndedSessionIds = 13,
}

impl MessageKind {
    fn of(message: &HotRestartMessage) -> MessageKind {
        match message {
            HotRestartMessage::Hello => MessageKind::Hello,
            HotRestartMessage::Endpoints(_) => MessageKind::Endpoints,
            HotRestartMessage::Listener { .. } => MessageKind::Listener,
            HotRestartMessage::Serving => MessageKind::Serving,
            HotRestartMessage::OpenDescriptors(_) => MessageKind::OpenDescriptors,
            HotRestartMessage::SessionOffer(_) => MessageKind::SessionOffer,
            HotRestartMessage::PendingConnectionOffer(_) => MessageKind::PendingConnectionOffer,
            HotRestartMessage::OfferAccepted => MessageKind::OfferAccepted,
            HotRestartMessage::HandoverStopped => MessageKind::HandoverStopped,
            HotRestartMessage::SessionIdsRequested => MessageKind::SessionIdsRequested,
            HotRestartMessage::OpenSessionIds(_) => MessageKind::OpenSessionIds,
            HotRestartMessage::EndedSessionIds(_) => MessageKind::EndedSessionIds,
        }
    }

    fn from_number(number: u8) -> Result<MessageKind, MessageError> {
        match number {
            1 => Ok(MessageKind::Hello),
            2 => Ok(MessageKind::Endpoints),
            3 => Ok(MessageKind::Listener),
            4 => Ok(MessageKind::Serving),
            5 => Ok(MessageKind::OpenDescriptors),
            6 => Ok(MessageKind::SessionOffer),
            7 => Ok(MessageKind::PendingConnectionOffer),
            8 => Ok(MessageKind::OfferAccepted),
            9 => Ok(MessageKind::HandoverStopped),
            11 => Ok(MessageKind::SessionIdsRequested),
            12 => Ok(MessageKind::OpenSessionIds),
            13 => Ok(MessageKind::EndedSessionIds),
            kind => Err(MessageError::UnknownKind { kind }),
        }
    }
}

impl HotRestartMessage {
    /// The message's bytes on the link.
    ///
    /// Times are truncated to whole milliseconds. Bounds are not checked: a message that exceeds
    /// them is encoded, and the process that decodes it refuses it.
    pub fn encode(&self) -> Vec<u8> {
        let mut body = Vec::new();
        match self {
            HotRestartMessage::Endpoints(endpoints) => {
                for endpoint in endpoints {
                    encode_endpoint(&mut body, endpoint);
                }
            }
            HotRestartMessage::Listener { list_revision } => {
                body.extend(list_revision.to_le_bytes());
            }
            HotRestartMessage::OpenDescriptors(count) => body.extend(count.to_le_bytes()),
            HotRestartMessage::SessionOffer(offer) => encode_session_offer(&mut body, offer),
            HotRestartMessage::PendingConnectionOffer(buffered) => {
                encode_buffered_bytes(&mut body, buffered);
            }
            HotRestartMessage::OpenSessionIds(ids) | HotRestartMessage::EndedSessionIds(ids) => {
                for id in ids {
                    encode_byte_string(&mut body, id.as_bytes());
                }
            }
            HotRestartMessage::Hello
            | HotRestartMessage::Serving
            | HotRestartMessage::OfferAccepted
            | HotRestartMessage::HandoverStopped
            | HotRestartMessage::SessionIdsRequested => {}
        }
        let mut message = Vec::with_capacity(HEADER_BYTES + body.len());
        message.extend(MAGIC);
        message.push(PROTOCOL_VERSION);
        message.push(MessageKind::of(self) as u8);
        message.extend((body.len() as u32).to_le_bytes());
        message.extend(body);
        message
    }

    /// Decodes one complete message.
    ///
    /// # Errors
    ///
    /// A [`MessageError`] if the bytes are not exactly one message of [`PROTOCOL_VERSION`]
    /// within the bounds of this package.
    pub fn decode(message: &[u8]) -> Result<HotRestartMessage, MessageError> {
        if message.len() < HEADER_BYTES || !message.starts_with(&MAGIC) {
            return Err(MessageError::InvalidHeader);
        }
        let version = message[VERSION_OFFSET];
        if version != PROTOCOL_VERSION {
            return Err(MessageError::UnsupportedVersion { version });
        }
        let mut reader = Reader {
            remaining: &message[LENGTH_OFFSET..],
        };
        let declared_len = reader.read_u32()?;
        let received_len = reader.remaining.len();
        if declared_len as usize != received_len || message.len() > MAX_MESSAGE_BYTES {
            return Err(MessageError::WrongLength {
                declared_len,
                received_len,
            });
        }
        let kind = MessageKind::from_number(message[KIND_OFFSET])?;
        let decoded = decode_body(kind, &mut reader)?;
        match reader.remaining.len() {
            0 => Ok(decoded),
            count => Err(MessageError::TrailingBytes { count }),
        }
    }
}

fn decode_body(
    kind: MessageKind,
    reader: &mut Reader<'_>,
) -> Result<HotRestartMessage, MessageError> {
    Ok(match kind {
        MessageKind::Hello => HotRestartMessage::Hello,
        MessageKind::Endpoints => {
            let mut endpoints = Vec::new();
            while !reader.remaining.is_empty() {
                endpoints.push(decode_endpoint(reader)?);
            }
            HotRestartMessage::Endpoints(endpoints)
        }
        MessageKind::Listener => HotRestartMessage::Listener {
            list_revision: reader.read_u64()?,
        },
        MessageKind::Serving => HotRestartMessage::Serving,
        MessageKind::OpenDescriptors => HotRestartMessage::OpenDescriptors(reader.read_u32()?),
        MessageKind::SessionOffer => HotRestartMessage::SessionOffer(decode_session_offer(reader)?),
        MessageKind::PendingConnectionOffer => {
            HotRestartMessage::PendingConnectionOffer(decode_buffered_bytes(reader)?)
        }
        MessageKind::OfferAccepted => HotRestartMessage::OfferAccepted,
        MessageKind::HandoverStopped => HotRestartMessage::HandoverStopped,
        MessageKind::SessionIdsRequested => HotRestartMessage::SessionIdsRequested,
        MessageKind::OpenSessionIds => {
            HotRestartMessage::OpenSessionIds(decode_session_ids(reader)?)
        }
        MessageKind::EndedSessionIds => {
            HotRestartMessage::EndedSessionIds(decode_session_ids(reader)?)
        }
    })
}

fn encode_byte_string(body: &mut Vec<u8>, bytes: &[u8]) {
    body.extend((bytes.len() as u32).to_le_bytes());
    body.extend(bytes);
}

fn encode_endpoint(body: &mut Vec<u8>, endpoint: &EndpointRecord) {
    encode_byte_string(body, endpoint.uid.as_bytes());
    encode_byte_string(body, endpoint.address.as_bytes());
    encode_byte_string(body, endpoint.zone.as_bytes());
    body.extend(endpoint.cell.to_le_bytes());
    body.push(endpoint.state as u8);
    body.extend(endpoint.weight.to_bits().to_le_bytes());
    let started_ms = endpoint
        .started_at
        .map_or(START_UNKNOWN, |started_at| started_at.as_millis() as u64);
    body.extend(started_ms.to_le_bytes());
}

fn decode_endpoint(reader: &mut Reader<'_>) -> Result<EndpointRecord, MessageError> {
    let uid = reader.read_name()?;
    let address = reader.read_name()?;
    let zone = reader.read_name()?;
    let cell = reader.read_u16()?;
    let state = reader.read_u8()?;
    let weight = f64::from_bits(reader.read_u64()?);
    let started_ms = reader.read_u64()?;
    // Checked after the last field, so that a truncated record is logged as truncated even if its
    // state is unknown too.
    let state = decode_endpoint_state(state)?;
    if !weight.is_finite() || weight < 0.0 {
        return Err(MessageError::InvalidWeight { weight });
    }
    let started_at = (started_ms != START_UNKNOWN).then(|| Duration::from_millis(started_ms));
    Ok(EndpointRecord {
        uid,
        address,
        zone,
        cell,
        state,
        weight,
        started_at,
    })
}

fn decode_endpoint_state(state: u8) -> Result<EndpointRecordState, MessageError> {
    match state {
        0 => Ok(EndpointRecordState::Ready),
        1 => Ok(EndpointRecordState::Draining),
        2 => Ok(EndpointRecordState::Gone),
        _ => Err(MessageError::UnknownEndpointState { state }),
    }
}

fn encode_buffered_bytes(body: &mut Vec<u8>, buffered: &BufferedBytes) {
    body.extend((buffered.validated_len as u32).to_le_bytes());
    encode_byte_string(body, &buffered.bytes);
}

fn decode_buffered_bytes(reader: &mut Reader<'_>) -> Result<BufferedBytes, MessageError> {
    let validated_len = reader.read_u32()? as usize;
    let bytes = reader.read_byte_string()?.to_vec();
    if validated_len > bytes.len() {
        return Err(MessageError::ValidatedBeyondEnd {
            validated_len,
            buffered_len: bytes.len(),
        });
    }
    Ok(BufferedBytes {
        validated_len,
        bytes,
    })
}

fn encode_session_offer(body: &mut Vec<u8>, offer: &SessionOffer) {
    encode_byte_string(body, &offer.opening_line);
    encode_byte_string(body, offer.server_uid.as_bytes());
    let response_timeout_ms = offer
        .response_timeout
        .map_or(NO_RESPONSE_AWAITED, |timeout| timeout.as_millis() as u32);
    body.extend(response_timeout_ms.to_le_bytes());
    encode_buffered_bytes(body, &offer.from_client);
    encode_buffered_bytes(body, &offer.from_server);
}

fn decode_session_offer(reader: &mut Reader<'_>) -> Result<SessionOffer, MessageError> {
    let opening_line = reader.read_byte_string()?.to_vec();
    let server_uid = reader.read_name()?;
    let response_timeout = match reader.read_u32()? {
        NO_RESPONSE_AWAITED => None,
        timeout_ms => Some(Duration::from_millis(timeout_ms.into())),
    };
    let from_client = decode_buffered_bytes(reader)?;
    let from_server = decode_buffered_bytes(reader)?;
    Ok(SessionOffer {
        opening_line,
        server_uid,
        response_timeout,
        from_client,
        from_server,
    })
}

/// Decodes ids up to the end of the message. A client gives the id in its first line, so no bound but
/// that of the message applies to its length.
fn decode_session_ids(reader: &mut Reader<'_>) -> Result<Vec<String>, MessageError> {
    let mut ids = Vec::new();
    while !reader.remaining.is_empty() {
        ids.push(reader.read_text()?.to_string());
    }
    Ok(ids)
}

/// Reads the fields of a message one after the other.
#[derive(Debug)]
struct Reader<'a> {
    /// The bytes that have not been read yet.
    remaining: &'a [u8],
}

impl<'a> Reader<'a> {
    fn take(&mut self, count: usize) -> Result<&'a [u8], MessageError> {
        let (taken, remaining) = self
            .remaining
            .split_at_checked(count)
            .ok_or(MessageError::Truncated)?;
        self.remaining = remaining;
        Ok(taken)
    }

    fn read_array<const N: usize>(&mut self) -> Result<[u8; N], MessageError> {
        let (taken, remaining) = self
            .remaining
            .split_first_chunk::<N>()
            .ok_or(MessageError::Truncated)?;
        self.remaining = remaining;
        Ok(*taken)
    }

    fn read_u8(&mut self) -> Result<u8, MessageError> {
        Ok(u8::from_le_bytes(self.read_array()?))
    }

    fn read_u16(&mut self) -> Result<u16, MessageError> {
        Ok(u16::from_le_bytes(self.read_array()?))
    }

    fn read_u32(&mut self) -> Result<u32, MessageError> {
        Ok(u32::from_le_bytes(self.read_array()?))
    }

    fn read_u64(&mut self) -> Result<u64, MessageError> {
        Ok(u64::from_le_bytes(self.read_array()?))
    }

    fn read_byte_string(&mut self) -> Result<&'a [u8], MessageError> {
        let length = self.read_u32()?;
        self.take(length as usize)
    }

    fn read_text(&mut self) -> Result<&'a str, MessageError> {
        let bytes = self.read_byte_string()?;
        std::str::from_utf8(bytes).map_err(MessageError::NameNotUtf8)
    }

    fn read_name(&mut self) -> Result<String, MessageError> {
        let name = self.read_text()?;
        if name.len() > MAX_NAME_BYTES {
            return Err(MessageError::NameTooLong {
                name_len: name.len(),
            });
        }
        Ok(name.into())
    }
}
