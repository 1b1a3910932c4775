//! Event records: the events that the simulator sends to an instance.

use super::endpoint_list::EndpointListRecord;
use super::fields::{Fields, ServerAddress};
use super::load_report::LoadReport;
use super::session::SessionRecord;
use crate::error::RecordError;

/// Bytes of an event record, including the zeros after its fields.
pub(crate) const EVENT_SIZE: usize = 56;

/// Codes of the events, the first byte of a record. Their comments begin with the protocol's name of the event.
pub(crate) mod event_code {
    /// `ATTACH`: start an instance without any state.
    pub(crate) const START_INSTANCE: u8 = 10;
    /// `VIEW`: an update of the endpoint list.
    pub(crate) const ENDPOINT_LIST: u8 = 20;
    /// `INGRESS`: a client asks for a session.
    pub(crate) const SESSION_REQUESTED: u8 = 30;
    /// `BEGUN`: an attempt opened its session.
    pub(crate) const SESSION_OPENED: u8 = 40;
    /// `RESOLVED`: an attempt failed, or the connection that it opened ended.
    pub(crate) const ATTEMPT_ENDED: u8 = 50;
    /// `VANISHED`: a client left before its session ended.
    pub(crate) const CLIENT_LEFT: u8 = 60;
    /// `RING`: a timer of the instance expired.
    pub(crate) const TIMER: u8 = 70;
    /// `CHECK_RESULT`: a probe was answered or failed.
    pub(crate) const PROBE_ENDED: u8 = 80;
    /// `MEMO`: a message of another instance.
    pub(crate) const PEER_MESSAGE: u8 = 90;
    /// `TEARDOWN`: stop an instance and drop all its state.
    pub(crate) const STOP_INSTANCE: u8 = 100;
    /// `TAKEN_OVER`: a session that was open when the instance started.
    pub(crate) const SESSION_INHERITED: u8 = 110;
    /// `HEARTBEAT`: an observation of an open connection.
    pub(crate) const OBSERVED: u8 = 120;
}

// Offsets of the fields.
const CODE: usize = 0;
const INSTANCE: usize = 1;
const SESSION_HANDLE: usize = 3;
const ATTEMPT: usize = 11;
const ATTEMPT_OUTCOME: usize = 18;
const ATTEMPT_SESSION_OVER: usize = 24;
const ATTEMPT_LOAD: usize = 25;
const PROBE_SERVER: usize = 3;
const PROBE_OUTCOME: usize = 9;
const PROBE_LOAD: usize = 15;
const OBSERVATION_KIND: usize = 11;
const OBSERVATION_VALUE: usize = 12;
const OBSERVATION_SERVER: usize = 16;
const PEER_MESSAGE_CONTENT: usize = 5;
const INHERITED_SERVER: usize = 43;

/// An event of a running instance.
#[derive(Clone, Debug)]
pub(crate) enum EventRecord {
    /// An update of the endpoint list.
    EndpointList(EndpointListRecord),
    /// A client asks for a session.
    SessionRequested(SessionRecord),
    /// A session that was open at the server when the instance started.
    SessionInherited(SessionRecord, ServerAddress),
    /// An attempt opened its session.
    SessionOpened {
        /// The session.
        handle: u64,
        /// The attempt's number, from 0.
        attempt: u8,
    },
    /// An attempt failed, or the connection that it opened ended.
    AttemptEnded(AttemptEndedRecord),
    /// A client left before its session ended.
    ClientLeft {
        /// The session.
        handle: u64,
    },
    /// An observation of an open connection.
    Observed(ObservationRecord),
    /// A probe was answered or failed.
    ProbeEnded(ProbeEndedRecord),
    /// A timer of the instance expired.
    Timer,
    /// A message of another instance. The engine doesn't use it, so its content is discarded.
    PeerMessage,
}

/// How an attempt or a probe ended: 0 for success, otherwise the reason. `translate::outcome` lists the codes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OutcomeCode(pub(crate) u16);

/// The end of an attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptEndedRecord {
    /// The attempt's session.
    pub(crate) handle: u64,
    /// The attempt's number, from 0.
    pub(crate) attempt: u8,
    /// How it ended.
    pub(crate) outcome: OutcomeCode,
    /// Whether the session is over, by this outcome or by an earlier one.
    pub(crate) session_over: bool,
    /// The server's load report.
    pub(crate) load: LoadReport,
}

