//! A plain proxy for comparison only, whose balancing policies ignore the load of hosts.
//!
//! It keeps the rules in the simplest way, or breaks one of them on request, to test that the judge detects it. It runs as
//! a process like the proxy under test, by the command `plain-proxy`, with the same configuration file.

mod attempts;
mod configuration;
mod connection;
mod endpoints;
mod error;
mod forwarding;
mod options;
mod request;
mod serve;
mod session;
mod state;

pub use error::PlainProxyError;
pub use options::{InjectedFault, Policy, program};
pub use serve::serve;
