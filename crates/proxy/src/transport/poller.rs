//! Level-triggered readiness of sockets, through epoll.

use super::slots::SlotKey;
use rustix::buffer::spare_capacity;
use rustix::event::epoll::{self, CreateFlags, EventData, EventFlags};
use rustix::fd::{AsFd, OwnedFd};
use rustix::io::{Errno, Result};
use std::fmt;
use std::time::Duration;

/// Most events taken by one wait, so that one turn of the event loop is bounded. Those left over come with the next.
const MAX_EVENTS: usize = 256;
/// Longest single wait, in seconds; keeps the time within what the system call takes.
const MAX_WAIT_SECONDS: u64 = 3600;

/// What a socket is watched for. Errors and hang-ups are reported always.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Interest {
    /// Whether it can be read from.
    pub read: bool,
    /// Whether it can be written to.
    pub write: bool,
}

impl Interest {
    /// Watch for input only.
    pub const READ: Interest = Interest {
        read: true,
        write: false,
    };
    /// Watch for room for output only.
    pub const WRITE: Interest = Interest {
        read: false,
        write: true,
    };

    fn flags(self) -> EventFlags {
        let mut flags = EventFlags::empty();
        flags.set(EventFlags::IN, self.read);
        flags.set(EventFlags::OUT, self.write);
        flags
    }
}

/// A registered socket that is ready.
#[derive(Clone, Copy, Debug)]
pub struct ReadyEvent {
    /// The key that it was registered under.
    pub key: SlotKey,
    /// It can be written to.
    pub writable: bool,
    /// The connection broke, or ended both ways.
    pub failed: bool,
}

/// An epoll instance.
pub struct Poller {
    epoll: OwnedFd,
    /// Where the kernel writes events; kept so that a wait allocates nothing.
    events: Vec<epoll::Event>,
}

impl fmt::Debug for Poller {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Poller")
            .field("epoll", &self.epoll)
            .finish_non_exhaustive()
    }
}

impl Poller {
    /// Creates an instance without sockets. Fails where the process has no descriptor left.
    pub fn new() -> Result<Poller> {
        Ok(Poller {
            epoll: epoll::create(CreateFlags::CLOEXEC)?,
            events: Vec::with_capacity(MAX_EVENTS),
        })
    }

    /// Registers a socket under a key.
    pub fn add(&self, fd: impl AsFd, key: SlotKey, interest: Interest) -> Result<()> {
        let data = EventData::new_u64(key.to_bits());
        epoll::add(&self.epoll, fd, data, interest.flags())
    }

    /// Changes what a registered socket is watched for.
    pub fn modify(&self, fd: impl AsFd, key: SlotKey, interest: Interest) -> Result<()> {
        let data = EventData::new_u64(key.to_bits());
        epoll::modify(&self.epoll, fd, data, interest.flags())
    }

    /// Removes a socket. Closing it does that too, unless another process still holds a duplicate.
    pub fn remove(&self, fd: impl AsFd) {
        let _ = epoll::delete(&self.epoll, fd);
    }

    /// Waits until a socket is ready, `timeout` has passed or a signal comes, and puts the ready sockets into `ready`
    /// in place of what was there.
    pub fn wait(&mut self, timeout: Duration, ready: &mut Vec<ReadyEvent>) -> Result<()> {
        let timeout = rustix::event::Timespec {
            tv_sec: timeout.as_secs().min(MAX_WAIT_SECONDS) as i64,
            tv_nsec: i64::from(timeout.subsec_nanos()),
        };
        self.events.clear();
        match epoll::wait(
            &self.epoll,
            spare_capacity(&mut self.events),
            Some(&timeout),
        ) {
            Ok(_) | Err(Errno::INTR) => {}
            Err(error) => return Err(error),
        }
        ready.clear();
        ready.extend(self.events.iter().map(ready_event));
        Ok(())
    }
}

fn ready_event(event: &epoll::Event) -> ReadyEvent {
    // The event is packed in memory, so its fields are copied out before they are used.
    let flags = event.flags;
    let data = event.data;
    ReadyEvent {
        key: SlotKey::from_bits(data.u64()),
        writable: flags.contains(EventFlags::OUT),
        failed: flags.intersects(EventFlags::ERR | EventFlags::HUP),
    }
}
