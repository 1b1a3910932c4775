//! Input of the placement engine. The caller assigns small ids to sessions and servers, as the engine keeps lists that
//! are indexed by them.

use std::time::Duration;

/// Id of a session. It may be reused after
/// [`PlacementAction::ReleaseSession`](crate::PlacementAction::ReleaseSession).
pub type SessionId = u32;
/// Id of a server. It is never reused for another server.
pub type ServerId = u32;

/// State of a server on the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// It takes new sessions.
    Ready,
    /// It takes no new sessions and will soon be removed.
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
    /// Hash key of the server, the same at every proxy.
    pub hash_key: u64,
    /// Index of its zone.
    pub zone: u8,
    /// Number of its cell, within which servers may share idempotency keys.
    pub cell: u16,
    /// Whether it takes sessions.
    pub state: EndpointState,
    /// Relative probability that it is drawn as a candidate.
    pub weight: f64,
    /// When its process last started, as a time since the clock began; `None` for so long ago that it is warm.
    pub started_at: Option<Duration>,
    /// Last known fraction of the server's capacity that one connection takes; `None` where unknown.
    pub load_per_connection: Option<f64>,
}

/// Update of the endpoint list.
#[derive(Clone, Debug)]
pub enum EndpointUpdate {
    /// The entries that changed. An empty list only shows that discovery answers.
    Changes(Vec<Endpoint>),
    /// The complete list. Servers that it leaves out are gone.
    Complete(Vec<Endpoint>),
    /// The complete list as saved before a restart.
    Stale(Vec<Endpoint>),
    /// The complete list of the predecessor process, which may still be dialing sessions.
    Inherited(Vec<Endpoint>),
    /// The poll or watch failed.
    Failed,
}

/// How an attempt, a connection or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It succeeded, or was closed normally.
    Ok,
    /// The server answered with an error.
    ServerError,
    /// The server is full. It executed nothing.
    Full,
    /// No answer in time. The server may have executed the session.
    TimedOut,
    /// The server could not be reached. It executed nothing.
    Unreachable,
    /// The connection broke after the request was written.
    Reset,
    /// Cancelled by [`PlacementAction::Cancel`](crate::PlacementAction::Cancel).
    Cancelled,
    /// Abandoned before anything was written.
    NotSent,
}

/// Load report of a server. Values that it doesn't report are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerLoad {
    /// Connections that it holds, of all proxies.
    pub connections: Option<f64>,
    /// Requested load as a fraction of the server's capacity; greater than 1 when it is overloaded.
    pub utilization: Option<f64>,
}

/// Measurement of an open connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observation {
    /// Work that the connection requests, in microseconds per second.
    WorkRate(f64),
    /// How long messages currently take at the server.
    MessageDelay(Duration),
}

/// A client's request for a session.
#[derive(Clone, Copy, Debug, Default)]
pub struct SessionRequest {
    /// Id of the new session.
    pub session: SessionId,
    /// Index of the listener that received it.
    pub listener: u8,
    /// Index of its tenant.
    pub tenant: u16,
    /// Key of its group, the same at every proxy. Sessions of one group share work at a server. `None` for a session
    /// without a group.
    pub group: Option<u64>,
    /// Hash key of the client's flow. It identifies the client in session pacing, and servers are drawn by it with
    /// packet passthrough.
    pub hash_key: u64,
    /// Whether the client was connected before and was disconnected or migrated.
    pub reconnecting: bool,
    /// When the client must have its final answer, as a time since the clock began.
    pub answer_deadline: Duration,
}

/// An event that the engine handles.
#[derive(Clone, Debug)]
pub enum PlacementEvent {
    /// The endpoint list was updated, or an update failed.
    EndpointsUpdated(EndpointUpdate),
    /// A client requests a session.
    SessionRequested(SessionRequest),
    /// A session that was open at the server when this process started.
    SessionInherited(SessionRequest, ServerId),
    /// An attempt opened its session.
    SessionOpened {
        /// The attempt's session.
        session: SessionId,
        /// The attempt's number, from 0.
        attempt: u8,
    },
    /// An attempt failed, or the connection that it opened ended.
    AttemptEnded {
        /// The attempt's session.
        session: SessionId,
        /// The attempt's number, from 0.
        attempt: u8,
        /// How it ended.
        outcome: Outcome,
        /// Whether the session is over, so that no further attempt may be made.
        session_over: bool,
        /// Load that the server reported as it ended.
        load: ServerLoad,
    },
    /// An open connection was measured.
    ConnectionObserved {
        /// The connection's session.
        session: SessionId,
        /// The server that holds it.
        server: ServerId,
        /// The measurement.
        observation: Observation,
    },
    /// A probe was answered or failed.
    ProbeEnded {
        /// The server that was probed.
        server: ServerId,
        /// How the probe ended.
        outcome: Outcome,
        /// Load that the server reported.
        load: ServerLoad,
    },
    /// A client left before its session ended.
    ClientLeft {
        /// The client's session.
        session: SessionId,
    },
    /// Another subsystem changed the share of its sessions that a zone gets.
    ZoneShareChanged {
        /// Index of the zone.
        zone: u8,
        /// The share, from 0 for a lost zone to 1 for an unrestricted one.
        share: f64,
    },
    /// Another subsystem requests a probe of a server.
    ProbeRequested {
        /// The server to probe.
        server: ServerId,
    },
    /// The timer that [`PlacementAction::SetTimer`](crate::PlacementAction::SetTimer) set has expired.
    Tick,
}
