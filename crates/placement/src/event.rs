//! What a proxy hears. Ids are small indices, given out where events enter.

use std::time::Duration;

pub type SessId = u32;
pub type ServerId = u32;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Standing {
    Ready,
    Draining,
    #[default]
    Gone,
}

/// A line of the roster.
#[derive(Clone, Copy, Debug, Default)]
pub struct Entry {
    pub server: ServerId,
    /// The same at every proxy, for hashing.
    pub mark: u64,
    pub zone: u8,
    pub cell: u16,
    pub standing: Standing,
    pub weight: f64,
    /// When its process last started; `None` for long ago.
    pub started: Option<Duration>,
    /// Share of it that a connection took when it was last known; `None` where nobody remembers.
    pub unit: Option<f64>,
}

#[derive(Clone, Debug)]
pub enum Roster {
    Changes(Vec<Entry>),
    Whole(Vec<Entry>),
    /// The list held before a restart.
    Stale(Vec<Entry>),
    /// The list of a process that this one replaces, which may send yet.
    Inherited(Vec<Entry>),
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
    pub asked: Option<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Note {
    /// Work a second that the connection asks for, in microseconds.
    Work(f64),
    /// What a message takes at the server now.
    Delay(Duration),
}

/// A connection as it arrives.
#[derive(Clone, Copy, Debug, Default)]
pub struct Arrival {
    pub sess: SessId,
    pub listener: u8,
    pub member: u16,
    /// Connections of one group share work. The same at every proxy.
    pub group: Option<u64>,
    /// What draws are hashed by where a connection outlives its proxy.
    pub item: u64,
    /// Its client was connected before, and was cut off or moved.
    pub again: bool,
    pub dial_timeout: Duration,
}

#[derive(Clone, Debug)]
pub enum Event {
    Roster(Roster),
    Arrived(Arrival),
    /// Open already when the proxy started.
    Inherited(Arrival, ServerId),
    Began {
        sess: SessId,
        dial: u8,
    },
    Ended {
        sess: SessId,
        dial: u8,
        outcome: Outcome,
        over: bool,
        load: Load,
    },
    Noted {
        sess: SessId,
        server: ServerId,
        note: Note,
    },
    Probed {
        server: ServerId,
        outcome: Outcome,
        load: Load,
    },
    Left {
        sess: SessId,
    },
    /// Another subsystem's word of a whole zone: the part of what would go there that may, 0 to 1.
    Place {
        zone: u8,
        open: f64,
    },
    /// It wants to know whether a server answers.
    Doubted {
        server: ServerId,
    },
    Tick,
}
