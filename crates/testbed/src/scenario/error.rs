//! Why a scenario cannot be taken. The texts go to standard error after the program's name.

use super::faults::FaultKind;
use std::io;
use std::path::PathBuf;

/// Why a scenario file cannot be taken.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioFileError {
    /// The file could not be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why not.
        source: io::Error,
    },
    /// What the file says is no scenario.
    #[error("{}: {source}", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: ScenarioError,
    },
}

/// What is wrong with a scenario: the key, its value and what is allowed.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// It is no TOML, or a key is unknown, missing or of another type.
    #[error("{}", .0.to_string().trim_end())]
    Syntax(#[source] Box<toml::de::Error>),
    /// A figure is too small, too large or no number.
    #[error("{key} is {value}; allowed are {least} to {most}")]
    OutOfRange {
        /// The figure's key.
        key: String,
        /// What the file says.
        value: f64,
        /// The least that is allowed.
        least: f64,
        /// The most that is allowed.
        most: f64,
    },
    /// A name has other characters than those that stand in lines of the protocol.
    #[error("{key} is {name:?}; allowed are letters, digits and -")]
    InvalidName {
        /// The name's key.
        key: String,
        /// What the file says.
        name: String,
    },
    /// Two listeners have one name.
    #[error("listeners.{index}.name is {name:?}, as another's; each has its own")]
    DuplicateListener {
        /// The second of them.
        index: usize,
        /// Its name.
        name: String,
    },
    /// Nothing has a part of the sessions.
    #[error("{table}: all portions are 0; one must be more")]
    NoPortions {
        /// The table of listeners or members.
        table: &'static str,
    },
    /// Hosts stand in a zone that is not of the scenario's.
    #[error("fleet.hosts.{index}.place is {place:?}; allowed are {places:?}")]
    UnknownPlace {
        /// The group of hosts.
        index: usize,
        /// Its zone.
        place: String,
        /// The scenario's zones.
        places: Vec<String>,
    },
    /// A field that no load report has.
    #[error("fleet.report_fields.{index} is {field:?}; allowed are \"x0\", \"outstanding\"")]
    UnknownReportField {
        /// Its place in the list.
        index: usize,
        /// What the file says.
        field: String,
    },
    /// A key that a fault of this kind does not have.
    #[error("faults.{index}.{key} does not go with {kind:?}")]
    MisplacedFaultKey {
        /// The fault.
        index: usize,
        /// Its key.
        key: &'static str,
        /// Its kind.
        kind: FaultKind,
    },
    /// A fault of links to a host that there is not.
    #[error("faults.{index}.to is {host}; allowed are 0 to {last}")]
    UnknownLinkTarget {
        /// The fault.
        index: usize,
        /// The host's number.
        host: u32,
        /// The last host's.
        last: u32,
    },
}
