//! Requests: one JSON object per line, and the checks that a proxy makes before it runs the command.

use crate::{AdminCommand, PROTOCOL_VERSION, wire};
use serde::{Deserialize, Serialize};

/// Longest time to a drain's deadline that a request may set, in milliseconds: one day.
const MAX_DEADLINE_MS: u64 = 24 * 60 * 60 * 1000;

/// Lowest rate of migration that a request may set.
const MIN_MIGRATIONS_PER_SECOND: f64 = 0.1;

/// Highest rate of migration that a request may set.
const MAX_MIGRATIONS_PER_SECOND: f64 = 100_000.0;

/// One request to a proxy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "wire::Request", into = "wire::Request")]
pub struct AdminRequest {
    /// [`PROTOCOL_VERSION`] of the client.
    pub version: u32,
    /// The command to run.
    pub command: AdminCommand,
    /// Only for a drain: time in which it has to be finished, in milliseconds, at most one day. `None` uses the default
    /// of the operator's file.
    pub deadline_ms: Option<u64>,
    /// Only for a drain: sessions to migrate per second, 0.1 to 100000. `None` derives the rate from the spare capacity
    /// that endpoints report.
    pub migrations_per_second: Option<f64>,
    /// Fencing token, if the leader of a rolling restart sends the request; `None` if an operator sends it.
    pub leader: Option<LeaderToken>,
}

/// Fencing token of a leader, by which a proxy rejects commands that arrive after the leader has lost its lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaderToken {
    /// The leader's term; each new leader has a higher one.
    pub term: u64,
    /// Incarnation of the proxy process for which the command is meant, from [`ProxyStatus`](crate::ProxyStatus).
    pub incarnation: u64,
    /// When the command expires, in microseconds of that process's clock.
    pub expires_at_us: u64,
}

/// Why a proxy rejects a request. The text becomes the `error` of the reply.
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
    /// `deadline_ms` or `pace` is set with another command than `drain`.
    #[error("deadline_ms and pace go with drain")]
    DrainOptionsWithoutDrain,
    /// A command that only a leader may send has no fencing token.
    #[error("hear and leave are an owner's: owner is missing")]
    MissingLeaderToken,
    /// `deadline_ms` is longer than one day.
    #[error("deadline_ms is more than a day")]
    DeadlineTooLong,
    /// `pace` is out of bounds.
    #[error(
        "pace is out of range; allowed are {MIN_MIGRATIONS_PER_SECOND} to {MAX_MIGRATIONS_PER_SECOND} a second"
    )]
    MigrationRateOutOfRange,
}

impl AdminRequest {
    /// A request without any optional field.
    pub fn new(command: AdminCommand) -> AdminRequest {
        AdminRequest {
            version: PROTOCOL_VERSION,
            command,
            deadline_ms: None,
            migrations_per_second: None,
            leader: None,
        }
    }

    /// Parses a line, with or without its line feed, and checks the request.
    ///
    /// # Errors
    ///
    /// The [`AdminRequestError`] of the first check that fails.
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
        if let Some(rate) = self.migrations_per_second
            && !allowed.contains(&rate)
        {
            return Err(AdminRequestError::MigrationRateOutOfRange);
        }
        Ok(())
    }
}
