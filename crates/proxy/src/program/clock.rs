//! The clock of the process, which does not go back.

use std::time::{Duration, Instant, SystemTime};

/// Unix time that never goes back: the system clock is read once, and the monotonic clock advances it.
#[derive(Debug)]
pub struct Clock {
    start: Instant,
    unix_time_at_start: Duration,
}

impl Clock {
    /// Starts the clock.
    pub fn start() -> Clock {
        let unix_time = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        Clock {
            start: Instant::now(),
            // A system clock before 1970 counts as 1970, since only differences of times matter here.
            unix_time_at_start: unix_time.unwrap_or_default(),
        }
    }

    /// Time since the Unix epoch by this clock.
    pub fn now(&self) -> Duration {
        self.unix_time_at_start + self.start.elapsed()
    }
}
