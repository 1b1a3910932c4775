//! Requests: one JSON object per line, and the checks that a proxy makes before it obeys one.

use crate::{AdminCommand, PROTOCOL_VERSION, wire};
use serde::{Deserialize, Serialize};

/// Longest drain that may be asked for: one day.
const MAX_DEADLINE_MS: u64 = 24 * 60 * 60 * 1000;

/// Slowest and fastest pace that may be asked for, in sessions per second.
const MIN_MIGRATIONS_PER_SECOND: f64 = 0.1;
const MAX_MIGRATIONS_PER_SECOND: f64 = 100_000.0;

/// One request to a proxy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "wire::Request", into = "wire::Request")]
pub struct AdminRequest {
    /// [`PROTOCOL_VERSION`] of the client.
    pub version: u32,
    /// What is asked for.
    pub command: AdminCommand,
    /// For a drain: milliseconds from now by which the proxy is to be empty, at most one day. Absent, the operator's file
    /// decides.
    pub deadline_ms: Option<u64>,
    /// For a drain: sessions to migrate per second, 0.1 to 100000. Absent, the proxy goes by the capacity that endpoints
    /// report.
    pub migrations_per_second: Option<f64>,
    /// Sent by the leader of a rolling restart; absent, the request is an operator's own.
    pub leader: Option<LeaderToken>,
}

/// The fencing token of a leader: a proxy uses it to reject orders that arrive after the leader lost its lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaderToken {
    /// The leader's term; terms grow with each new leader.
    pub term: u64,
    /// The incarnation of the proxy process that the order is for, from [`ProxyStatus`](crate::ProxyStatus).
    pub incarnation: u64,
    /// When the order expires, in microseconds of that process's clock.
    pub expires_at_us: u64,
}

/// Why a proxy rejects a request. The text is the `error` of the reply.
#[derive(Debug, thiserror::Error)]
pub enum AdminRequestError {
    /// The line is not a JSON object with a request's fields.
    #[error("not a request: {0}")]
    Malformed(#[source] serde_json::Error),
    /// The client has another protocol version.
    #[error("v is {version}; this proxy speaks {PROTOCOL_VERSION}")]
    UnsupportedVersion {
        /// The client's version.
        version: u32,
    },
    /// `deadline_ms` or `pace` beside a command other than `drain`.
    #[error("deadline_ms and pace go with drain")]
    DrainOptionsWithoutDrain,
    /// A command that only a leader may send, without its token.
    #[error("hear and leave are an owner's: owner is missing")]
    MissingLeaderToken,
    /// `deadline_ms` is over one day.
    #[error("deadline_ms is more than a day")]
    DeadlineTooLong,
    /// `pace` is not within its bounds.
    #[error(
        "pace is out of range; allowed are {MIN_MIGRATIONS_PER_SECOND} to {MAX_MIGRATIONS_PER_SECOND} a second"
    )]
    MigrationRateOutOfRange,
}

impl AdminRequest {
    /// A request for a command, with nothing optional set.
    pub fn new(command: AdminCommand) -> AdminRequest {
        AdminRequest {
            version: PROTOCOL_VERSION,
            command,
            deadline_ms: None,
            migrations_per_second: None,
            leader: None,
        }
    }

    /// Reads a request from a line, with or without its line feed, and checks it.
    ///
    /// # Errors
    ///
    /// The first check that fails; see [`AdminRequestError`].
    pub fn parse(line: &[u8]) -> Result<AdminRequest, AdminRequestError> {
        let request: AdminRequest =
            serde_json::from_slice(line).map_err(AdminRequestError::Malformed)?;
        request.check()?;
        Ok(request)
    }

    fn check(&self) -> Result<(), AdminRequestError> {
        if self.version != PROTOCOL_VERSION {
            return Err(AdminRequestError::UnsupportedVersion {
                version: self.version,
            });
        }
        let has_drain_options = self.deadline_ms.is_some() || self.migrations_per_second.is_some();
        if has_drain_options && self.command != AdminCommand::Drain {
            return Err(AdminRequestError::DrainOptionsWithoutDrain);
        }
        let needs_leader = matches!(
            self.command,
            AdminCommand::AnnounceTerm | AdminCommand::Shutdown
        );
        if needs_leader && self.leader.is_none() {
            return Err(AdminRequestError::MissingLeaderToken);
        }
        if self.deadline_ms.is_some_and(|ms| ms > MAX_DEADLINE_MS) {
            return Err(AdminRequestError::DeadlineTooLong);
        }
        let allowed = MIN_MIGRATIONS_PER_SECOND..=MAX_MIGRATIONS_PER_SECOND;
        if let Some(pace) = self.migrations_per_second
            && !allowed.contains(&pace)
        {
            return Err(AdminRequestError::MigrationRateOutOfRange);
        }
        Ok(())
    }
}
