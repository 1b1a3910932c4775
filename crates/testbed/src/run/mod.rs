//! One run: starts a scenario's hosts, links and proxies, carries out its plan, stops everything and checks the rules over
//! the event log.
//!
//! [`run`] performs all steps; each has a module.

mod capacity;
mod clients;
mod error;
mod faults;
mod files;
mod links;
mod observers;
mod operators;
mod options;
mod outcome;
mod proxy_fleet;
mod roll;
mod set_up;
mod stages;
mod without_files;
mod zones;

pub use error::RunError;
pub use files::{find_proxy_program, unique_output_folder};
pub use options::RunOptions;
pub use outcome::RunOutcome;
pub use roll::RollError;
pub use stages::run;
pub use without_files::run_without_files;
