//! The process around the router: the command line, configuration, clock, signals, counters, log and the main loop,
//! and the commands that operators run against proxies.

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
