//! The fields of a session that comes in, the same for a new one and for one that the instance inherits.

use super::fields::Fields;
use std::time::Duration;

// Offsets of the fields.
const HANDLE: usize = 3;
const LISTENER: usize = 11;
const TENANT: usize = 12;
const HASH_KEY: usize = 14;
const DIAL_TIMEOUT: usize = 22;
const GROUP: usize = 34;
const ATTRIBUTES: usize = 42;

/// Bit of the attributes: the client was connected before and was cut off or migrated.
const RECONNECTING: u8 = 16;

/// A session that comes in.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SessionRecord {
    /// The simulator's identifier of the session.
    pub(crate) handle: u64,
    /// Index of the listener that it came to.
    pub(crate) listener: u8,
    /// Index of its tenant; 0 where the site has none.
    pub(crate) tenant: u16,
    /// Key of the client's flow; 0 where there is none.
    pub(crate) hash_key: u64,
    /// When the client gives up, since the clock began.
    pub(crate) dial_timeout: Duration,
    /// The group whose sessions share work at a server.
    pub(crate) group: Option<u64>,
    /// Whether the client was connected before.
    pub(crate) reconnecting: bool,
}

impl SessionRecord {
    /// Reads the session of an event record.
    pub(super) fn decode(fields: Fields<'_>) -> Self {
        SessionRecord {
            handle: fields.u64(HANDLE),
            listener: fields.u8(LISTENER),
            tenant: fields.u16(TENANT),
            hash_key: fields.u64(HASH_KEY),
            dial_timeout: Duration::from_micros(fields.u64(DIAL_TIMEOUT)),
            group: Some(fields.u64(GROUP)).filter(|group| *group != 0),
            reconnecting: fields.u8(ATTRIBUTES) & RECONNECTING != 0,
        }
    }
}
