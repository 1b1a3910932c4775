//! Warm start: what a proxy does between a power loss and normal service.
//!
//! A proxy that starts has an endpoint list from its last snapshot, from its configuration and from its peers, and hears
//! from discovery at some point. [`WarmStart`] decides which of these endpoints are used, after which probes, and how
//! clients are admitted meanwhile:
//!
//! - `source.rs`: what information about an endpoint is worth, by who gave it and how old it is;
//! - `candidate.rs`: the states of one endpoint, from the first report of it to its use;
//! - `candidates.rs`: all endpoints, and which are probed next;
//! - `stage.rs`: the stages of a warm start and how clients are admitted in each;
//! - `warm_start.rs`: both machines together, as a proxy drives them;
//! - `admission_rate.rs`: how fast clients are admitted while endpoints warm up.
//!
//! The package does no I/O and reads no clock. Inputs come in with the time since the clock's origin, which is Unix time
//! where ages are judged; what is to be done comes out as [`WarmStartEffect`].

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
