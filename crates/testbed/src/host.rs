//! Emulated hosts: the server's side of the protocol over a load model, with the faults that a plan gives them.

mod connection;
mod dial;
mod faults;
mod protocol;
mod server;
mod session;
mod state;

pub use server::{bind_all, serve};
pub use state::Host;
