//! What a proxy does.

use crate::event::{ServerId, SessId};
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    Dial {
        sess: SessId,
        server: ServerId,
        time_out: Duration,
        /// The line's last byte has to be written by then, or nothing of it may be.
        within: Duration,
    },
    CallOff {
        sess: SessId,
        dial: u8,
    },
    Refuse {
        sess: SessId,
        come_back: Duration,
    },
    TearDown {
        sess: SessId,
    },
    /// Ends an open connection in good order; its client comes again.
    Move {
        sess: SessId,
    },
    Probe {
        server: ServerId,
    },
    /// Asks the roster for changes from now on.
    Subscribe,
    /// Asks for a `Tick`.
    Wake {
        after: Duration,
    },
    /// Nothing more will be said of this session; its index may serve another.
    Forget {
        sess: SessId,
    },
}
