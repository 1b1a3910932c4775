//! The engine's input. Sessions and servers have small ids, which the caller assigns; the engine keeps lists that are
//! indexed by them.

use std::time::Duration;

/// A session, while it lives. Once it is forgotten, the id may be used again.
pub type SessionId = u32;
/// A server, for good.
pub type ServerId = u32;

/// What the endpoint list says of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// It takes new sessions.
    Ready,
    /// It takes no new sessions and will soon be gone.
    Draining,
    /// It is not on the list.
    #[default]
    Gone,
}

/// An entry of the endpoint list.
#[derive(Clone, Copy, Debug, Default)]
pub struct Endpoint {
    /// The server.
    pub server: ServerId,
    /// A key to hash the server by, the same at every proxy.
    pub hash_key: u64,
    /// Index of its zone.
    pub zone: u8,
    /// Number of its cell, within which servers know each other's idempotency keys.
    pub cell: u16,
    /// Whether it takes sessions.
    pub state: EndpointState,
    /// How often it is drawn, against the others.
    pub weight: f64,
    /// When its process last started; `None` for long ago.
    pub started_at: Option<Duration>,
    /// Share of the server that one connection took when that was last known; `None` where it isn't.
    pub load_per_connection: Option<f64>,
}

/// News of the endpoint list.
#[derive(Clone, Debug)]
pub enum EndpointUpdate {
    /// The entries that changed. None at all say only that discovery answers.
    Changes(Vec<Endpoint>),
    /// The whole list. Servers that it leaves out are gone.
    Complete(Vec<Endpoint>),
    /// The whole list as it was kept before a restart.
    Stale(Vec<Endpoint>),
    /// The whole list of the process that this one replaces, which may still be sending sessions.
    Inherited(Vec<Endpoint>),
    /// The poll or watch failed.
    Failed,
}

/// How an attempt, a connection or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// In good order.
    Ok,
    /// The server answered with an error.
    ServerError,
    /// The server has no room. It executed nothing.
    Full,
    /// No answer in time. The server may have executed the session.
    TimedOut,
    /// The server wasn't reached. It executed nothing.
    Unreachable,
    /// The connection broke after the request was written.
    Reset,
    /// Cancelled by [`PlacementAction::Cancel`](crate::PlacementAction::Cancel).
    Cancelled,
    /// Given up before anything was written.
    NotSent,
}

/// What a server reports of its load, as far as it does.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerLoad {
    /// Connections that it holds, of all proxies.
    pub connections: Option<f64>,
    /// Load that is asked of it over what it can do; over 1 in an overload.
    pub utilization: Option<f64>,
}

/// What was seen of an open connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observation {
    /// Work that the connection asks for, in microseconds each second.
    WorkRate(f64),
    /// How long a message takes at the server now.
    MessageDelay(Duration),
}

/// A client's request for a session.
#[derive(Clone, Copy, Debug, Default)]
pub struct SessionRequest {
    /// Id that the session will have.
    pub session: SessionId,
    /// Index of the listener that it came to.
    pub listener: u8,
    /// Index of its tenant.
    pub tenant: u16,
    /// Sessions of one group share work at a server. The key is the same at every proxy.
    pub group: Option<u64>,
    /// Key of the client's flow, by which servers are drawn where a connection outlives its proxy.
    pub hash_key: u64,
    /// Whether the client was connected before and was cut off or migrated.
    pub reconnecting: bool,
    /// When the client must have its final answer, as a time since the clock began.
    pub answer_deadline: Duration,
}

/// One event that the engine handles.
#[derive(Clone, Debug)]
pub enum PlacementEvent {
    /// News of the endpoint list.
    EndpointsUpdated(EndpointUpdate),
    /// A client asks for a session.
    SessionRequested(SessionRequest),
    /// A session that was open at the server when this process started.
    SessionInherited(SessionRequest, ServerId),
    /// An attempt opened its session.
    SessionOpened {
        /// The attempt's session.
        session: SessionId,
        /// The attempt's number.
        attempt: u8,
    },
    /// An attempt failed, or the connection that it opened ended.
    AttemptEnded {
        /// The attempt's session.
        session: SessionId,
        /// The attempt's number.
        attempt: u8,
        /// How it ended.
        outcome: Outcome,
        /// Whether the session is over, so that no further attempt is wanted.
        session_over: bool,
        /// What the server reported as it ended.
        load: ServerLoad,
    },
    /// Something was seen of an open connection.
    ConnectionObserved {
        /// The connection's session.
        session: SessionId,
        /// The server that holds it.
        server: ServerId,
        /// What was seen.
        observation: Observation,
    },
    /// A probe was answered or failed.
    ProbeEnded {
        /// The server that was asked.
        server: ServerId,
        /// How the probe ended.
        outcome: Outcome,
        /// What the server reported.
        load: ServerLoad,
    },
    /// A client left before its session ended.
    ClientLeft {
        /// The client's session.
        session: SessionId,
    },
    /// Another subsystem says which part of its sessions a zone gets from now on.
    ZoneShareChanged {
        /// Index of the zone.
        zone: u8,
        /// From 0, for a lost zone, to 1.
        share: f64,
    },
    /// Another subsystem wants to know whether a server answers.
    ProbeRequested {
        /// The server to ask.
        server: ServerId,
    },
    /// The timer that [`PlacementAction::SetTimer`](crate::PlacementAction::SetTimer) set has run out.
    Tick,
}
