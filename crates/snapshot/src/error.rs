//! Errors of reading and writing snapshots. Their texts appear in the proxy's log and in the output of
//! `asterramp state`.

use crate::format::{FORMAT_VERSION, MAX_ENDPOINTS};
use std::io;
use thiserror::Error;

/// Why bytes are not a snapshot that this build accepts.
#[derive(Debug, Error)]
pub enum DecodeError {
    /// The file is empty.
    #[error("empty")]
    Empty,
    /// The first line is missing, too long or not UTF-8, or does not begin with this program's magic word.
    #[error("no snapshot: its first line is none")]
    InvalidFirstLine,
    /// The first line has no version, or one that is not a number.
    #[error("its version cannot be read")]
    UnreadableVersion,
    /// A later release wrote the snapshot.
    #[error("of version {found}, newer than {FORMAT_VERSION}")]
    NewerVersion {
        /// The version in the first line.
        found: u32,
    },
    /// An earlier release wrote the snapshot.
    #[error("of version {found}, older than {FORMAT_VERSION}")]
    OlderVersion {
        /// The version in the first line.
        found: u32,
    },
    /// The first line has no length, or one that is not a number.
    #[error("its length cannot be read")]
    UnreadableLength,
    /// The first line has no checksum, or one that is not a hexadecimal number.
    #[error("its checksum cannot be read")]
    UnreadableChecksum,
    /// The length of the body differs from the one in the first line.
    #[error("{actual} bytes of {expected}")]
    WrongLength {
        /// Length of the body in the file, in bytes.
        actual: usize,
        /// Length according to the first line, in bytes.
        expected: usize,
    },
    /// The body's CRC-32 differs from the one in the first line.
    #[error("its checksum is wrong")]
    WrongChecksum,
    /// The body is not JSON, or its fields are not those of a snapshot.
    #[error("not as this version writes it: {source}")]
    InvalidBody {
        /// What the JSON parser found, with line and column.
        source: serde_json::Error,
    },
    /// The endpoint list is longer than a proxy accepts from discovery.
    #[error("{count} hosts; {MAX_ENDPOINTS} are the most")]
    TooManyEndpoints {
        /// Length of the list.
        count: usize,
    },
}

/// Why a file of the snapshot directory is not used.
#[derive(Debug, Error)]
pub enum FileError {
    /// The file cannot be read, is not a regular file, or is longer than [`MAX_FILE_BYTES`](crate::MAX_FILE_BYTES).
    #[error(transparent)]
    Read(#[from] io::Error),
    /// Its bytes are not a snapshot that this build accepts.
    #[error(transparent)]
    Decode(#[from] DecodeError),
    /// Another proxy wrote the snapshot, and it lists that proxy's endpoints.
    #[error("foreign: it is of {owner:?}")]
    OwnerMismatch {
        /// The proxy that wrote it, identified by its listen address.
        owner: String,
    },
}

/// Why a snapshot was not saved.
#[derive(Debug, Error)]
pub enum SaveError {
    /// A disk operation failed. Both generations are as before, or the new one is complete and may not be durable.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The encoded snapshot is longer than [`MAX_FILE_BYTES`](crate::MAX_FILE_BYTES), so the next start could not load
    /// it.
    #[error("longer than what is read again")]
    TooLong {
        /// Length of the encoded snapshot in bytes.
        len: usize,
    },
}

/// Why the writer thread could not save snapshots.
#[derive(Debug, Error)]
pub enum WriterError {
    /// The directory's lock file cannot be opened or locked. The thread has ended and saves no snapshots.
    #[error("lock: {0}")]
    Lock(#[source] io::Error),
    /// One snapshot could not be saved. The thread still saves the next one.
    #[error(transparent)]
    Save(#[from] SaveError),
}
