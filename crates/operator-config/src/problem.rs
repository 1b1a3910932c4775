//! What may be wrong with a file, with the texts that operators see.

use crate::keys;
use crate::value::{MAX_ADDRESSES, MAX_NAME_BYTES};
use std::fmt;

/// A mistake in a file, and the line that it is on, from 1.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("line {line}: {error}")]
pub struct ConfigProblem {
    /// The line; 1 for what is missing.
    pub line: usize,
    /// The mistake.
    #[source]
    pub error: ConfigError,
}

/// A mistake in a file.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ConfigError {
    /// The text is not TOML.
    #[error("{0}")]
    Syntax(String),
    /// A table, or a key outside of all tables, that does not exist.
    #[error("[{name}] is no table; allowed are {}", keys::table_names())]
    UnknownTable {
        /// Its name.
        name: String,
    },
    /// A table's name with another kind of value.
    #[error("{name} is a table, [{name}]")]
    NotATable {
        /// The table.
        name: String,
    },
    /// A key that the table does not have.
    #[error("{table}.{key} is no key; allowed are {}", keys::key_names(table))]
    UnknownKey {
        /// The table.
        table: String,
        /// The key.
        key: String,
    },
    /// A key whose value cannot be read or is out of bounds.
    #[error("{table}.{key} {error}")]
    InvalidValue {
        /// The table.
        table: &'static str,
        /// The key.
        key: &'static str,
        /// What is wrong with the value.
        #[source]
        error: ValueError,
    },
    /// A key without which the other keys of its table mean nothing.
    #[error("{table}.{key} is missing")]
    MissingKey {
        /// The table.
        table: &'static str,
        /// The key.
        key: &'static str,
    },
    /// Addresses of other proxies without the name of the fleet.
    #[error("recovery.fleet is missing beside recovery.others")]
    MissingFleet,
}

/// What is wrong with a value, and what is allowed. Bounds of times are in seconds.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[expect(missing_docs, reason = "fields are the text given and the bounds")]
pub enum ValueError {
    /// No text where a time is wanted.
    #[error("is no time; {}", AllowedDurations { min, max })]
    NotADuration { min: f64, max: f64 },
    /// A text that is no number with a unit.
    #[error("is {text:?}, no time; {}", AllowedDurations { min, max })]
    InvalidDuration { text: String, min: f64, max: f64 },
    /// A time out of bounds.
    #[error("is {text:?}; {}", AllowedDurations { min, max })]
    DurationOutOfRange { text: String, min: f64, max: f64 },
    /// No number, or one out of bounds.
    #[error("is out of range or no number; allowed are {min} to {max}")]
    InvalidNumber { min: f64, max: f64 },
    /// No whole number.
    #[error("is no whole number; allowed are {min} to {max}")]
    NotACount { min: i64, max: i64 },
    /// A whole number out of bounds.
    #[error("is out of range; allowed are {min} to {max}")]
    CountOutOfRange { min: i64, max: i64 },
    /// Neither `true` nor `false`.
    #[error("is neither true nor false; allowed are these two")]
    NotABoolean,
    /// No text where a path is wanted.
    #[error("is no path; allowed is an absolute path of at most {max_bytes} bytes")]
    NotAPath { max_bytes: usize },
    /// A path that is relative, too long or has a zero byte in it.
    #[error("is {text:?}; allowed is an absolute path of at most {max_bytes} bytes")]
    InvalidPath { text: String, max_bytes: usize },
    /// No text where a name is wanted.
    #[error("is no name; allowed are up to {MAX_NAME_BYTES} letters, digits and -")]
    NotAName,
    /// A name that is empty, too long or has other characters in it.
    #[error("is {text:?}; allowed are up to {MAX_NAME_BYTES} letters, digits and -")]
    InvalidName { text: String },
    /// No list where addresses are wanted.
    #[error("is no list; {AllowedAddresses}")]
    NotAList,
    /// A list with something other than an address in it, or with too many.
    #[error("has an entry that is no address, or too many; {AllowedAddresses}")]
    InvalidAddresses,
}

/// The end of the texts on times.
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

/// The end of the texts on lists of addresses.
struct AllowedAddresses;

impl fmt::Display for AllowedAddresses {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "allowed is a list of up to {MAX_ADDRESSES} addresses, as in [\"10.0.0.5:9000\"]"
        )
    }
}
