//! Requests to admit a session, and their rejections.

use std::time::Duration;

/// A request to admit a session.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Index of the listener that the client connected to.
    pub listener: u8,
    /// Index of the client's tenant.
    pub tenant: u16,
    /// Whether the client had a session before and was disconnected or migrated.
    pub reconnecting: bool,
    /// Whether the client reports that an earlier attempt failed.
    pub failed_before: bool,
}

/// Why a request is rejected: the property without which it would have been admitted at this moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// There is no capacity, even for requests that rank first.
    NoCapacity,
    /// Other listeners have more priority weight for the cost of their sessions.
    LowPriority,
    /// The request's tenant is over its quota.
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

/// The rejection of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Why the request was rejected.
    pub reason: RejectReason,
    /// How long the client is to wait before it retries; zero if no time may be given.
    pub retry_after: Duration,
}
