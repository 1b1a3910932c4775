//! The log: lines on standard error, at a bounded rate, and never at the price of serving.

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::time::Duration;

/// Lines a second, over any second.
const RATE: u32 = 400;

#[derive(Debug, Default)]
pub struct Log {
    second: u64,
    lines: u32,
    pub dropped: u64,
    broken: bool,
}

impl Log {
    /// Whether a line may be written now: within the rate, and to a reader that keeps up. One that does not
    /// would block the loop, and every client with it.
    pub fn allows(&mut self, now: Duration) -> bool {
        if self.second != now.as_secs() {
            (self.second, self.lines) = (now.as_secs(), 0);
        }
        let error = std::io::stderr();
        let mut fds = [PollFd::new(&error, PollFlags::OUT)];
        let ready = poll(&mut fds, Some(&Timespec::default())).is_ok();
        let taken = ready && fds[0].revents() == PollFlags::OUT;
        let allowed = !self.broken && taken && self.lines < RATE;
        self.lines += u32::from(allowed);
        self.dropped += u64::from(!allowed);
        allowed
    }

    /// A reader that is gone ends the log, not the proxy.
    pub fn wrote(&mut self, well: bool) {
        self.broken |= !well;
    }
}

/// The one way to the log.
#[macro_export]
macro_rules! log_line {
    ($log:expr, $now:expr, $($text:tt)*) => {
        if $log.allows($now) {
            let write = std::panic::AssertUnwindSafe(|| eprintln!($($text)*));
            $log.wrote(std::panic::catch_unwind(write).is_ok());
        }
    };
}
