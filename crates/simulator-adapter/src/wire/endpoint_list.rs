//! The record that brings news of the endpoint list.

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

/// News of the endpoint list.
#[derive(Clone, Debug)]
pub(crate) struct EndpointListRecord {
    /// What the entries are.
    pub(crate) mode: ListMode,
    /// The entries, in the order of the list.
    pub(crate) entries: Vec<EndpointEntry>,
}

/// What the entries of a list are.
#[derive(Clone, Copy, Debug)]
pub(crate) enum ListMode {
    /// The entries that changed.
    Changes,
    /// The whole list.
    Complete,
    /// The whole list as it was cached before a restart.
    Stale,
    /// Nothing: the poll or watch failed.
    Failed,
}

/// One endpoint of the list.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndpointEntry {
    /// The server.
    pub(crate) address: ServerAddress,
    /// Index of its zone.
    pub(crate) zone: u8,
    /// Number of its cell.
    pub(crate) cell: u16,
    /// Whether it takes sessions.
    pub(crate) state: EndpointState,
    /// How large it is, against the others; without unit.
    pub(crate) weight: f64,
    /// When its process last started, since the clock began; `None` for long ago.
    pub(crate) started_at: Option<Duration>,
}

impl EndpointListRecord {
    /// Reads the list of an event record.
    ///
    /// # Errors
    ///
    /// Entries outside the tail, an unknown state of an endpoint, an unknown mode.
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

    /// A key to hash the server by: its address as a number, the same at every instance.
    pub(crate) fn hash_key(&self) -> u64 {
        let mut bytes = [0; size_of::<u64>()];
        bytes[..self.address.len()].copy_from_slice(&self.address);
        u64::from_le_bytes(bytes)
    }
}
