//! Clients: they want to be connected for a while, measure how well they are, retry, come back, leave early.

mod attempt;
mod lifetime;
mod open_connection;
mod service_credit;

pub use lifetime::run;
