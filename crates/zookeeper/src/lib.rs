//! The published ZooKeeper protocol as far as hosts listed as ephemeral nodes need it: jute's encoding, frames and
//! records, both ways. No I/O. So far the codec, a client's session, what a list of nodes means for
//! hosts, and the core of a stand-in store; what puts them on sockets is still to come (`docs/ROADMAP.md`).
#![allow(
    missing_docs,
    unreachable_pub,
    missing_debug_implementations,
    rust_2018_idioms
)] // Not yet brought to the workspace lints.
#![allow(clippy::too_many_lines, clippy::cognitive_complexity)] // Not yet brought to the workspace lints.

pub mod frame;
pub mod jute;
pub mod listing;
pub mod record;
pub mod session;
pub mod store;
