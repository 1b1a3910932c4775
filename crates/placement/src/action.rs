//! What the engine asks its caller to do.

use crate::event::{ServerId, SessionId};
use std::time::Duration;

/// One thing to do. Actions are carried out in the order in which the engine gives them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PlacementAction {
    /// Open the session at a server. The attempts of a session are counted from 0, in the order of their dials.
    Dial {
        /// The session to open.
        session: SessionId,
        /// Where to open it.
        server: ServerId,
        /// How long the attempt may take.
        timeout: Duration,
        /// How long it may take until the last byte of the request is written. After that nothing of it may be.
        write_timeout: Duration,
    },
    /// Cancel an attempt whose client has left.
    Cancel {
        /// The attempt's session.
        session: SessionId,
        /// The attempt's number.
        attempt: u8,
    },
    /// Answer the client that nothing was done for it. A session's final answer.
    Reject {
        /// The session to answer.
        session: SessionId,
        /// When the client may come again; zero where no time may be given.
        retry_after: Duration,
    },
    /// End the session without saying whether anything was done for it. A session's final answer.
    Fail {
        /// The session to end.
        session: SessionId,
    },
    /// End an open connection in good order; its client connects again.
    Migrate {
        /// The session to end.
        session: SessionId,
    },
    /// Ask a server whether it works and how loaded it is.
    Probe {
        /// The server to ask.
        server: ServerId,
    },
    /// Ask discovery for the endpoint list and its changes from now on.
    PollEndpoints,
    /// Hand in [`PlacementEvent::Tick`](crate::PlacementEvent::Tick) later.
    SetTimer {
        /// How much later.
        after: Duration,
    },
    /// The session is over: no further action names it, and its id may be used for another.
    ReleaseSession {
        /// The session that is over.
        session: SessionId,
    },
}
