//! What a proxy does.

use crate::event::{ServerId, SessionId};
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    Dial {
        session: SessionId,
        server: ServerId,
        timeout: Duration,
        /// The line's last byte has to be written by then, or nothing of it may be.
        write_within: Duration,
    },
    Cancel {
        session: SessionId,
        dial: u8,
    },
    Reject {
        session: SessionId,
        retry_after: Duration,
    },
    Fail {
        session: SessionId,
    },
    /// Ends an open connection in good order; its client comes again.
    Migrate {
        session: SessionId,
    },
    Probe {
        server: ServerId,
    },
    /// Asks the roster for changes from now on.
    PollEndpoints,
    /// Asks for a `Tick`.
    SetTimer {
        after: Duration,
    },
    /// Nothing more will be said of this session; its index may serve another.
    Forget {
        session: SessionId,
    },
}
