//! One clock: Unix time at the start, advanced by one that cannot be set back.

use std::time::{Duration, Instant, SystemTime};

#[derive(Debug)]
pub struct Clock {
    start: Instant,
    unix: Duration,
}

impl Clock {
    pub fn start() -> Clock {
        let unix = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            start: Instant::now(),
            unix,
        }
    }

    pub fn now(&self) -> Duration {
        self.unix + self.start.elapsed()
    }
}
