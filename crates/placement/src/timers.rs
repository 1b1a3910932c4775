//! The engine's timers, in the order of their due times.

use crate::event::SessionId;
use std::collections::BTreeSet;
use std::time::Duration;

/// Work to do at a given time. Of timers due at the same time, the variant listed first is handled first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// The session's wait for probes is over.
    ProbeWaitExpired(SessionId),
    /// Poll the endpoint list again after a failure.
    PollEndpoints,
    /// Recompute the averages over all servers.
    RefreshAverages,
}

/// Pending timers with their due times since the clock began.
#[derive(Clone, Debug, Default)]
pub(crate) struct TimerQueue {
    timers: BTreeSet<(Duration, Timer)>,
}

impl TimerQueue {
    /// Adds a timer.
    pub(crate) fn schedule(&mut self, at: Duration, timer: Timer) {
        self.timers.insert((at, timer));
    }

    /// Adds a timer in place of all equal ones.
    pub(crate) fn reschedule(&mut self, at: Duration, timer: Timer) {
        self.timers.retain(|(_, other)| *other != timer);
        self.schedule(at, timer);
    }

    /// Removes and returns the earliest timer that is due.
    pub(crate) fn pop_due(&mut self, now: Duration) -> Option<Timer> {
        let first = *self.timers.first()?;
        if first.0 > now {
            return None;
        }
        self.timers.pop_first();
        Some(first.1)
    }
}
