//! Emulated clients. Each wants to be connected for a time given by the plan, measures how well it is served, retries
//! failed attempts, reconnects after a lost connection, and may leave early.

mod attempt;
mod lifetime;
mod open_connection;
mod service_credit;

pub use lifetime::run;
