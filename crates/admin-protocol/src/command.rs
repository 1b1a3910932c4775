//! The commands, and which of them are also HTTP calls.

use serde::{Deserialize, Serialize};

/// What a request asks a proxy to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AdminCommand {
    /// Report the proxy's [`ProxyStatus`](crate::ProxyStatus).
    Status,
    /// Start a drain, or change the deadline and pace of the drain in progress.
    Drain,
    /// Stop the drain and take new sessions again.
    Undrain,
    /// Record the term of a new leader, so that orders of earlier leaders are rejected. Needs a
    /// [`LeaderToken`](crate::LeaderToken).
    #[serde(rename = "hear")]
    AnnounceTerm,
    /// Shut down gracefully, as on SIGTERM. Needs a [`LeaderToken`](crate::LeaderToken).
    #[serde(rename = "leave")]
    Shutdown,
    /// Succeed only if the proxy takes new sessions.
    #[serde(rename = "ready")]
    Readiness,
    /// Report the metrics as text for scrapers.
    Stats,
}

impl AdminCommand {
    /// The command's name in the log line of a rejected leader's order.
    pub fn log_name(self) -> &'static str {
        match self {
            AdminCommand::Status => "Status",
            AdminCommand::Drain => "Drain",
            AdminCommand::Undrain => "Undrain",
            AdminCommand::AnnounceTerm => "Hear",
            AdminCommand::Shutdown => "Leave",
            AdminCommand::Readiness => "Ready",
            AdminCommand::Stats => "Stats",
        }
    }
}

/// An HTTP call and the command that it stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpRoute {
    /// The only method that the path allows.
    pub method: &'static str,
    /// The path, without a query.
    pub path: &'static str,
    /// What the call does.
    pub command: AdminCommand,
}

/// All HTTP calls of operators.
pub const HTTP_ROUTES: &[HttpRoute] = &[
    HttpRoute {
        method: "GET",
        path: "/ops/readiness",
        command: AdminCommand::Readiness,
    },
    HttpRoute {
        method: "GET",
        path: "/ops/stats",
        command: AdminCommand::Stats,
    },
    HttpRoute {
        method: "POST",
        path: "/ops/drain/start",
        command: AdminCommand::Drain,
    },
    HttpRoute {
        method: "POST",
        path: "/ops/drain/stop",
        command: AdminCommand::Undrain,
    },
];
