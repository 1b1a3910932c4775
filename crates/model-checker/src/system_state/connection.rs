//! Connections to servers, and what the model keeps with each session.

use asterramp_proxy::transport::SlotKey;

/// How far a connection to a server has come.
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
    /// Its session's key in the session table.
    pub(super) session_key: SlotKey,
    /// Its session's number.
    pub(super) session: u8,
    /// Number of its dial among those of the session.
    pub(super) dial: u8,
    pub(super) state: ConnectionState,
}

/// What the model keeps with a session in the session table, as the router does.
#[derive(Clone, Debug)]
pub(super) struct SessionConnections {
    /// The session's number.
    pub(super) session: u8,
    /// Whether the connection to the client is open.
    pub(super) has_client: bool,
    /// The client has closed its side, and nobody has noticed yet.
    pub(super) client_left_unnoticed: bool,
    /// The connection to the server.
    pub(super) server: Option<SlotKey>,
}
