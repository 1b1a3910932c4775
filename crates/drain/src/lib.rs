//! Decides how a proxy is emptied: on an operator's request, with a way back, or for good on SIGTERM.
//!
//! [`Drain`] is a state machine ([`TRANSITIONS`]) and a pacer. It does no I/O: the caller passes the time and a
//! [`DrainView`] of its sessions to [`Drain::advise`] every [`ADVICE_INTERVAL`] and carries out the [`DrainAdvice`]. All times
//! are [`Duration`]s since the caller's start.

mod drain;
mod pacing;
mod settings;
mod state;

pub use drain::{Drain, DrainAdvice, DrainView};
pub use settings::{DrainSettings, ShutdownSchedule};
pub use state::{DrainEffect, DrainError, DrainInput, DrainState, TRANSITIONS, Transition};

use std::time::Duration;

/// How often advice is asked for while a proxy is not simply serving.
pub const ADVICE_INTERVAL: Duration = Duration::from_millis(25);
