//! What makes the proxy a program: configuration, clock, signals, counters, log, loop.

pub mod clock;
pub mod command;
pub mod config;
pub mod counters;
mod drain_progress;
mod leader_lease;
pub mod log;
mod roll;
pub mod run;
mod signals;
mod state;
