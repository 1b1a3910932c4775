//! The data that the router keeps for each connection and session, and the keys of its timers.

use super::probe::ProbeStage;
use crate::transport::{BufferedStream, SlotKey};
use asterramp_placement::event::{Outcome, ServerId, ServerLoad};
use std::ops::Range;
use std::time::Duration;

/// What a deadline is for; each key has at most one deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum TimerKey {
    /// The placement engine's [`Tick`](asterramp_placement::PlacementEvent::Tick).
    Tick,
    /// The watch on discovery: it is silent for too long, or is to be opened again.
    DiscoveryWatch,
    /// The client listener opens, at the start or after a pause.
    Listener,
    /// The next step of a warm start.
    WarmStart,
    /// The next step of a drain or shutdown.
    Shutdown,
    /// The next offers of connections to the successor.
    HotRestart,
    /// A connection; what times out depends on its role.
    Connection(SlotKey),
    /// A session: its dial times out, or a side of the open session does not respond, read or close in time.
    Session(SlotKey),
}

/// The role of a descriptor that the router watches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionRole {
    /// The listener of clients.
    Listener,
    /// The pipe that becomes readable when a signal arrives.
    SignalPipe,
    /// The listener of the admin socket.
    AdminSocketListener,
    /// A connection at the admin socket, which carries an operator's command.
    AdminSocket,
    /// The listener of admin HTTP calls.
    AdminHttpListener,
    /// The listener at which a successor of this process connects.
    HotRestartListener,
    /// The connection to the successor or predecessor of this process.
    HotRestart,
    /// An admin HTTP call.
    AdminHttp {
        /// Whether the call has been answered.
        answered: bool,
    },
    /// A client that has not requested a session yet.
    PendingClient,
    /// The client of a session.
    Client(SlotKey),
    /// The server of a session.
    Server(SlotKey),
    /// The connection for probes of this server.
    Probe(ServerId, ProbeStage),
    /// The watch on discovery.
    DiscoveryWatch,
    /// Another proxy that is asked for the endpoints that it knows.
    Peer,
    /// A connection that has been sent its last message and is given time to close.
    Lingering {
        /// Bytes that it has sent since, which were dropped.
        discarded: usize,
    },
}

/// A descriptor that the router watches, with its buffers and role.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) stream: BufferedStream,
    pub(super) role: ConnectionRole,
    /// Length in bytes of the complete, checked lines at the front of `stream.inbound`, which are to be forwarded.
    pub(super) complete_len: usize,
    /// When lines from this connection were last forwarded; before, when it was registered; while it lingers, when its
    /// last message was sent.
    pub(super) last_activity: Duration,
}

/// The connections of a session and the protocol state on them, which the router keeps beside the session's state
/// machine.
#[derive(Debug)]
pub(super) struct SessionConnections {
    pub(super) client: Option<SlotKey>,
    pub(super) server: Option<SlotKey>,
    /// The client's request line as received, with its end.
    pub(super) request_line: Vec<u8>,
    /// The range of `request_line` that holds the client's wait, a number of milliseconds.
    pub(super) wait_range: Range<usize>,
    /// Uid of the server that held the session before this proxy started; `None` for a session that is new.
    pub(super) restored_server_uid: Option<String>,
    /// The client has sent a line and the server has sent none since.
    pub(super) awaiting_response: bool,
    /// The response to that line is overdue; if it still does not come, the client is migrated.
    pub(super) response_overdue: bool,
    /// Outcome and load report in the line with which the server announced the session's end, once it has.
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
