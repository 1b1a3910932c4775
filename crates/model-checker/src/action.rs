//! What may happen next in the placement world. `action_text` has the form in which it is written and read.

/// The first line of a server that was sent a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ServerMessage {
    /// It accepts the session.
    Up,
    /// It is full, and has not run the request.
    Busy,
    /// It failed.
    Err,
    /// It is draining and asks for another server.
    Move,
}

/// How a probe of a server ends.
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
    /// It takes nothing new.
    Draining,
    /// It is no longer there.
    Gone,
    /// It was started anew, and is warming up.
    Restarted,
    /// It is gone, and a server with another id has its address.
    Replaced,
}

/// Something that happens. Sessions and servers are numbered from 0; a session's server is that of its present dial.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// The first line of a session's client arrives.
    SessionArrives(u8),
    /// The dial's connection is established.
    DialConnected(u8),
    /// The dial's connection was refused or never established.
    DialRefused(u8),
    /// There was no socket for the dial.
    DialWithoutSocket(u8),
    /// The request's last byte is written.
    RequestWritten(u8),
    /// The server sends its first line.
    ServerAnswers(u8, ServerMessage),
    /// The server closes the connection.
    ServerCloses(u8),
    /// The client closes its side.
    ClientLeaves(u8),
    /// The client speaks before it is answered.
    ClientSendsEarly(u8),
    /// The client closes its side, and the event of that is yet to come: only a check of the connection finds it.
    ClientLeavesUnnoticed(u8),
    /// The endpoint list reports a change of a server.
    EndpointChanges(u8, EndpointChange),
    /// A probe of a server ends.
    ProbeEnds(u8, ProbeResult),
    /// The clock goes on to the next deadline, which falls due.
    NextDeadline,
    /// An event of a connection that was closed in the same turn of the event loop.
    StaleEvent(u8),
    /// The proxy receives SIGTERM.
    Sigterm,
    /// An operator drains the proxy.
    OperatorDrains,
    /// An operator cancels the drain.
    OperatorCancelsDrain,
}

/// An action, and the range from which the placement engine draws its random numbers meanwhile.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Choice {
    /// What happens.
    pub action: Action,
    /// Number of the range; only the lowest two bits count.
    pub random_range: u8,
}
