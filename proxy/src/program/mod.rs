//! What makes the proxy a program: configuration, clock, signals, counters, log, loop.

pub mod clock;
pub mod config;
pub mod counters;
pub mod log;
pub mod run;
