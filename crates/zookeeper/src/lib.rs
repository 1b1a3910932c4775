//! The parts of the published ZooKeeper protocol that the leader lease and a listing of servers as ephemeral nodes
//! need. No I/O and no clock: callers pass in bytes and times, and perform the effects that are returned.
//!
//! - [`jute`] is the encoding, [`frame`] splits a byte stream into records, [`record`] has the records of both
//!   directions.
//! - [`session`] is a client's session with a store, over successive connections.
//! - [`listing`] derives the state of servers from a list of ephemeral nodes.
//! - [`store`] is a stub store for tests; the program `asterramp-zookeeper-stub` serves it over TCP.

pub mod frame;
pub mod jute;
pub mod listing;
pub mod record;
pub mod session;
pub mod store;
