//! The published ZooKeeper protocol as far as hosts listed as ephemeral nodes need it: jute's encoding, frames and
//! records, both ways. No I/O. So far the codec and a client's session; the stand-in store
//! and the decisions rest on them and are still to come (`docs/ROADMAP.md`).

pub mod frame;
pub mod jute;
pub mod listing;
pub mod record;
pub mod session;