/// The end of a probe.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProbeEndedRecord {
    /// The server that was probed.
    pub(crate) address: ServerAddress,
    /// How the probe ended.
    pub(crate) outcome: OutcomeCode,
    /// The server's load report.
    pub(crate) load: LoadReport,
}

/// An observation of an open connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ObservationRecord {
    /// The connection's session.
    pub(crate) handle: u64,
    /// The server of the connection.
    pub(crate) address: ServerAddress,
    /// What was observed.
    pub(crate) kind: ObservationKind,
    /// The observed value, in the unit of its kind.
    pub(crate) value: f64,
}

/// The quantity that was observed.
#[derive(Clone, Copy, Debug)]
pub(crate) enum ObservationKind {
    /// The connection's load, in microseconds of work per second.
    WorkRate,
    /// How long the server currently takes for a message, in milliseconds.
    MessageDelay,
    /// A kind that this version of the adapter doesn't know; it is ignored.
    Unknown,
}

impl EventRecord {
    /// The event code of a record.
    pub(crate) fn code(fields: Fields<'_>) -> u8 {
        fields.u8(CODE)
    }

    /// The number of the instance that a record is for.
    pub(crate) fn instance(fields: Fields<'_>) -> u16 {
        fields.u16(INSTANCE)
    }

    /// Decodes an event other than the start or stop of an instance.
    ///
    /// # Errors
    ///
    /// An unknown event code, or fields that are invalid.
    pub(crate) fn decode(fields: Fields<'_>, tail: &[u8]) -> Result<Self, RecordError> {
        let handle = fields.u64(SESSION_HANDLE);
        Ok(match Self::code(fields) {
            event_code::ENDPOINT_LIST => {
                EventRecord::EndpointList(EndpointListRecord::decode(fields, tail)?)
            }
            event_code::SESSION_REQUESTED => {
                EventRecord::SessionRequested(SessionRecord::decode(fields))
            }
            event_code::SESSION_INHERITED => EventRecord::SessionInherited(
                SessionRecord::decode(fields),
                fields.address(INHERITED_SERVER),
            ),
            event_code::SESSION_OPENED => EventRecord::SessionOpened {
                handle,
                attempt: fields.u8(ATTEMPT),
            },
            event_code::ATTEMPT_ENDED => {
                EventRecord::AttemptEnded(AttemptEndedRecord::decode(fields))
            }
            event_code::CLIENT_LEFT => EventRecord::ClientLeft { handle },
            event_code::OBSERVED => EventRecord::Observed(ObservationRecord::decode(fields)),
            event_code::PROBE_ENDED => EventRecord::ProbeEnded(ProbeEndedRecord::decode(fields)),
            event_code::TIMER => EventRecord::Timer,
            event_code::PEER_MESSAGE => {
                fields.tail_items(PEER_MESSAGE_CONTENT, 1, tail)?;
                EventRecord::PeerMessage
            }
            code => return Err(RecordError::UnknownEvent { code }),
        })
    }
}

impl AttemptEndedRecord {
    fn decode(fields: Fields<'_>) -> Self {
        AttemptEndedRecord {
            handle: fields.u64(SESSION_HANDLE),
            attempt: fields.u8(ATTEMPT),
            outcome: OutcomeCode(fields.u16(ATTEMPT_OUTCOME)),
            session_over: fields.u8(ATTEMPT_SESSION_OVER) != 0,
            load: LoadReport::decode(fields, ATTEMPT_LOAD),
        }
    }
}

impl ProbeEndedRecord {
    fn decode(fields: Fields<'_>) -> Self {
        ProbeEndedRecord {
            address: fields.address(PROBE_SERVER),
            outcome: OutcomeCode(fields.u16(PROBE_OUTCOME)),
            load: LoadReport::decode(fields, PROBE_LOAD),
        }
    }
}

impl ObservationRecord {
    fn decode(fields: Fields<'_>) -> Self {
        ObservationRecord {
            handle: fields.u64(SESSION_HANDLE),
            address: fields.address(OBSERVATION_SERVER),
            kind: match fields.u8(OBSERVATION_KIND) {
                1 => ObservationKind::WorkRate,
                2 => ObservationKind::MessageDelay,
                _ => ObservationKind::Unknown,
            },
            value: f64::from(fields.f32(OBSERVATION_VALUE)),
        }
    }
}
