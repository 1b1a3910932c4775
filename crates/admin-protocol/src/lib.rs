//! The admin protocol, by which operators and their tools control a running proxy.
//!
//! A client connects to the proxy's Unix socket and sends [`AdminRequest`]s, JSON objects of one line each; the proxy
//! sends one [`AdminReply`] for each, also one line. Both contain [`PROTOCOL_VERSION`]. Four of the commands are also
//! available over HTTP; see [`HTTP_ROUTES`].
//!
//! [`AdminClient`] is the client; the server is in `asterramp_proxy::routing`, modules `admin_socket` and `admin_http`.

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

/// Version of the protocol. A proxy rejects requests of any other version.
pub const PROTOCOL_VERSION: u32 = 1;

/// Longest request in bytes, including its line feed. A proxy closes the connection of a client that sends a longer
/// one.
pub const MAX_REQUEST_BYTES: usize = 1024;

/// Longest reply in bytes, including its line feed. A client reads no more than this of one reply.
pub const MAX_REPLY_BYTES: usize = 8192;
