//! What makes the proxy a program: configuration, clock, signals, counters, log, loop.

pub mod clock;
pub mod command;
pub mod config;
pub mod counters;
pub mod log;
mod owner;
pub mod roll;
pub mod run;
mod signals;
mod state;
