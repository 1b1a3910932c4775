//! The operator's file: optional features of an installation, beside the configuration that the platform gives.
//!
//! [`OperatorConfig::parse`] reads the TOML text. All keys, their bounds and when a change of each takes effect are in one
//! table (`keys.rs`); defaults are the `Default` of the settings types (`config.rs`). A file without a table has its
//! defaults, and without any file nothing optional is on. A bad file is rejected as a whole, with every
//! [`ConfigProblem`] that it has.

mod changes;
mod config;
mod duration;
mod keys;
mod parse;
mod problem;
mod value;

pub use changes::ConfigChange;
pub use config::{
    AdminSocketConfig, DrainConfig, OperatorConfig, SnapshotConfig, WarmStartConfig,
    ZoneFailoverConfig,
};
pub use duration::parse_duration;
pub use keys::TakesEffect;
pub use problem::{ConfigError, ConfigProblem, ValueError};
