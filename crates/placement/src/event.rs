//! What a proxy hears. Ids are small indices, given out where events enter.

use std::time::Duration;

pub type SessionId = u32;
pub type ServerId = u32;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    Ready,
    Draining,
    #[default]
    Gone,
}

/// A line of the roster.
#[derive(Clone, Copy, Debug, Default)]
pub struct Endpoint {
    pub server: ServerId,
    /// The same at every proxy, for hashing.
    pub hash_key: u64,
    pub zone: u8,
    pub cell: u16,
    pub state: EndpointState,
    pub weight: f64,
    /// When its process last started; `None` for long ago.
    pub started_at: Option<Duration>,
    /// Share of it that a connection took when it was last known; `None` where nobody remembers.
    pub load_per_connection: Option<f64>,
}

#[derive(Clone, Debug)]
pub enum EndpointUpdate {
    Changes(Vec<Endpoint>),
    Complete(Vec<Endpoint>),
    /// The list held before a restart.
    Stale(Vec<Endpoint>),
    /// The list of a process that this one replaces, which may send yet.
    Inherited(Vec<Endpoint>),
    Failed,
}

/// How a dial ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Ok,
    Erred,
    Full,
    TimedOut,
    Unreachable,
    Reset,
    CalledOff,
    NeverSent,
}

/// What a server says of itself, as far as it says it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    pub connections: Option<f64>,
    /// Load asked over what the server can do.
    pub utilization: Option<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observation {
    /// Work a second that the connection asks for, in microseconds.
    Work(f64),
    /// What a message takes at the server now.
    Delay(Duration),
}

/// A connection as it arrives.
#[derive(Clone, Copy, Debug, Default)]
pub struct SessionRequest {
    pub session: SessionId,
    pub listener: u8,
    pub tenant: u16,
    /// Connections of one group share work. The same at every proxy.
    pub group: Option<u64>,
    /// What draws are hashed by where a connection outlives its proxy.
    pub hash_key: u64,
    /// Its client was connected before, and was cut off or moved.
    pub reconnecting: bool,
    pub dial_timeout: Duration,
}

#[derive(Clone, Debug)]
pub enum Event {
    Endpoints(EndpointUpdate),
    SessionRequested(SessionRequest),
    /// Open already when the proxy started.
    SessionInherited(SessionRequest, ServerId),
    SessionOpened {
        session: SessionId,
        dial: u8,
    },
    AttemptEnded {
        session: SessionId,
        dial: u8,
        outcome: Outcome,
        session_over: bool,
        load: Load,
    },
    Observed {
        session: SessionId,
        server: ServerId,
        observation: Observation,
    },
    ProbeEnded {
        server: ServerId,
        outcome: Outcome,
        load: Load,
    },
    ClientLeft {
        session: SessionId,
    },
    /// Another subsystem's word of a whole zone: the part of what would go there that may, 0 to 1.
    ZoneShare {
        zone: u8,
        share: f64,
    },
    /// It wants to know whether a server answers.
    ProbeRequested {
        server: ServerId,
    },
    Tick,
}
