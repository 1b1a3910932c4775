//! What the peers saw, each record with the time it was seen. The judge reads nothing else.

use crate::link::LinkEnds;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// A session as a client names it, new with every connection.
pub type SessionId = u64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    Fin,
    Reset,
}

#[derive(Clone, Debug, PartialEq)]
pub enum ClientAnswer {
    Up,
    Busy(Option<u64>),
    Failed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostReply {
    Up,
    Busy,
    Err,
    Bye,
    Move,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostState {
    Ready,
    Draining,
    Gone,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A client wrote its session's line whole, and waits so long.
    Asked {
        id: SessionId,
        proxy: u16,
        /// Where its client stands.
        place: u8,
        listener: u8,
        wait: Duration,
        /// Connected before the run.
        inherited: bool,
    },
    Answered {
        id: SessionId,
        answer: ClientAnswer,
    },
    /// The client's connection ended before an answer.
    Cut {
        id: SessionId,
        end: ConnectionEnd,
    },
    /// The client left before an answer.
    Left {
        id: SessionId,
    },
    /// An open connection ended at its client; `told` by `MOVE` or `BYE`.
    Ended {
        id: SessionId,
        end: ConnectionEnd,
        told: bool,
    },
    /// Something came that no host said: behind a final answer, out of order, or not at all a line.
    Garbled {
        id: SessionId,
        line: String,
    },
    /// A line took over a second from one side to the other.
    Held {
        id: SessionId,
        span: Duration,
    },
    /// A host has read a session's line whole.
    Dialled {
        id: SessionId,
        host: u16,
        dial: u32,
        inherited: bool,
    },
    /// When that line came, an earlier dial of the session was out beyond doubt: its connection had no end in the
    /// kernel, so nothing that the peers of a run note a little apart can have made it look so.
    StillOut {
        id: SessionId,
        host: u16,
        dial: u32,
        earlier: u32,
    },
    Replied {
        id: SessionId,
        dial: u32,
        reply: HostReply,
    },
    /// A dial's connection is over at its host.
    DialOver {
        id: SessionId,
        dial: u32,
        by_host: bool,
    },
    /// A host read what is no line of the protocol.
    Unread {
        host: u16,
        line: String,
    },
    /// Discovery has written a host's standing to a proxy.
    HostListed {
        proxy: u16,
        host: u16,
        standing: HostState,
        /// When the host last started.
        started: Option<Duration>,
    },
    HostDown {
        host: u16,
    },
    HostUp {
        host: u16,
    },
    /// A cold host was pushed over by these sessions.
    Collapsed {
        host: u16,
        started: Option<Duration>,
        by: Vec<SessionId>,
    },
    ProxyStarted {
        proxy: u16,
    },
    /// SIGKILL is about to be sent; the kernel lets clients in until it has taken the process down.
    ProxyKilled {
        proxy: u16,
    },
    /// A killed proxy has been reaped; nothing that comes from now on is its own.
    ProxyDead {
        proxy: u16,
    },
    /// Stopped, and let run again.
    ProxyStalls {
        proxy: u16,
        stops: bool,
    },
    /// A way between two fails, or is whole again.
    WayFails {
        ends: LinkEnds,
        fails: bool,
    },
    /// SIGTERM.
    ProxyLeaves {
        proxy: u16,
    },
    ProxyExited {
        proxy: u16,
        code: Option<i32>,
        asked: bool,
    },
    /// A second process was started beside one that serves; it may serve from now on.
    ProxyBeside {
        proxy: u16,
    },
    /// One that replaced another serves alone from now on, and its figures are asked for.
    ProxyServes {
        proxy: u16,
    },
    /// How long a second process took until its yes, if it said it.
    Replaced {
        proxy: u16,
        yes: Option<Duration>,
    },
    /// An operator asked for figures: sessions brought up, and those in flight; `None` is no answer, or no figures.
    Called {
        proxy: u16,
        took: Duration,
        figures: Option<(u64, u64)>,
    },
    Fault {
        what: String,
        begins: bool,
    },
    /// A bad client got its error or close in time, or not, or was even served.
    MisbehavingClient {
        sort: &'static str,
        owed: bool,
        served: bool,
    },
}

impl Event {
    /// The session that it is about.
    pub fn id(&self) -> Option<SessionId> {
        use Event::*;
        match self {
            Asked { id, .. } | Answered { id, .. } | Cut { id, .. } | Left { id } => Some(*id),
            Ended { id, .. } | Garbled { id, .. } | Held { id, .. } => Some(*id),
            Dialled { id, .. } | StillOut { id, .. } => Some(*id),
            Replied { id, .. } | DialOver { id, .. } => Some(*id),
            _ => None,
        }
    }
}

#[derive(Clone, Debug)]
pub struct LoggedEvent {
    pub at: Duration,
    pub seen: Event,
}

/// All records of a run, in the order they were made, on one clock.
#[derive(Debug)]
pub struct EventLog {
    start: Instant,
    /// Unix time of the start, for discovery.
    pub unix: Duration,
    records: Mutex<Vec<LoggedEvent>>,
}

impl Default for EventLog {
    fn default() -> Self {
        let unix = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .unwrap_or_default();
        EventLog {
            start: Instant::now(),
            unix,
            records: Mutex::default(),
        }
    }
}

impl EventLog {
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn put(&self, seen: Event) {
        self.records().push(LoggedEvent {
            at: self.now(),
            seen,
        });
    }

    pub fn take(&self) -> Vec<LoggedEvent> {
        std::mem::take(&mut *self.records())
    }

    fn records(&self) -> std::sync::MutexGuard<'_, Vec<LoggedEvent>> {
        self.records
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
    }
}
