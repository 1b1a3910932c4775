//! What the router keeps for each connection and session, and what its timers are for.

use super::probe::ProbeStage;
use crate::transport::{BufferedStream, SlotKey};
use asterramp_placement::event::{Outcome, ServerId, ServerLoad};
use std::ops::Range;
use std::time::Duration;

/// What a deadline is for; each has one deadline at most.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum TimerKey {
    /// The placement engine's tick.
    Tick,
    /// The watch on discovery.
    DiscoveryWatch,
    /// The client listener opens, at the start or after a pause.
    Listener,
    /// The next step of a warm start.
    WarmStart,
    /// The next step of a drain or shutdown.
    Shutdown,
    /// The next offers to the process that replaces this one.
    HotRestart,
    /// A connection: what it is waited for depends on its role.
    Connection(SlotKey),
    /// A session: its dial times out, or one side of it is silent.
    Session(SlotKey),
}

/// What a descriptor that the router watches is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionRole {
    /// Where clients connect.
    Listener,
    /// Can be read once a signal has come.
    SignalPipe,
    /// Where operators' commands connect.
    AdminSocketListener,
    /// An operator's command.
    AdminSocket,
    /// Where HTTP calls connect.
    AdminHttpListener,
    /// Where a process that replaces this one connects.
    HotRestartListener,
    /// The process that replaces this one, or that this one replaces.
    HotRestart,
    /// An HTTP call.
    AdminHttp {
        /// Its answer has been written.
        answered: bool,
    },
    /// A client that has not said yet what it wants.
    PendingClient,
    /// The client of a session.
    Client(SlotKey),
    /// The server of a session.
    Server(SlotKey),
    /// A health check's connection.
    Probe(ServerId, ProbeStage),
    /// The watch on discovery.
    DiscoveryWatch,
    /// Another proxy that is asked what it knows.
    Peer,
    /// Has been sent its last text and is given a moment to close.
    Lingering {
        /// Bytes that it has sent since.
        discarded: usize,
    },
}

/// A descriptor that the router watches.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) stream: BufferedStream,
    pub(super) role: ConnectionRole,
    /// How many bytes at the front of `stream.inbound` are complete, checked lines.
    pub(super) complete_len: usize,
    /// When some of them were last forwarded, or the connection came, or was sent its last text.
    pub(super) last_activity: Duration,
}

/// The connections of a session and what was read on them, which the router keeps beside the session's state machine.
#[derive(Debug)]
pub(super) struct SessionConnections {
    pub(super) client: Option<SlotKey>,
    pub(super) server: Option<SlotKey>,
    /// The client's request line, as it came.
    pub(super) request_line: Vec<u8>,
    /// Where in `request_line` the client's wait stands, in milliseconds.
    pub(super) wait_range: Range<usize>,
    /// Uid of the server that held the session before this proxy started, if one did.
    pub(super) restored_server_uid: Option<String>,
    /// The client has sent a line that the server has not answered yet.
    pub(super) awaiting_response: bool,
    /// The server has left that line for longer than a live one does.
    pub(super) response_overdue: bool,
    /// What the server announced of the session's end.
    pub(super) announced_end: Option<(Outcome, ServerLoad)>,
}

impl SessionConnections {
    /// The client's id of the session; empty if the request line holds none.
    pub(super) fn id(&self) -> &str {
        std::str::from_utf8(&self.request_line)
            .ok()
            .and_then(|line| line.split(' ').nth(1))
            .unwrap_or_default()
    }
}
