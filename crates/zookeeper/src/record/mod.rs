//! The records, both ways: what a client requests, what a store replies, and the watch events that it sends unasked.

mod connect;
mod reply;
mod request;

pub use connect::{ConnectRequest, ConnectResponse};
pub use reply::{NodeStat, ReplyHeader, StoreError, WatchEvent, WatchEventKind};
pub use request::StoreRequest;

/// The request number of a watch event, which belongs to no request.
pub const XID_EVENT: i32 = -1;
/// The request number of a ping.
pub const XID_PING: i32 = -2;
/// The request number of an authentication.
pub const XID_AUTH: i32 = -4;
/// The request number with which a client sets its watches again.
pub const XID_SET_WATCHES: i32 = -8;

/// In place of a node's version: whichever it has.
pub const ANY_VERSION: i32 = -1;
