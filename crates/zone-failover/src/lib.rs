//! Decides, for one proxy, which zones of a deployment it may use: a zone whose servers stop responding is closed, and
//! gets its traffic back step by step once it responds.
//!
//! No I/O and no clock. The caller reports what it observes (responses, failures, discovery updates) together with the
//! time since its clock began, calls [`ZoneFailover::tick`] when [`ZoneFailover::next_timer`] has passed, and carries out
//! the [`ZoneEffect`]s.
//!
//! A *failure* is a server that did not respond in time or refused the connection; a *response* is anything a server
//! sent. Only failures since the last response of their zone count as evidence, so failing servers never make a zone lost
//! while other servers of the zone respond. A zone is declared lost only while another one responds, so a proxy that is
//! itself disconnected closes none.
//!
//! | module | content |
//! | --- | --- |
//! | `state` | states, inputs and the transition table of one zone |
//! | `zone` | timer, hold-down and recovery ramp of one zone |
//! | `evidence` | what is known of each server, and the failures in a zone |
//! | `failover` | all zones of a deployment: inputs, timers and actions |
//! | `settings` | timeouts and intervals |
//! | [`capacity`] | session setups per second that the remaining zones can take |

pub mod capacity;
mod evidence;
mod failover;
#[cfg(feature = "injected-faults")]
mod injected_fault;
mod settings;
mod state;
mod zone;

pub use evidence::ServerState;
pub use failover::{ZoneEffect, ZoneFailover};
#[cfg(feature = "injected-faults")]
pub use injected_fault::InjectedFault;
pub use settings::ZoneFailoverSettings;
pub use state::{ZoneInput, ZoneState};
pub use zone::Zone;

/// Index of a zone in the deployment's list.
pub type ZoneId = u8;

/// Index of a server in the proxy's endpoint table.
pub type ServerId = u32;
