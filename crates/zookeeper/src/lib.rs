//! The published ZooKeeper protocol, as far as the leader lease and a listing of servers as ephemeral nodes need it.
//! No I/O and no clock: bytes and times come in, effects go out.
//!
//! - [`jute`] is the encoding, [`frame`] cuts a byte stream into records, [`record`] are the records both ways.
//! - [`session`] is a client's session with a store, over one connection after the other.
//! - [`listing`] is what a list of ephemeral nodes means for servers.
//! - [`store`] is a stub store for tests; the program `asterramp-zookeeper-stub` puts it on sockets.

pub mod frame;
pub mod jute;
pub mod listing;
pub mod record;
pub mod session;
pub mod store;
