//! Errors of the adapter: of the whole program, of one batch and of one event record.

use asterramp_placement::settings::SettingsError;
use std::io;
use std::str::Utf8Error;
use thiserror::Error;

/// An error that ends the program.
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
        /// Bytes of the header that were received.
        received: usize,
        /// Bytes of a complete header.
        size: usize,
    },
    /// A batch that is malformed or can't be handled.
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
    /// The header's count of records doesn't fit into its body size.
    #[error("header at byte 8 counts {records} records, more than its {size} bytes hold")]
    TooManyRecords {
        /// Number of event records, according to the header.
        records: usize,
        /// Size of the body in bytes, according to the header.
        size: usize,
    },
    /// The input ends inside the batch's body.
    #[error("input ends after {received} of {size} bytes")]
    TruncatedBody {
        /// Bytes of the body that were received.
        received: usize,
        /// Size of the body in bytes, according to the header.
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
    /// The settings of an instance are incomplete or invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// An event for an instance that isn't running: it was never started, or has been stopped.
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
    /// A session for a listener that isn't in the settings.
    #[error("byte 11: no listener {listener} in the settings")]
    UnknownListener {
        /// Index of the listener.
        listener: u8,
    },
    /// A new session with the handle of a session that hasn't ended.
    #[error("byte 3: session {handle} arrives twice")]
    DuplicateSession {
        /// The session's handle.
        handle: u64,
    },
    /// An endpoint with a state code that the protocol doesn't have.
    #[error("entry {index}: unknown state {state}")]
    UnknownEndpointState {
        /// Index of the endpoint in its list, from 0.
        index: usize,
        /// The state code.
        state: u8,
    },
    /// An endpoint list with a mode that the protocol doesn't have.
    #[error("unknown list mode {mode}")]
    UnknownListMode {
        /// The mode.
        mode: u8,
    },
    /// A field that refers to bytes outside the batch's tail.
    #[error(
        "field at byte {at}: {count} items at offset {offset} pass the tail's {tail_size} bytes"
    )]
    OutsideTail {
        /// Offset of the field in its record, in bytes.
        at: usize,
        /// Number of items, according to the field.
        count: usize,
        /// Offset of the first item in the tail, in bytes, according to the field.
        offset: usize,
        /// Size of the tail, in bytes.
        tail_size: usize,
    },
}
