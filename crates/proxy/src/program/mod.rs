//! What makes the proxy a program: configuration, clock, signals, counters, log, loop.

pub mod clock;
pub mod commands;
pub mod config;
pub mod counters;
mod drain_progress;
mod leader_lease;
pub mod log;
mod operator_file;
mod roll;
pub mod run;
mod signals;
mod state;
