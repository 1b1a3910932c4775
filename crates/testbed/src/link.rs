//! Relays in the network paths between processes: each takes connections at an address of its own and passes their bytes
//! on, until a fault drops, resets, refuses, delays or slows them.
//!
//! A link lies between one proxy and one host, or between the clients of one zone and one proxy. Whoever dials its relay
//! takes that for the other side.

mod address;
mod faults;
mod path;
mod registry;
mod relay;
mod relayed_dials;

pub use address::is_relay_address;
pub use faults::LinkFaults;
pub use path::Link;
pub use registry::Links;
pub use relayed_dials::RelayedDials;
