//! The log: lines on standard error, written at a limited rate and without blocking the event loop.

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::fmt;
use std::io::Write;
use std::time::Duration;

/// Most log lines in one second of the clock: enough for an incident, and few enough for the platform to store.
const MAX_LINES_PER_SECOND: u32 = 400;

/// The process's log, with its rate limit.
#[derive(Debug, Default)]
pub struct Log {
    /// The second of the clock in which the last line was offered.
    current_second: u64,
    /// Lines written in `current_second`.
    lines_in_second: u32,
    /// Lines dropped since the start.
    dropped: u64,
    /// Whether a write has failed because the reader of standard error is gone; nothing more is written then.
    write_failed: bool,
}

impl Log {
    /// Writes a line. If the rate limit is reached or the reader is too slow, the line is dropped and counted.
    pub fn write(&mut self, now: Duration, line: fmt::Arguments<'_>) {
        if !self.admits_line(now) {
            self.dropped += 1;
            return;
        }
        self.lines_in_second += 1;
        let written = writeln!(std::io::stderr().lock(), "{line}");
        // If the reader is gone, logging stops and the proxy continues.
        self.write_failed |= written.is_err();
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
        !self.write_failed && is_stderr_writable() && self.lines_in_second < MAX_LINES_PER_SECOND
    }
}

/// Whether standard error accepts bytes now. A write to a reader that is too slow would block the event loop, and with
/// it every client.
fn is_stderr_writable() -> bool {
    let stderr = std::io::stderr();
    let mut fds = [PollFd::new(&stderr, PollFlags::OUT)];
    let polled = poll(&mut fds, Some(&Timespec::default()));
    polled.is_ok() && fds[0].revents() == PollFlags::OUT
}
