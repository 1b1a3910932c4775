//! The header of a batch of events.

use super::event::EVENT_SIZE;
use super::fields::Fields;
use crate::error::BatchError;
use std::time::Duration;

/// Bytes of a batch's header.
pub(crate) const BATCH_HEADER_SIZE: usize = 20;

// Offsets of the fields.
const NUMBER: usize = 0;
const BODY_SIZE: usize = 4;
const RECORD_COUNT: usize = 8;
const NOW: usize = 12;

/// The header of a batch.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BatchHeader {
    /// The batch's number, which the reply repeats.
    pub(crate) batch_number: u32,
    /// Bytes after the header: event records and tail.
    pub(crate) body_size: usize,
    /// Event records at the start of the body; the rest of the body is the tail.
    pub(crate) record_count: usize,
    /// Time of all events of the batch, since the simulator's clock began.
    pub(crate) now: Duration,
}

impl BatchHeader {
    /// Decodes a header without validating it.
    pub(crate) fn decode(bytes: &[u8; BATCH_HEADER_SIZE]) -> Self {
        let fields = Fields::new(bytes);
        BatchHeader {
            batch_number: fields.u32(NUMBER),
            body_size: fields.u32(BODY_SIZE) as usize,
            record_count: fields.u32(RECORD_COUNT) as usize,
            now: Duration::from_micros(fields.u64(NOW)),
        }
    }

    /// Checks that the event records fit into the body.
    ///
    /// # Errors
    ///
    /// [`BatchError::TooManyRecords`] if they don't.
    pub(crate) fn validate(&self) -> Result<(), BatchError> {
        match self.record_count.checked_mul(EVENT_SIZE) {
            Some(size) if size <= self.body_size => Ok(()),
            _ => Err(BatchError::TooManyRecords {
                records: self.record_count,
                size: self.body_size,
            }),
        }
    }
}
