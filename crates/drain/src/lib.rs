//! Drains a proxy on an operator's request, which can be cancelled, and shuts it down gracefully on SIGTERM, which
//! cannot.
//!
//! [`Drain`] is a state machine ([`TRANSITIONS`]) that also paces the migration of sessions. It does no I/O: the caller
//! passes the time and a [`DrainView`] of its sessions to [`Drain::advise`] every [`ADVICE_INTERVAL`] and carries out
//! the [`DrainAdvice`]. All times are [`Duration`]s since the caller's start.
//!
//! The front load balancer distributes new sessions over the proxies: it pings each of them and sends sessions only to
//! those that answer.

mod drain;
mod pacing;
mod settings;
mod state;

pub use drain::{Drain, DrainAdvice, DrainView};
pub use settings::{DrainSettings, ShutdownSchedule};
pub use state::{DrainEffect, DrainError, DrainInput, DrainState, TRANSITIONS, Transition};

use std::time::Duration;

/// Time between two calls of [`Drain::advise`] while the proxy drains or shuts down.
pub const ADVICE_INTERVAL: Duration = Duration::from_millis(25);
