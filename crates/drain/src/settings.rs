//! The operator's settings of a drain, and the schedule of a shutdown.

use std::time::Duration;

/// Settings of a drain, from the table `drain` of the operator's configuration file.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DrainSettings {
    /// Longest time that the drain waits for the front load balancer to stop sending new sessions after the proxy
    /// stopped answering its pings. Open sessions are migrated only then.
    pub max_closing_time: Duration,
    /// Once no new session has arrived for this time, the front load balancer is taken to have stopped sending.
    pub quiet_period: Duration,
    /// Highest rate of migration in sessions per second; exceeded only if the deadline requires it.
    pub max_migrations_per_second: f64,
    /// Time that a proxy serves after a cancelled drain before another proxy should be drained.
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

/// Times of the steps of a shutdown, since the caller's start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShutdownSchedule {
    /// Until then the front load balancer may still send sessions, and all sessions are served as before.
    pub serve_until: Duration,
    /// When the first open session is migrated.
    pub migrate_from: Duration,
    /// When the last open session is migrated.
    pub migrate_until: Duration,
    /// When sessions that are still being set up are rejected.
    pub reject_pending_at: Duration,
    /// When the listener is closed, unless the proxy has become empty and exited before.
    pub close_listener_at: Duration,
    /// When the process ends, even if clients are still connected.
    pub exit_at: Duration,
}

impl ShutdownSchedule {
    /// The schedule of a shutdown during a drain that has to be finished by `deadline` and to reject pending sessions at
    /// `reject_pending_at`; `None` if it has done so. If the deadline is before the last migration of this schedule,
    /// sessions are migrated from the beginning and until then: the drain has notified the front load balancer.
    pub(crate) fn during_drain(
        self,
        deadline: Duration,
        reject_pending_at: Option<Duration>,
    ) -> ShutdownSchedule {
        let migrate_from = if deadline < self.migrate_until {
            Duration::ZERO
        } else {
            self.migrate_from
        };
        let reject_pending_at = reject_pending_at.unwrap_or(self.reject_pending_at);
        ShutdownSchedule {
            migrate_from,
            migrate_until: self.migrate_until.min(deadline),
            reject_pending_at: self.reject_pending_at.min(reject_pending_at),
            ..self
        }
    }
}
