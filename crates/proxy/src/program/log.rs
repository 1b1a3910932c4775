//! The log: lines on standard error, at a bounded rate, that never block the event loop.

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::fmt;
use std::io::Write;
use std::time::Duration;

/// Lines in any one second of the clock: enough for an incident, and few enough for the platform to keep.
const MAX_LINES_PER_SECOND: u32 = 400;

/// The process's log.
#[derive(Debug, Default)]
pub struct Log {
    current_second: u64,
    lines_in_second: u32,
    dropped: u64,
    /// Whether the reader is gone.
    broken: bool,
}

impl Log {
    /// Writes a line, unless the rate is used up or the reader does not keep up; then it is dropped and counted.
    pub fn write(&mut self, now: Duration, line: fmt::Arguments<'_>) {
        if !self.admits_line(now) {
            self.dropped += 1;
            return;
        }
        self.lines_in_second += 1;
        let written = writeln!(std::io::stderr().lock(), "{line}");
        // A reader that is gone ends the log, not the proxy.
        self.broken |= written.is_err();
    }

    /// Lines dropped since the start.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    fn admits_line(&mut self, now: Duration) -> bool {
        if self.current_second != now.as_secs() {
            self.current_second = now.as_secs();
            self.lines_in_second = 0;
        }
        !self.broken && reader_keeps_up() && self.lines_in_second < MAX_LINES_PER_SECOND
    }
}

/// Whether standard error takes bytes now. A reader that does not keep up would block the event loop, and every client with
/// it.
fn reader_keeps_up() -> bool {
    let stderr = std::io::stderr();
    let mut fds = [PollFd::new(&stderr, PollFlags::OUT)];
    let polled = poll(&mut fds, Some(&Timespec::default()));
    polled.is_ok() && fds[0].revents() == PollFlags::OUT
}
