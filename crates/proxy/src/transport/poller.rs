//! Level-triggered readiness of sockets, through epoll.

use super::slots::SlotKey;
use rustix::buffer::spare_capacity;
use rustix::event::epoll::{self, CreateFlags, EventData, EventFlags};
use rustix::fd::{AsFd, OwnedFd};
use rustix::io::{Errno, Result};
use std::fmt;
use std::time::Duration;

/// Most events returned by one wait, which bounds one iteration of the event loop. The next wait returns the rest.
const MAX_EVENTS: usize = 256;
/// Longest single wait, in seconds, so that the timeout fits the system call's argument.
const MAX_WAIT_SECONDS: u64 = 3600;

/// Which readiness of a socket is reported. Errors and hang-ups are always reported.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Interest {
    /// Report when the socket can be read from.
    pub read: bool,
    /// Report when the socket can be written to.
    pub write: bool,
}

impl Interest {
    /// Readability only.
    pub const READ: Interest = Interest {
        read: true,
        write: false,
    };
    /// Writability only.
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
    /// The key under which the socket was registered.
    pub key: SlotKey,
    /// The socket can be written to.
    pub writable: bool,
    /// The connection failed, or both of its directions are closed (`EPOLLERR`, `EPOLLHUP`).
    pub failed: bool,
}

/// An epoll instance.
pub struct Poller {
    epoll: OwnedFd,
    /// Buffer into which the kernel writes events; kept so that a wait does not allocate.
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
    /// Creates an instance without sockets. Fails if the process has no free file descriptor.
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

    /// Changes the interest of a registered socket.
    pub fn modify(&self, fd: impl AsFd, key: SlotKey, interest: Interest) -> Result<()> {
        let data = EventData::new_u64(key.to_bits());
        epoll::modify(&self.epoll, fd, data, interest.flags())
    }

    /// Removes a socket. Closing the socket removes it too, unless another process holds a duplicate of it.
    pub fn remove(&self, fd: impl AsFd) {
        let _ = epoll::delete(&self.epoll, fd);
    }

    /// Waits until a socket is ready, `timeout` has passed or a signal arrives, and replaces the contents of `ready` by
    /// the ready sockets.
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
    // The struct is packed, so references to its fields would be unaligned: they are copied first.
    let flags = event.flags;
    let data = event.data;
    ReadyEvent {
        key: SlotKey::from_bits(data.u64()),
        writable: flags.contains(EventFlags::OUT),
        failed: flags.intersects(EventFlags::ERR | EventFlags::HUP),
    }
}
