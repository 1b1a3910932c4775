//! The process's clock.

use std::time::{Duration, Instant, SystemTime};

/// Unix time at the start, advanced by a clock that cannot be set back.
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
            // A system clock before 1970 is as good as any other: only differences matter here.
            unix_time_at_start: unix_time.unwrap_or_default(),
        }
    }

    /// Time since 1970 by this clock.
    pub fn now(&self) -> Duration {
        self.unix_time_at_start + self.start.elapsed()
    }
}
