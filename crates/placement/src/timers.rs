//! What the engine has to do at a later time, in order of time.

use crate::event::SessionId;
use std::collections::BTreeSet;
use std::time::Duration;

/// A reason to act at a given time. Of those due at the same time, the first in this list comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// A session has waited long enough for probes.
    ProbeWaitExpired(SessionId),
    /// The endpoint list is polled again after a failure.
    PollEndpoints,
    /// The averages over all servers are computed anew.
    RefreshAverages,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct TimerQueue {
    timers: BTreeSet<(Duration, Timer)>,
}

impl TimerQueue {
    pub(crate) fn schedule(&mut self, at: Duration, timer: Timer) {
        self.timers.insert((at, timer));
    }

    /// Schedules the timer and drops all others of the same value.
    pub(crate) fn reschedule(&mut self, at: Duration, timer: Timer) {
        self.timers.retain(|(_, other)| *other != timer);
        self.schedule(at, timer);
    }

    /// Takes out the earliest timer that is due.
    pub(crate) fn pop_due(&mut self, now: Duration) -> Option<Timer> {
        let first = *self.timers.first()?;
        if first.0 > now {
            return None;
        }
        self.timers.pop_first();
        Some(first.1)
    }
}
