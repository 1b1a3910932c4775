//! The commands of the admin socket, and the HTTP routes for some of them.

use serde::{Deserialize, Serialize};

/// Command to a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AdminCommand {
    /// Report the proxy's [`ProxyStatus`](crate::ProxyStatus).
    Status,
    /// Start a drain, or change the deadline and rate of the drain in progress.
    Drain,
    /// Cancel the drain, and accept new sessions again.
    Undrain,
    /// Record the term of a new leader, so that commands of earlier leaders are rejected. Needs a
    /// [`LeaderToken`](crate::LeaderToken).
    #[serde(rename = "hear")]
    AnnounceTerm,
    /// Shut down gracefully, as on SIGTERM. Needs a [`LeaderToken`](crate::LeaderToken).
    #[serde(rename = "leave")]
    Shutdown,
    /// Report whether the proxy accepts new sessions.
    #[serde(rename = "ready")]
    Readiness,
    /// Report the metrics in the text format for scrapers.
    Stats,
}

impl AdminCommand {
    /// The command's name in the log line about a rejected command of a leader.
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

/// An HTTP method and path, and the command that a call of them runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpRoute {
    /// The only method that is allowed for the path.
    pub method: &'static str,
    /// Path of the request, without a query.
    pub path: &'static str,
    /// The command that the call runs.
    pub command: AdminCommand,
}

/// All HTTP routes for operators.
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
