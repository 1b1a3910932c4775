//! The events of the placement model. `action_text` formats and parses them.

/// The first line with which a server answers a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ServerMessage {
    /// It accepts the session.
    Up,
    /// It is full and has not run the request.
    Busy,
    /// It failed.
    Err,
    /// It is draining and asks for another server.
    Move,
}

/// The result of a probe of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ProbeResult {
    /// The server reports a light load.
    LightLoad,
    /// The server reports more load than it can carry.
    Overload,
    /// The server does not answer in time.
    TimedOut,
    /// The server refuses the connection.
    Refused,
}

/// A change of a server that the endpoint list reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EndpointChange {
    /// It may be used.
    Ready,
    /// It accepts no new sessions.
    Draining,
    /// It has been removed.
    Gone,
    /// It was restarted and is warming up.
    Restarted,
    /// It is gone, and a server with another id has its address.
    Replaced,
}

/// An event. The number is that of a session or a server, from 0. A session's dial and server are those of its current
/// connection to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// The first line of a session's client arrives.
    SessionArrives(u8),
    /// The dial's connection is established.
    DialConnected(u8),
    /// The dial's connection was refused or never established.
    DialRefused(u8),
    /// The dial failed because the proxy had no socket left.
    DialWithoutSocket(u8),
    /// The request's last byte is written.
    RequestWritten(u8),
    /// The server sends its first line.
    ServerAnswers(u8, ServerMessage),
    /// The server closes the connection.
    ServerCloses(u8),
    /// The client closes its side.
    ClientLeaves(u8),
    /// The client sends data before it has an answer.
    ClientSendsEarly(u8),
    /// The client closes its side, but the event for it has not been delivered yet: only a check of the connection detects
    /// it.
    ClientLeavesUnnoticed(u8),
    /// The endpoint list reports a change of a server.
    EndpointChanges(u8, EndpointChange),
    /// A probe of a server ends.
    ProbeEnds(u8, ProbeResult),
    /// The clock advances to the next deadline, which falls due.
    NextDeadline,
    /// An event is delivered for a connection that was closed earlier in the same iteration of the event loop.
    StaleEvent(u8),
    /// The proxy receives SIGTERM.
    Sigterm,
    /// An operator drains the proxy.
    OperatorDrains,
    /// An operator cancels the drain.
    OperatorCancelsDrain,
}

/// An action, and the range in which the placement engine's first random number falls while it is applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Choice {
    /// The event.
    pub action: Action,
    /// Number of the range, modulo 4.
    pub random_range: u8,
}
