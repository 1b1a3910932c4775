//! Requests to admit a session, and rejections.

use std::time::Duration;

/// A request to admit a session.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Index of the listener that the client connected to.
    pub listener: u8,
    /// Index of the session's tenant.
    pub tenant: u16,
    /// The client had a session before, and was disconnected or migrated.
    pub reconnecting: bool,
    /// The client says that an earlier attempt of its failed.
    pub failed_before: bool,
}

/// Why a request is rejected: what would have to differ for it to be admitted at this moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// There is no capacity for anyone.
    NoCapacity,
    /// Other listeners have more priority weight for the cost of their sessions.
    LowPriority,
    /// Its tenant is over its quota.
    OverQuota,
    /// An earlier attempt failed.
    FailedBefore,
    /// The client had no session before.
    NewSession,
}

impl RejectReason {
    /// All reasons, in the order of [`RejectionCounts`].
    pub const ALL: [RejectReason; 5] = [
        RejectReason::NoCapacity,
        RejectReason::LowPriority,
        RejectReason::OverQuota,
        RejectReason::FailedBefore,
        RejectReason::NewSession,
    ];

    /// Name in logs, metrics and the admin socket's status. Operators' tools read these names, so they stay as they are.
    pub fn name(self) -> &'static str {
        match self {
            RejectReason::NoCapacity => "room",
            RejectReason::LowPriority => "worth",
            RejectReason::OverQuota => "over-portion",
            RejectReason::FailedBefore => "failed-before",
            RejectReason::NewSession => "new",
        }
    }
}

/// Rejections by reason, in the order of [`RejectReason::ALL`].
pub type RejectionCounts = [u64; RejectReason::ALL.len()];

/// A request was not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Why.
    pub reason: RejectReason,
    /// After how long the client is to retry; zero where no time may be given.
    pub retry_after: Duration,
}
