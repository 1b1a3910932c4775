//! The event record of an update of the endpoint list.

use super::fields::{Fields, ServerAddress};
use crate::error::RecordError;
use asterramp_placement::event::EndpointState;
use std::time::Duration;

/// Bytes of an entry.
const ENTRY_SIZE: usize = 24;

// Offsets of the record's fields.
const MODE: usize = 7;
const ENTRIES: usize = 8;

// Offsets of an entry's fields.
const ADDRESS: usize = 0;
const ZONE: usize = 6;
const CELL: usize = 9;
const STATE: usize = 11;
const WEIGHT: usize = 12;
const STARTED_AT: usize = 16;

/// An update of the endpoint list.
#[derive(Clone, Debug)]
pub(crate) struct EndpointListRecord {
    /// Whether the entries are the complete list.
    pub(crate) mode: ListMode,
    /// The entries, in the order of the list.
    pub(crate) entries: Vec<EndpointEntry>,
}

/// The meaning of the entries of an update.
#[derive(Clone, Copy, Debug)]
pub(crate) enum ListMode {
    /// The entries that changed.
    Changes,
    /// The complete list.
    Complete,
    /// The complete list as it was saved before a restart.
    Stale,
    /// The poll or watch failed; the entries are ignored.
    Failed,
}

/// One endpoint of the list.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndpointEntry {
    /// The server.
    pub(crate) address: ServerAddress,
    /// Index of its zone.
    pub(crate) zone: u8,
    /// Number of its cell, within which servers may share idempotency keys.
    pub(crate) cell: u16,
    /// Whether it takes sessions.
    pub(crate) state: EndpointState,
    /// Relative probability that it is drawn as a candidate; without unit.
    pub(crate) weight: f64,
    /// When its process last started, since the simulator's clock began; `None` (0 on the wire) for so long ago that it
    /// is warm.
    pub(crate) started_at: Option<Duration>,
}

impl EndpointListRecord {
    /// Decodes the endpoint list of an event record.
    ///
    /// # Errors
    ///
    /// Entries outside the tail, an unknown state of an endpoint, or an unknown mode.
    pub(super) fn decode(fields: Fields<'_>, tail: &[u8]) -> Result<Self, RecordError> {
        let bytes = fields.tail_items(ENTRIES, ENTRY_SIZE, tail)?;
        let mut entries = Vec::with_capacity(bytes.len() / ENTRY_SIZE);
        for (index, entry) in bytes.chunks_exact(ENTRY_SIZE).enumerate() {
            entries.push(EndpointEntry::decode(index, Fields::new(entry))?);
        }
        let mode = ListMode::decode(fields.u8(MODE))?;
        Ok(EndpointListRecord { mode, entries })
    }
}

impl ListMode {
    fn decode(mode: u8) -> Result<Self, RecordError> {
        match mode {
            0 => Ok(ListMode::Changes),
            1 => Ok(ListMode::Complete),
            2 => Ok(ListMode::Stale),
            3 => Ok(ListMode::Failed),
            _ => Err(RecordError::UnknownListMode { mode }),
        }
    }
}

impl EndpointEntry {
    fn decode(index: usize, fields: Fields<'_>) -> Result<Self, RecordError> {
        let state = match fields.u8(STATE) {
            0 => EndpointState::Gone,
            1 => EndpointState::Ready,
            2 => EndpointState::Draining,
            state => return Err(RecordError::UnknownEndpointState { index, state }),
        };
        let started_at = fields.u64(STARTED_AT);
        Ok(EndpointEntry {
            address: fields.address(ADDRESS),
            zone: fields.u8(ZONE),
            cell: fields.u16(CELL),
            state,
            weight: f64::from(fields.f32(WEIGHT)),
            started_at: (started_at != 0).then(|| Duration::from_micros(started_at)),
        })
    }

    /// Hash key of the server: its address as a number, so that it is the same at every instance.
    pub(crate) fn hash_key(&self) -> u64 {
        let mut bytes = [0; size_of::<u64>()];
        bytes[..self.address.len()].copy_from_slice(&self.address);
        u64::from_le_bytes(bytes)
    }
}
