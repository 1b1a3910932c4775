//! Scenario files: what a run is made of, read and checked in one place.
//!
//! [`Scenario`] is the whole file, with a module for the tables of each subject. The keys of the file are older than the
//! names of some fields, which have a serde `rename`; errors show the keys.

mod checks;
mod clients;
mod definition;
mod error;
mod fault_checks;
mod faults;
mod fleet;
mod proxies;
mod reading;
mod time_span;
mod value_checks;

pub use clients::{
    IdempotencyScope, Listener, RatePoint, Retries, RetrySafety, SessionLength, Tenant, Traffic,
};
pub use definition::Scenario;
pub use error::{ScenarioError, ScenarioFileError};
pub use faults::{FaultKind, LinkKind, RecoveredPart, ScenarioFault};
pub use fleet::{Fleet, HostGroup};
pub use proxies::{FrontSettings, InitialEndpointList, Platform, Proxies};
