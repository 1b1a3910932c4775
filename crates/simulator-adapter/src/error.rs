//! Errors of the adapter, from the whole program down to one record.

use asterramp_placement::settings::SettingsError;
use std::io;
use std::str::Utf8Error;
use thiserror::Error;

/// Why the program ends before its input does.
#[derive(Debug, Error)]
pub(crate) enum AdapterError {
    /// Standard input can't be read.
    #[error("reading: {0}")]
    Read(#[source] io::Error),
    /// Standard output can't be written.
    #[error("writing: {0}")]
    Write(#[source] io::Error),
    /// The input ends inside a batch's header.
    #[error("input ends {received} bytes into a batch's header of {size}")]
    TruncatedHeader {
        /// Bytes of the header that were there.
        received: usize,
        /// Bytes that a header has.
        size: usize,
    },
    /// A batch that can't be answered.
    #[error("batch {number}: {source}")]
    Batch {
        /// The batch's number.
        number: u32,
        /// What is wrong with it.
        source: BatchError,
    },
}

/// What is wrong with one batch.
#[derive(Debug, Error)]
pub(crate) enum BatchError {
    /// The header counts more records than its size has room for.
    #[error("header at byte 8 counts {records} records, more than its {size} bytes hold")]
    TooManyRecords {
        /// Records, as the header says.
        records: usize,
        /// Bytes after the header, as the header says.
        size: usize,
    },
    /// The input ends inside the batch's body.
    #[error("input ends after {received} of {size} bytes")]
    TruncatedBody {
        /// Bytes of the body that were there.
        received: usize,
        /// Bytes after the header, as the header says.
        size: usize,
    },
    /// An event record that can't be handled.
    #[error("record {index} (code {code}): {source}")]
    Record {
        /// Index of the record in the batch, from 0.
        index: usize,
        /// The record's event code.
        code: u8,
        /// What is wrong with it.
        source: RecordError,
    },
}

/// What is wrong with one event record.
#[derive(Debug, Error)]
pub(crate) enum RecordError {
    /// The settings of an instance aren't UTF-8.
    #[error("settings: {0}")]
    SettingsNotText(#[source] Utf8Error),
    /// The settings of an instance can't be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// An event for an instance that isn't running.
    #[error("instance {instance} was never started")]
    UnknownInstance {
        /// The instance's number.
        instance: u16,
    },
    /// An event code that the protocol doesn't have.
    #[error("unknown event code {code}")]
    UnknownEvent {
        /// The code.
        code: u8,
    },
    /// A session for a listener that the settings don't have.
    #[error("byte 11: no listener {listener} in the settings")]
    UnknownListener {
        /// Index of the listener.
        listener: u8,
    },
    /// A session that the instance already has.
    #[error("byte 3: session {handle} arrives twice")]
    DuplicateSession {
        /// The session's handle.
        handle: u64,
    },
    /// An endpoint whose state the protocol doesn't have.
    #[error("entry {index}: unknown state {state}")]
    UnknownEndpointState {
        /// Index of the endpoint in its list, from 0.
        index: usize,
        /// The state.
        state: u8,
    },
    /// An endpoint list of a kind that the protocol doesn't have.
    #[error("unknown list mode {mode}")]
    UnknownListMode {
        /// The kind of list.
        mode: u8,
    },
    /// A field whose content isn't inside the batch's tail.
    #[error(
        "field at byte {at}: {count} items at offset {offset} pass the tail's {tail_size} bytes"
    )]
    OutsideTail {
        /// Offset of the field in its record, in bytes.
        at: usize,
        /// Items, as the field says.
        count: usize,
        /// Offset of the first item in the tail, in bytes, as the field says.
        offset: usize,
        /// Bytes in the tail.
        tail_size: usize,
    },
}
