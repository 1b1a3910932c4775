//! Errors of reading and checking scenario files. The program prints their texts to standard error after its name.

use super::faults::FaultKind;
use std::io;
use std::path::PathBuf;

/// Why a scenario file was rejected.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioFileError {
    /// The file could not be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// The file does not describe a valid scenario.
    #[error("{}: {source}", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// What is wrong with the scenario.
        source: ScenarioError,
    },
}

/// What is wrong with a scenario. Texts name the key, its value and the allowed values; an `index` is a position in a
/// table, from 0.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// Not valid TOML, or a key is unknown, missing or of the wrong type.
    #[error("{}", .0.to_string().trim_end())]
    Syntax(#[source] Box<toml::de::Error>),
    /// A number outside its range, or NaN.
    #[error("{key} is {value}; allowed are {minimum} to {maximum}")]
    OutOfRange {
        /// The number's key.
        key: String,
        /// The value in the file.
        value: f64,
        /// The smallest allowed value.
        minimum: f64,
        /// The greatest allowed value.
        maximum: f64,
    },
    /// A name that is empty or has characters that the line protocol does not allow in names.
    #[error("{key} is {name:?}; allowed are letters, digits and -")]
    InvalidName {
        /// The name's key.
        key: String,
        /// The value in the file.
        name: String,
    },
    /// Two listeners have the same name.
    #[error("listeners.{index}.name is {name:?}, as another's; each has its own")]
    DuplicateListener {
        /// The index of the second of them.
        index: usize,
        /// The name that both have.
        name: String,
    },
    /// All traffic weights of a table are 0, so no session can be drawn.
    #[error("{table}: all portions are 0; one must be more")]
    ZeroTotalWeight {
        /// The table: `listeners` or `members`.
        table: &'static str,
    },
    /// A group of hosts is in a zone that the scenario does not list.
    #[error("fleet.hosts.{index}.place is {zone:?}; allowed are {zones:?}")]
    UnknownZone {
        /// The index of the group of hosts.
        index: usize,
        /// Its zone.
        zone: String,
        /// The scenario's zones.
        zones: Vec<String>,
    },
    /// A field that load reports do not have.
    #[error("fleet.report_fields.{index} is {field:?}; allowed are \"x0\", \"outstanding\"")]
    UnknownReportField {
        /// The field's position in the list.
        index: usize,
        /// The value in the file.
        field: String,
    },
    /// A key that has no meaning for a fault of this kind.
    #[error("faults.{index}.{key} does not go with {kind:?}")]
    MisplacedFaultKey {
        /// The index of the fault.
        index: usize,
        /// The key.
        key: &'static str,
        /// The fault's kind.
        kind: FaultKind,
    },
    /// A fault of links names a host that does not exist.
    #[error("faults.{index}.to is {host}; allowed are 0 to {last}")]
    UnknownLinkTarget {
        /// The index of the fault.
        index: usize,
        /// The host's number.
        host: u32,
        /// The greatest host number.
        last: u32,
    },
}
