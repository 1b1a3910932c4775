//! Emulated hosts: the server side of the session protocol, with response times from a load model, and injected faults.

mod connection;
mod dial;
mod faults;
mod protocol;
mod server;
mod session;
mod state;

pub use server::{bind_all, serve};
pub use state::Host;
