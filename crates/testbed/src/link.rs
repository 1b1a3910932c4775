//! Relays in the network paths between processes: each accepts connections at its own address and forwards their bytes
//! to its target. Faults make it drop, delay or throttle bytes, and refuse or reset connections.
//!
//! A link joins one proxy and one host, or the clients of one zone and one proxy. The dialling side is given the
//! relay's address as that of the target.

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
