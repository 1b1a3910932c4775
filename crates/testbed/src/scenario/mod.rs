//! Scenario files, which describe runs: their structure, parsing and checks.
//!
//! [`Scenario`] is the whole file; the tables of each subject have a module of their own. Some fields have another name
//! than their key in the file, which is then a serde `rename`; errors name the keys.

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
