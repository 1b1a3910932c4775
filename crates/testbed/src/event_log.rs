//! The events that the actors of a run recorded, each with its time. The judge has no other source.
//!
//! Reports print events by their `Debug` output, so the names of variants and fields are part of the report format.

use crate::link_ends::LinkEnds;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// The id of a session, chosen by its client; each connection of a client is a session of its own.
pub type SessionId = u64;

/// How a connection ended, as observed at one side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The peer closed it (FIN).
    Fin,
    /// It was reset (RST).
    Reset,
}

/// The answer that a client received to its session request.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientAnswer {
    /// The session is up.
    Up,
    /// Rejected, with the Retry-After in milliseconds if the answer had one.
    Busy(Option<u64>),
    /// Any other answer.
    Failed,
}

/// A reply of a host on a dial's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostReply {
    /// The session is up.
    Up,
    /// The session is rejected, and has had no effect.
    Busy,
    /// The session failed.
    Err,
    /// An open session ends at its client's request.
    Bye,
    /// An open session has to move to another host.
    Move,
}

/// A host's state as discovery lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostState {
    /// It accepts new sessions.
    Ready,
    /// It accepts no new sessions, and moves its open ones to other hosts.
    Draining,
    /// It has been removed.
    Gone,
}

/// One event, as the actor that observed it records it.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A client has written its complete session request.
    Asked {
        /// The session.
        id: SessionId,
        /// The proxy's number.
        proxy: u16,
        /// The index of the client's zone in the scenario.
        place: u8,
        /// The listener's index in the scenario.
        listener: u8,
        /// How long the client waits for an answer.
        wait: Duration,
        /// The client counts as connected before the run.
        inherited: bool,
    },
    /// A client received its answer.
    Answered {
        /// The session.
        id: SessionId,
        /// The answer.
        answer: ClientAnswer,
    },
    /// A client's connection ended before the answer.
    Cut {
        /// The session.
        id: SessionId,
        /// How it ended.
        end: ConnectionEnd,
    },
    /// A client gave up before it received an answer.
    Left {
        /// The session.
        id: SessionId,
    },
    /// A client saw the connection of its open session end.
    Ended {
        /// The session.
        id: SessionId,
        /// How it ended.
        end: ConnectionEnd,
        /// The host had announced it by `MOVE` or `BYE`.
        told: bool,
    },
    /// A client read something that no host sent: after a final answer, out of order, or not a valid line.
    Garbled {
        /// The session.
        id: SessionId,
        /// What was read.
        line: String,
    },
    /// A client's message took more than one second to reach its host.
    Held {
        /// The session.
        id: SessionId,
        /// How long the message took.
        span: Duration,
    },
    /// A host has read a complete session request.
    Dialled {
        /// The session.
        id: SessionId,
        /// The host's number.
        host: u16,
        /// The dial's number.
        dial: u32,
        /// The client counts as connected before the run.
        inherited: bool,
    },
    /// When the host read the request of a dial, an earlier dial of the session was still open: the kernel had seen no
    /// end of its connection. The order of events alone does not prove this, since actors record the same moment at
    /// slightly different times.
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
    /// A host has sent a reply on a dial.
    Replied {
        /// The session.
        id: SessionId,
        /// The dial's number.
        dial: u32,
        /// The reply.
        reply: HostReply,
    },
    /// A host has seen a dial's connection end, or has ended it.
    DialOver {
        /// The session.
        id: SessionId,
        /// The dial's number.
        dial: u32,
        /// The host, or a fault of the link, ended it, not the proxy.
        by_host: bool,
    },
    /// A host read a line that does not belong to the protocol.
    Unread {
        /// The host's number.
        host: u16,
        /// What was read.
        line: String,
    },
    /// Discovery has sent a host's state to a proxy.
    HostListed {
        /// The proxy's number.
        proxy: u16,
        /// The host's number.
        host: u16,
        /// The state that was sent.
        standing: HostState,
        /// When the host last started, on the event log's clock; `None`: before the run.
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
    /// A host collapsed because it was overloaded while it warmed up.
    Collapsed {
        /// The host's number.
        host: u16,
        /// When the host last started, on the event log's clock; `None`: before the run.
        started: Option<Duration>,
        /// The sessions that reached the host within the overload window.
        by: Vec<SessionId>,
    },
    /// A proxy's process has started.
    ProxyStarted {
        /// The proxy's number.
        proxy: u16,
    },
    /// SIGKILL is about to be sent to a proxy; the kernel still accepts connections for it until the process has ended.
    ProxyKilled {
        /// The proxy's number.
        proxy: u16,
    },
    /// A killed proxy has been reaped; it causes no later event.
    ProxyDead {
        /// The proxy's number.
        proxy: u16,
    },
    /// A proxy was suspended (SIGSTOP) or resumed (SIGCONT).
    ProxyStalls {
        /// The proxy's number.
        proxy: u16,
        /// Whether it was suspended; `false`: resumed.
        stops: bool,
    },
    /// A link has a fault, or has none any more.
    WayFails {
        /// The link.
        ends: LinkEnds,
        /// Whether it has a fault.
        fails: bool,
    },
    /// A proxy was sent SIGTERM to shut down.
    ProxyLeaves {
        /// The proxy's number.
        proxy: u16,
    },
    /// A proxy's process has exited.
    ProxyExited {
        /// The proxy's number.
        proxy: u16,
        /// The exit code; `None` if a signal ended the process.
        code: Option<i32>,
        /// Whether it had been asked to shut down.
        asked: bool,
    },
    /// A successor was started for a hot restart; either process may serve from now on.
    ProxyBeside {
        /// The proxy's number.
        proxy: u16,
    },
    /// The successor of a hot restart serves alone from now on, and metrics are requested from it.
    ProxyServes {
        /// The proxy's number.
        proxy: u16,
    },
    /// The outcome of a hot restart.
    Replaced {
        /// The proxy's number.
        proxy: u16,
        /// How long the successor took to become ready; `None` if it never did.
        yes: Option<Duration>,
    },
    /// An operator requested a proxy's metrics.
    Called {
        /// The proxy's number.
        proxy: u16,
        /// How long the answer took.
        took: Duration,
        /// Sessions established so far and sessions in flight, as the proxy reports them; `None` without a valid
        /// answer.
        figures: Option<(u64, u64)>,
    },
    /// A fault of the plan begins or ends.
    Fault {
        /// The fault's kind and its targets.
        what: String,
        /// Whether it begins; `false`: it ends.
        begins: bool,
    },
    /// How a proxy treated a misbehaving client.
    MisbehavingClient {
        /// The kind of misbehaviour.
        sort: &'static str,
        /// Whether the client got the error or the close that it must get, in time.
        owed: bool,
        /// Whether the client was served as if it had kept to the protocol.
        served: bool,
    },
}

impl Event {
    /// The session that the event concerns; `None` if it concerns no single session.
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
    /// When it was recorded, on the event log's clock.
    pub at: Duration,
    /// The event.
    pub seen: Event,
}

/// All events of a run in the order in which they were recorded, with times on one monotonic clock.
#[derive(Debug)]
pub struct EventLog {
    start: Instant,
    /// The Unix time at which the log's clock started; discovery reports start times of hosts as Unix times.
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
    /// The time on the log's clock: since the log was created.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Records an event with the present time.
    pub fn record(&self, seen: Event) {
        self.events().push(LoggedEvent {
            at: self.now(),
            seen,
        });
    }

    /// Removes and returns all events.
    pub fn take(&self) -> Vec<LoggedEvent> {
        std::mem::take(&mut *self.events())
    }

    fn events(&self) -> std::sync::MutexGuard<'_, Vec<LoggedEvent>> {
        self.events
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
    }
}
