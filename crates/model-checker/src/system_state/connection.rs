//! Connections to servers, and the model's data of each session.

use asterramp_proxy::transport::SlotKey;

/// The state of a connection to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionState {
    /// It is being established.
    Connecting,
    /// The request is being written.
    SendingRequest,
    /// The server has the request.
    AwaitingAnswer,
    /// The server accepted the session.
    Open,
}

/// A connection to a server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Connection {
    /// Key of its session in the session table.
    pub(super) session_key: SlotKey,
    /// Number of its session.
    pub(super) session: u8,
    /// Number of the dial among those of the session.
    pub(super) dial: u8,
    pub(super) state: ConnectionState,
}

/// The model's data of a session, which the session table stores with the session as it does the router's.
#[derive(Clone, Debug)]
pub(super) struct SessionConnections {
    /// The session's number.
    pub(super) session: u8,
    /// Whether the connection to the client is open.
    pub(super) has_client: bool,
    /// Whether the client has closed its side without an event: only a check of its connection detects that.
    pub(super) client_left_unnoticed: bool,
    /// Key of the connection to the server; `None` while there is none.
    pub(super) server: Option<SlotKey>,
}
