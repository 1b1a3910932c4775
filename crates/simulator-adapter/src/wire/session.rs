//! The fields of a session in event records: of a new one, and of one that was open when the instance started.

use super::fields::Fields;
use std::time::Duration;

// Offsets of the fields.
const HANDLE: usize = 3;
const LISTENER: usize = 11;
const TENANT: usize = 12;
const HASH_KEY: usize = 14;
const ANSWER_DEADLINE: usize = 22;
const GROUP: usize = 34;
const ATTRIBUTES: usize = 42;

/// Bit of the attributes: the client was connected before and was disconnected or migrated.
const RECONNECTING: u8 = 16;

/// A session that is new to the instance.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SessionRecord {
    /// The simulator's identifier of the session.
    pub(crate) handle: u64,
    /// Index of the listener that it arrived at.
    pub(crate) listener: u8,
    /// Index of its tenant; 0 if the deployment has no tenants.
    pub(crate) tenant: u16,
    /// Hash key of the client's flow; 0 if there is none.
    pub(crate) hash_key: u64,
    /// When the client gives up, as a time since the simulator's clock began.
    pub(crate) answer_deadline: Duration,
    /// The group whose sessions share work at a server; `None` (0 on the wire) for a session without group.
    pub(crate) group: Option<u64>,
    /// Whether the client was connected before and was disconnected or migrated.
    pub(crate) reconnecting: bool,
}

impl SessionRecord {
    /// Decodes the session of an event record.
    pub(super) fn decode(fields: Fields<'_>) -> Self {
        SessionRecord {
            handle: fields.u64(HANDLE),
            listener: fields.u8(LISTENER),
            tenant: fields.u16(TENANT),
            hash_key: fields.u64(HASH_KEY),
            answer_deadline: Duration::from_micros(fields.u64(ANSWER_DEADLINE)),
            group: Some(fields.u64(GROUP)).filter(|group| *group != 0),
            reconnecting: fields.u8(ATTRIBUTES) & RECONNECTING != 0,
        }
    }
}
