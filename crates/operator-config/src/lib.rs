//! The operator's configuration file: optional features of an installation, in addition to the configuration that the
//! platform provides.
//!
//! [`OperatorConfig::parse`] reads the TOML text. All keys, their bounds and when a change of each takes effect are in
//! one table (`keys.rs`); the defaults are in the settings types (`config.rs`), and apply to each key and table that
//! the file does not contain. Without a file, too, all defaults apply: zone failover is on; the admin socket, snapshots
//! and warm start are off. An invalid file is rejected as a whole, with all its [`ConfigProblem`]s.

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
