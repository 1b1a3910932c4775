//! A plain proxy for comparison only, with balancing policies that know nothing of load.
//!
//! It keeps the rules in the simplest way, or breaks one on request, so that it can be seen whether the judge notices. It is
//! a program like the proxy under test: the command `plain-proxy`, configured as the platform configures proxies.

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
