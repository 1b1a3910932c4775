//! The admin protocol: how operators and their tools talk to a running proxy.
//!
//! A client connects to the proxy's Unix socket and sends [`AdminRequest`]s, JSON objects of one line each; the proxy
//! answers each with one [`AdminReply`], also one line. Both carry [`PROTOCOL_VERSION`]. Four of the commands are also
//! available as HTTP calls, listed in [`HTTP_ROUTES`].
//!
//! [`AdminClient`] is the client's side; the server's side is `asterramp_proxy::routing::admin_socket` and `admin_http`.

mod client;
mod command;
mod reply;
mod request;
mod status;
mod wire;

pub use client::{AdminClient, AdminClientError};
pub use command::{AdminCommand, HTTP_ROUTES, HttpRoute};
pub use reply::AdminReply;
pub use request::{AdminRequest, AdminRequestError, LeaderToken};
pub use status::{
    AdmissionStatus, EndpointSourceCount, ListenerSessions, ProxyStatus, RejectionCount,
    SessionCostEstimate, SnapshotCounts, WarmStartStatus, ZoneStatus,
};

/// Version of the messages. A proxy answers a request of another version with an error.
pub const PROTOCOL_VERSION: u32 = 1;

/// Longest request in bytes, its line feed included. A proxy closes the connection of a client that sends a longer one.
pub const MAX_REQUEST_BYTES: usize = 1024;

/// Longest reply in bytes, its line feed included. A client reads no further.
pub const MAX_REPLY_BYTES: usize = 8192;
