//! Warm start: decides what a proxy does between a power loss and normal service.
//!
//! A proxy that starts knows endpoints from its last snapshot, its configuration and its peers, and receives discovery's
//! list later. [`WarmStart`] decides which of these endpoints are used, which must answer a probe first, and how clients
//! are admitted meanwhile.
//!
//! | module | content |
//! | --- | --- |
//! | `source` | how a report of an endpoint is treated, by its source and age |
//! | `candidate` | the states of one endpoint, from its first report to its use |
//! | `candidates` | all endpoints, and which are probed next |
//! | `stage` | the stages of a warm start, and how clients are admitted in each |
//! | `warm_start` | candidates and stages together, as the proxy drives them |
//! | `admission_rate` | the rate at which clients are admitted while endpoints warm up |
//! | `settings` | timeouts and limits |
//!
//! No I/O and no clock. Times are durations since the origin of the caller's clock, except in [`information_age`], which
//! takes Unix times. The caller carries out the [`WarmStartEffect`]s.

mod admission_rate;
mod candidate;
mod candidates;
#[cfg(feature = "injected-faults")]
mod injected_fault;
mod settings;
mod source;
mod stage;
mod warm_start;

pub use admission_rate::{MIN_CONNECTIONS_FOR_LOAD, SlowStartProfile, admission_rate};
pub use candidate::{CandidateState, DropReason, EndpointId, EndpointReport};
pub use candidates::{EndpointCandidates, SourceCounts};
#[cfg(feature = "injected-faults")]
pub use injected_fault::InjectedFault;
pub use settings::WarmStartSettings;
pub use source::{
    CandidatePolicy, EndpointSource, InformationAge, candidate_policy, information_age,
};
pub use stage::{ClientAdmission, WarmStartStage};
pub use warm_start::{StageReason, WarmStart, WarmStartEffect};
