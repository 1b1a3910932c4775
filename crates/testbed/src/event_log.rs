//! What the actors of a run saw, each event with the time at which it was seen. The judge reads nothing else.
//!
//! Reports print events by their debug text, so the names of variants and fields are part of the reports' form.

use crate::link_ends::LinkEnds;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// A session as a client names it, new with every connection.
pub type SessionId = u64;

/// How a connection ended, as one side saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// In good order.
    Fin,
    /// By a reset.
    Reset,
}

/// What a client was answered to a session's line.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientAnswer {
    /// The session is up.
    Up,
    /// Rejected, with the time after which to come again, in milliseconds, if that was said.
    Busy(Option<u64>),
    /// Anything else.
    Failed,
}

/// What a host replied to a dial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostReply {
    /// The session is up.
    Up,
    /// Rejected; it has taken no effect.
    Busy,
    /// Failed.
    Err,
    /// An open session ends as its client wished.
    Bye,
    /// An open session has to go elsewhere.
    Move,
}

/// A host's state as discovery lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostState {
    /// It takes sessions.
    Ready,
    /// It takes no new sessions, and moves those that it has.
    Draining,
    /// It does not come back.
    Gone,
}

/// What an actor saw.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A client wrote its session's complete line, and waits so long.
    Asked {
        /// The session.
        id: SessionId,
        /// The proxy's number.
        proxy: u16,
        /// Where its client is.
        place: u8,
        /// The listener's index in the scenario.
        listener: u8,
        /// How long its client waits.
        wait: Duration,
        /// Connected before the run.
        inherited: bool,
    },
    /// A client got its answer.
    Answered {
        /// The session.
        id: SessionId,
        /// What it was.
        answer: ClientAnswer,
    },
    /// The client's connection ended before an answer.
    Cut {
        /// The session.
        id: SessionId,
        /// How it ended.
        end: ConnectionEnd,
    },
    /// The client left before an answer.
    Left {
        /// The session.
        id: SessionId,
    },
    /// An open connection ended at its client; announced (`told`) by `MOVE` or `BYE`.
    Ended {
        /// The session.
        id: SessionId,
        /// How it ended.
        end: ConnectionEnd,
        /// `MOVE` or `BYE` came before.
        told: bool,
    },
    /// A client read what no host said: behind a final answer, out of order, or no line at all.
    Garbled {
        /// The session.
        id: SessionId,
        /// What was read.
        line: String,
    },
    /// A line took over a second from one side to the other.
    Held {
        /// The session.
        id: SessionId,
        /// How long it took.
        span: Duration,
    },
    /// A host has read a session's complete line.
    Dialled {
        /// The session.
        id: SessionId,
        /// The host's number.
        host: u16,
        /// The dial's number.
        dial: u32,
        /// Connected before the run.
        inherited: bool,
    },
    /// When that line came, an earlier dial of the session was under way beyond doubt: its connection had no end in
    /// the kernel, so it does not only look so because actors record the same moment a little apart.
    StillOut {
        /// The session.
        id: SessionId,
        /// The host's number.
        host: u16,
        /// The dial's number.
        dial: u32,
        /// The number of the earlier dial.
        earlier: u32,
    },
    /// A host replied to a dial.
    Replied {
        /// The session.
        id: SessionId,
        /// The dial's number.
        dial: u32,
        /// What it was.
        reply: HostReply,
    },
    /// A dial's connection is over at its host.
    DialOver {
        /// The session.
        id: SessionId,
        /// The dial's number.
        dial: u32,
        /// The host ended it.
        by_host: bool,
    },
    /// A host read what is not a line of the protocol.
    Unread {
        /// The host's number.
        host: u16,
        /// What was read.
        line: String,
    },
    /// Discovery has written a host's state to a proxy.
    HostListed {
        /// The proxy's number.
        proxy: u16,
        /// The host's number.
        host: u16,
        /// The state that was written.
        standing: HostState,
        /// When the host last started.
        started: Option<Duration>,
    },
    /// A host's process has ended.
    HostDown {
        /// The host's number.
        host: u16,
    },
    /// A host's process has started again.
    HostUp {
        /// The host's number.
        host: u16,
    },
    /// A host that was warming up collapsed under these sessions.
    Collapsed {
        /// The host's number.
        host: u16,
        /// When the host last started, on the event log's clock.
        started: Option<Duration>,
        /// The sessions that reached it of late.
        by: Vec<SessionId>,
    },
    /// A proxy's process has started.
    ProxyStarted {
        /// The proxy's number.
        proxy: u16,
    },
    /// SIGKILL is about to be sent; the kernel lets clients in until it has taken the process down.
    ProxyKilled {
        /// The proxy's number.
        proxy: u16,
    },
    /// A killed proxy has been reaped; nothing that comes from now on is its own.
    ProxyDead {
        /// The proxy's number.
        proxy: u16,
    },
    /// A proxy was stopped (`stops`), or let run again.
    ProxyStalls {
        /// The proxy's number.
        proxy: u16,
        /// Stopped, or else let run again.
        stops: bool,
    },
    /// A link has a fault, or none any more.
    WayFails {
        /// Which link.
        ends: LinkEnds,
        /// It has a fault.
        fails: bool,
    },
    /// A proxy was told to shut down by SIGTERM.
    ProxyLeaves {
        /// The proxy's number.
        proxy: u16,
    },
    /// A proxy's process has ended by itself, or as it was told (`asked`).
    ProxyExited {
        /// The proxy's number.
        proxy: u16,
        /// Its exit code, if it was not killed.
        code: Option<i32>,
        /// It had been told to shut down.
        asked: bool,
    },
    /// A second process was started beside one that serves; it may serve from now on.
    ProxyBeside {
        /// The proxy's number.
        proxy: u16,
    },
    /// One that replaced another serves alone from now on, and its figures are asked for.
    ProxyServes {
        /// The proxy's number.
        proxy: u16,
    },
    /// How long a second process took until it was ready, if it ever was.
    Replaced {
        /// The proxy's number.
        proxy: u16,
        /// The time, if it became ready.
        yes: Option<Duration>,
    },
    /// An operator asked for figures: sessions brought up, and those in flight; `None` is no answer, or no figures.
    Called {
        /// The proxy's number.
        proxy: u16,
        /// How long the answer took.
        took: Duration,
        /// Sessions brought up so far, and those in flight, as the proxy told them.
        figures: Option<(u64, u64)>,
    },
    /// A fault of the plan begins or ends.
    Fault {
        /// Which fault, and whom it strikes.
        what: String,
        /// It begins, or else ends.
        begins: bool,
    },
    /// A misbehaving client got the error or close that it is owed in time, or not, or was even served.
    MisbehavingClient {
        /// What it does.
        sort: &'static str,
        /// It got what it is owed in time.
        owed: bool,
        /// It was served as if it behaved.
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

/// An event with its time.
#[derive(Clone, Debug)]
pub struct LoggedEvent {
    /// When it was seen, on the event log's clock.
    pub at: Duration,
    /// What was seen.
    pub seen: Event,
}

/// All events of a run, in the order in which they were recorded, on one clock.
#[derive(Debug)]
pub struct EventLog {
    start: Instant,
    /// Unix time of the start, for discovery.
    pub unix_start: Duration,
    events: Mutex<Vec<LoggedEvent>>,
}

impl Default for EventLog {
    fn default() -> Self {
        let unix_start = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .unwrap_or_default();
        EventLog {
            start: Instant::now(),
            unix_start,
            events: Mutex::default(),
        }
    }
}

impl EventLog {
    /// The time since the log began.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Records what was seen now.
    pub fn record(&self, seen: Event) {
        self.events().push(LoggedEvent {
            at: self.now(),
            seen,
        });
    }

    /// Takes all events out.
    pub fn take(&self) -> Vec<LoggedEvent> {
        std::mem::take(&mut *self.events())
    }

    fn events(&self) -> std::sync::MutexGuard<'_, Vec<LoggedEvent>> {
        self.events
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
    }
}
