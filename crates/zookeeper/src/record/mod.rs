//! Records of both directions: the client's requests, and the store's replies and watch events.

mod connect;
mod reply;
mod request;

pub use connect::{ConnectRequest, ConnectResponse};
pub use reply::{NodeStat, ReplyHeader, StoreError, WatchEvent, WatchEventKind};
pub use request::StoreRequest;

/// The request number (xid) in the header of a watch event, which belongs to no request.
pub const XID_EVENT: i32 = -1;
/// The request number (xid) of a ping.
pub const XID_PING: i32 = -2;
/// The request number (xid) of an authentication.
pub const XID_AUTH: i32 = -4;
/// The request number (xid) with which a client sets its watches again over a new connection.
pub const XID_SET_WATCHES: i32 = -8;

/// In place of the expected version in a request: the node may have any version.
pub const ANY_VERSION: i32 = -1;
