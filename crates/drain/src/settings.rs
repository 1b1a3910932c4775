//! What an operator sets, and the times of a shutdown.

use std::time::Duration;

/// How a drain goes; the table `drain` of the operator's file.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DrainSettings {
    /// How long the front may go on sending new sessions after the proxy stopped answering its pings, at most.
    pub max_closing_time: Duration,
    /// Without a new session for so long, the front has stopped sending.
    pub quiet_period: Duration,
    /// Sessions migrated per second, at most, unless the deadline needs more.
    pub max_migrations_per_second: f64,
    /// How long a proxy serves after a drain was cancelled before another one should be drained.
    pub time_before_next_drain: Duration,
}

impl Default for DrainSettings {
    fn default() -> Self {
        DrainSettings {
            max_closing_time: Duration::from_secs(3),
            quiet_period: Duration::from_secs(1),
            max_migrations_per_second: 200.0,
            time_before_next_drain: Duration::from_secs(10),
        }
    }
}

/// When a proxy that shuts down does what. The fields are in the order of time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShutdownSchedule {
    /// Until then the front goes on sending, and everything is served as before.
    pub serve_until: Duration,
    /// When the first open session is migrated.
    pub migrate_from: Duration,
    /// When the last one is.
    pub migrate_until: Duration,
    /// When sessions that are still being set up are rejected.
    pub reject_pending_at: Duration,
    /// When the listener is closed, if the proxy is not empty before.
    pub close_listener_at: Duration,
    /// When the process ends, whoever is left.
    pub exit_at: Duration,
}
