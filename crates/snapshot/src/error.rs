//! Errors of reading and writing snapshots. Their texts appear in the proxy's log and in the output of
//! `asterramp state`.

use crate::format::{FORMAT_VERSION, MAX_ENDPOINTS};
use std::io;
use thiserror::Error;

/// Why bytes are not a snapshot that this build reads.
#[derive(Debug, Error)]
pub enum DecodeError {
    /// There are no bytes at all.
    #[error("empty")]
    Empty,
    /// The first line is missing, too long, not text, or of another program.
    #[error("no snapshot: its first line is none")]
    InvalidFirstLine,
    /// The first line has no version, or one that is not a number.
    #[error("its version cannot be read")]
    UnreadableVersion,
    /// A later release wrote it.
    #[error("of version {found}, newer than {FORMAT_VERSION}")]
    NewerVersion {
        /// The version in the first line.
        found: u32,
    },
    /// An earlier release wrote it.
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
    /// The body is shorter or longer than the first line says.
    #[error("{actual} bytes of {expected}")]
    WrongLength {
        /// Length of the body that is there, in bytes.
        actual: usize,
        /// Length by the first line, in bytes.
        expected: usize,
    },
    /// The body's CRC-32 differs from the one in the first line.
    #[error("its checksum is wrong")]
    WrongChecksum,
    /// The body is not JSON of the expected shape.
    #[error("not as this version writes it: {source}")]
    InvalidBody {
        /// What the JSON parser found, with line and column.
        source: serde_json::Error,
    },
    /// The endpoint list is longer than any that a proxy accepts.
    #[error("{count} hosts; {MAX_ENDPOINTS} are the most")]
    TooManyEndpoints {
        /// Length of the list.
        count: usize,
    },
}

/// Why a file of the snapshot directory is not used.
#[derive(Debug, Error)]
pub enum FileError {
    /// It cannot be read from disk, is not a regular file, or is longer than any snapshot.
    #[error(transparent)]
    Read(#[from] io::Error),
    /// Its bytes are not a snapshot that this build reads.
    #[error(transparent)]
    Decode(#[from] DecodeError),
    /// It describes the endpoints of another proxy.
    #[error("foreign: it is of {owner:?}")]
    OwnerMismatch {
        /// The proxy that wrote it, by the address it listens at.
        owner: String,
    },
}

/// Why a snapshot was not saved.
#[derive(Debug, Error)]
pub enum SaveError {
    /// The disk refused a step. Both generations are as before, or the new one is complete and may not be durable.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// It is longer than [`MAX_FILE_BYTES`](crate::MAX_FILE_BYTES), so that no start would read it again.
    #[error("longer than what is read again")]
    TooLong {
        /// Length of the encoded snapshot in bytes.
        len: usize,
    },
}

/// Why the writer thread could not write a snapshot.
#[derive(Debug, Error)]
pub enum WriterError {
    /// The directory's lock file cannot be opened or locked; the thread has given up.
    #[error("lock: {0}")]
    Lock(#[source] io::Error),
    /// One snapshot could not be saved; the next one is tried as usual.
    #[error(transparent)]
    Save(#[from] SaveError),
}
