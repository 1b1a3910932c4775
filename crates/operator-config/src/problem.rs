//! Problems of a file, with the texts that operators see.

use crate::keys;
use crate::value::{MAX_ADDRESSES, MAX_NAME_BYTES};
use std::fmt;

/// A problem of a file and its place.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("line {line}: {error}")]
pub struct ConfigProblem {
    /// Number of the line, from 1; 1 for a missing key.
    pub line: usize,
    /// The problem.
    #[source]
    pub error: ConfigError,
}

/// A problem of a file.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ConfigError {
    /// The text is not TOML.
    #[error("{0}")]
    Syntax(String),
    /// The name of a table, or of a key outside of all tables, is unknown.
    #[error("[{name}] is no table; allowed are {}", keys::table_names())]
    UnknownTable {
        /// The unknown name.
        name: String,
    },
    /// The value under a table's name is not a table.
    #[error("{name} is a table, [{name}]")]
    NotATable {
        /// Name of the table.
        name: String,
    },
    /// The table has no key of this name.
    #[error("{table}.{key} is no key; allowed are {}", keys::key_names(table))]
    UnknownKey {
        /// Name of the table.
        table: String,
        /// Name of the key.
        key: String,
    },
    /// The value of a key is of the wrong kind or out of bounds.
    #[error("{table}.{key} {error}")]
    InvalidValue {
        /// Name of the table.
        table: &'static str,
        /// Name of the key.
        key: &'static str,
        /// What is wrong with the value.
        #[source]
        error: ValueError,
    },
    /// A table contains keys, but not the one that it must contain.
    #[error("{table}.{key} is missing")]
    MissingKey {
        /// Name of the table.
        table: &'static str,
        /// Name of the key.
        key: &'static str,
    },
    /// There are addresses of other proxies, but no name of the fleet.
    #[error("recovery.fleet is missing beside recovery.others")]
    MissingFleet,
}

/// Why a value is invalid, and which values are allowed. Bounds of durations are in seconds, lengths in bytes.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[expect(
    missing_docs,
    reason = "the fields are the text in the file and the bounds"
)]
pub enum ValueError {
    /// The value of a duration is not a string.
    #[error("is no time; {}", AllowedDurations { min, max })]
    NotADuration { min: f64, max: f64 },
    /// The string is not a number with a unit.
    #[error("is {text:?}, no time; {}", AllowedDurations { min, max })]
    InvalidDuration { text: String, min: f64, max: f64 },
    /// The duration is out of bounds.
    #[error("is {text:?}; {}", AllowedDurations { min, max })]
    DurationOutOfRange { text: String, min: f64, max: f64 },
    /// The value is not a number, or out of bounds.
    #[error("is out of range or no number; allowed are {min} to {max}")]
    InvalidNumber { min: f64, max: f64 },
    /// The value is not an integer.
    #[error("is no whole number; allowed are {min} to {max}")]
    NotACount { min: i64, max: i64 },
    /// The integer is out of bounds.
    #[error("is out of range; allowed are {min} to {max}")]
    CountOutOfRange { min: i64, max: i64 },
    /// The value is neither `true` nor `false`.
    #[error("is neither true nor false; allowed are these two")]
    NotABoolean,
    /// The value of a path is not a string.
    #[error("is no path; allowed is an absolute path of at most {max_bytes} bytes")]
    NotAPath { max_bytes: usize },
    /// The path is relative, too long, or contains a zero byte.
    #[error("is {text:?}; allowed is an absolute path of at most {max_bytes} bytes")]
    InvalidPath { text: String, max_bytes: usize },
    /// The value of a name is not a string.
    #[error("is no name; allowed are up to {MAX_NAME_BYTES} letters, digits and -")]
    NotAName,
    /// The name is empty, too long, or contains other characters.
    #[error("is {text:?}; allowed are up to {MAX_NAME_BYTES} letters, digits and -")]
    InvalidName { text: String },
    /// The value of an address list is not an array.
    #[error("is no list; {AllowedAddresses}")]
    NotAList,
    /// An entry of the list is not an IP address with a port, or there are too many.
    #[error("has an entry that is no address, or too many; {AllowedAddresses}")]
    InvalidAddresses,
}

/// The part of the texts on durations that states the allowed ones; bounds in seconds.
struct AllowedDurations<'a> {
    min: &'a f64,
    max: &'a f64,
}

impl fmt::Display for AllowedDurations<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let AllowedDurations { min, max } = self;
        write!(
            f,
            "allowed are {min}s to {max}s, as in \"250ms\", \"3s\" or \"2m\""
        )
    }
}

/// The part of the texts on address lists that states the allowed ones.
struct AllowedAddresses;

impl fmt::Display for AllowedAddresses {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "allowed is a list of up to {MAX_ADDRESSES} addresses, as in [\"10.0.0.5:9000\"]"
        )
    }
}
