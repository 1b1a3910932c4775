//! What the session state machine is in, what it is given and what it asks for.

use crate::routing::events::ReasonCode;
use asterramp_placement::PlacementEvent;
use asterramp_placement::event::{Outcome, ServerId, ServerLoad};
use std::time::Duration;

/// Where a session stands. A *dial* is one attempt to open it at one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SessionState {
    /// Not open, and no dial is under way.
    Idle,
    /// The dial's connection is being set up.
    Connecting,
    /// The connection is up and the request line is being written.
    SendingRequest,
    /// The request's last byte is written: the server may act on it from now on.
    AwaitingResponse,
    /// The server accepted; lines are forwarded both ways.
    Open,
    /// The client has its final answer, or the open connection has ended.
    Ended,
}

/// Something that happens to a session.
///
/// Inputs about a dial carry its number, so that a late one about an earlier dial is recognised and ignored.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SessionInput {
    /// The placement engine chose a server, or, for a restored session, the server that held it is known.
    Dial {
        /// The server to connect to.
        server: ServerId,
        /// How long the dial may take until the server has accepted.
        timeout: Duration,
        /// How long until the request line must be under way; later, none of it is written.
        write_within: Duration,
    },
    /// The engine cancels the dial that is under way.
    Cancel,
    /// The engine rejects the session.
    Reject {
        /// When the client should come back.
        retry_after: Duration,
    },
    /// The engine gives the session up.
    Fail,
    /// The engine wants an open session moved to another server.
    Migrate,
    /// There was no socket for the dial.
    NoSocket {
        /// Number of the dial.
        dial: u8,
    },
    /// The dial's connection was refused or never came up.
    Unreachable {
        /// Number of the dial.
        dial: u8,
    },
    /// The dial's connection is up.
    Connected {
        /// Number of the dial.
        dial: u8,
    },
    /// The dial's request line is written to its last byte.
    RequestWritten {
        /// Number of the dial.
        dial: u8,
    },
    /// The dial's server accepted the session.
    ServerAccepted {
        /// Number of the dial.
        dial: u8,
    },
    /// The dial's server answered with something that ends the dial.
    ServerDeclined {
        /// Number of the dial.
        dial: u8,
        /// What the answer says about the dial.
        outcome: Outcome,
        /// Load that the server reported with it.
        load: ServerLoad,
    },
    /// The dial's connection ended before any answer.
    ServerDisconnected {
        /// Number of the dial.
        dial: u8,
    },
    /// The deadline last set by [`SessionEffect::SetDeadline`] has passed.
    DeadlineReached,
    /// The client ended its side.
    ClientLeft,
    /// The client sent something before it was answered, which the protocol forbids.
    ClientSentEarlyData,
    /// The open connection is closed on both sides.
    SessionClosed {
        /// How it ended.
        outcome: Outcome,
        /// Load that the server reported last.
        load: ServerLoad,
    },
    /// The proxy exits and answers whoever still waits.
    ShutdownCutoff,
    /// The proxy answers whoever still waits, but serves on: the engine must hear of it, or it would go on
    /// reserving capacity for the session.
    DrainCutoff,
}

/// The final answer that a client is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalResponse {
    /// Rejected for now; the client should come back after so long.
    Rejected(Duration),
    /// Not brought up, for this reason.
    Failed(ReasonCode),
}

/// Something that the session's driver has to do, in the order given.
#[derive(Clone, Debug)]
pub enum SessionEffect {
    /// Begin the dial's connection.
    Connect {
        /// The server to connect to.
        server: ServerId,
    },
    /// Write the request line.
    SendRequest {
        /// How long this dial may still wait for its answer, to stand in the line in place of the client's own
        /// wait; `None` leaves the line as the client wrote it.
        wait: Option<Duration>,
    },
    /// Close the dial's connection, before anything else is done for the session.
    CloseServer,
    /// Give [`SessionInput::DeadlineReached`] at that time; `None` withdraws the deadline.
    SetDeadline(Option<Duration>),
    /// Send the client its final answer and close its connection.
    AnswerClient(FinalResponse),
    /// The client has left: close its connection.
    DropClient,
    /// Forward lines both ways from now on.
    StartForwarding,
    /// Ask the client of an open connection to come again, and end both sides.
    Migrate,
    /// Look up the server that held a restored session, and dial it again.
    Restore,
    /// Take the session out of the table.
    Forget,
    /// Log a line about the session, and count it.
    Log(ReasonCode),
    /// Count, without a line.
    Count(ReasonCode),
    /// Give the placement engine an event.
    Notify(PlacementEvent),
}
