//! The state machine of one session, from its client's request line to its end.
//!
//! [`SessionMachine`] has no I/O and no clock: each [`SessionInput`] comes with the time, each [`SessionEffect`]
//! is carried out by the driver of the machine (the router on sockets, the model checker on a model of them).
//! `table` lists the transitions; `machine` performs their effects.

mod machine;
mod table;
mod types;

pub use machine::SessionMachine;
pub use types::{FinalResponse, SessionEffect, SessionInput, SessionState};
