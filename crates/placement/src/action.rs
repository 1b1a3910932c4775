//! Output of the placement engine: the actions that its caller carries out.

use crate::event::{ServerId, SessionId};
use std::time::Duration;

/// An action for the caller. Actions must be carried out in the order in which the engine returns them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PlacementAction {
    /// Open the session at a server. The attempts of a session are counted from 0, in the order of their dials.
    Dial {
        /// The session to open.
        session: SessionId,
        /// The server to open it at.
        server: ServerId,
        /// How long the attempt may take.
        timeout: Duration,
        /// How long the attempt may take to write the last byte of the request. Nothing may be written after that.
        write_timeout: Duration,
    },
    /// Cancel an attempt whose client has left.
    Cancel {
        /// The attempt's session.
        session: SessionId,
        /// The attempt's number, from 0.
        attempt: u8,
    },
    /// Reject the session, which the client may safely request again. A session's final answer.
    Reject {
        /// The session to answer.
        session: SessionId,
        /// How long the client should wait before it tries again; zero where no time may be given.
        retry_after: Duration,
    },
    /// End the session without saying whether it was executed. A session's final answer.
    Fail {
        /// The session to end.
        session: SessionId,
    },
    /// Close an open connection gracefully, so that its client reconnects.
    Migrate {
        /// The session to end.
        session: SessionId,
    },
    /// Ask a server whether it is healthy and how loaded it is.
    Probe {
        /// The server to probe.
        server: ServerId,
    },
    /// Poll discovery for the endpoint list and then for its changes.
    PollEndpoints,
    /// Pass [`PlacementEvent::Tick`](crate::PlacementEvent::Tick) to the engine later.
    SetTimer {
        /// Time until the tick.
        after: Duration,
    },
    /// The session is over: no further action names it, and its id may be reused.
    ReleaseSession {
        /// The session that is over.
        session: SessionId,
    },
}
