//! States, inputs and effects of the session state machine.

use crate::routing::events::ReasonCode;
use asterramp_placement::PlacementEvent;
use asterramp_placement::event::{Outcome, ServerId, ServerLoad};
use std::time::Duration;

/// The state of a session. A *dial* is the connection of one attempt to open the session at one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SessionState {
    /// Not open, and no dial is under way.
    Idle,
    /// The dial's connection is being established.
    Connecting,
    /// The connection is established and the request line is being written.
    SendingRequest,
    /// The request line is written to its last byte: from now on the server may act on it.
    AwaitingResponse,
    /// The server accepted; lines are forwarded both ways.
    Open,
    /// The client has been sent its final response, or the open session has ended.
    Ended,
}

/// Something that happens to a session.
///
/// An input about a dial carries the dial's number, so that a late input about an earlier dial is ignored.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SessionInput {
    /// The placement engine chose a server; or, for a restored session, the server that held it was found.
    Dial {
        /// The server to connect to.
        server: ServerId,
        /// Timeout of the dial, until the server has accepted.
        timeout: Duration,
        /// How long after now writing the request line may still begin; later, none of it is written.
        write_timeout: Duration,
    },
    /// The engine cancels the current dial.
    Cancel,
    /// The engine rejects the session.
    Reject {
        /// How long the client should wait before it retries.
        retry_after: Duration,
    },
    /// The engine gives the session up.
    Fail,
    /// The engine wants an open session moved to another server.
    Migrate,
    /// No socket could be opened for the dial, or the server to dial is not known.
    NoSocket {
        /// Number of the dial.
        dial: u8,
    },
    /// The dial's connection was refused or not established.
    Unreachable {
        /// Number of the dial.
        dial: u8,
    },
    /// The dial's connection is established.
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
    /// The dial's server sent a response that ends the dial.
    ServerDeclined {
        /// Number of the dial.
        dial: u8,
        /// The outcome that the response implies.
        outcome: Outcome,
        /// Load that the server reported in the response.
        load: ServerLoad,
    },
    /// The dial's connection ended before any response.
    ServerDisconnected {
        /// Number of the dial.
        dial: u8,
    },
    /// The deadline last set by [`SessionEffect::SetDeadline`] has passed.
    DeadlineReached,
    /// The client closed its side of the connection.
    ClientLeft,
    /// The client sent data before it had a response, which the protocol forbids.
    ClientSentEarlyData,
    /// The open session is closed on both sides.
    SessionClosed {
        /// How it ended.
        outcome: Outcome,
        /// Load that the server reported as the session ended.
        load: ServerLoad,
    },
    /// The proxy exits: the client, if it still waits, is sent a failure.
    ShutdownCutoff,
    /// A drain ends the wait of the client with a failure, while the proxy keeps running: the engine must be notified,
    /// or it would keep capacity reserved for the session.
    DrainCutoff,
}

/// The final response to a client whose session was not opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalResponse {
    /// Rejected for now; the client should retry after this time.
    Rejected(Duration),
    /// Not opened, for this reason.
    Failed(ReasonCode),
}

/// Something that the session's driver has to do; effects are carried out in the order given.
#[derive(Clone, Debug)]
pub enum SessionEffect {
    /// Start to connect to the server of the dial.
    Connect {
        /// The server to connect to.
        server: ServerId,
    },
    /// Write the request line.
    SendRequest {
        /// How long this dial may still wait for its response, written into the line in place of the client's own
        /// wait; `None` leaves the line as the client wrote it.
        wait: Option<Duration>,
    },
    /// Close the dial's connection, before anything else is done for the session.
    CloseServer,
    /// Deliver [`SessionInput::DeadlineReached`] at that time, in place of any earlier deadline; `None` clears it.
    SetDeadline(Option<Duration>),
    /// Send the client its final response and close its connection.
    AnswerClient(FinalResponse),
    /// The client has left: close its connection.
    DropClient,
    /// The session is open: forward lines both ways from now on.
    StartForwarding,
    /// Ask the client of an open session to reconnect, and close both sides.
    Migrate,
    /// Look up the server that held a restored session, and dial it again.
    Restore,
    /// Remove the session from the table.
    Forget,
    /// Log and count an event of the session.
    Log(ReasonCode),
    /// Count an event of the session without logging it.
    Count(ReasonCode),
    /// Give this event to the placement engine.
    Notify(PlacementEvent),
}
