//! Level-triggered epoll.

use super::slots::SlotKey;
use rustix::buffer::spare_capacity;
use rustix::event::epoll::{self, CreateFlags, EventData, EventFlags};
use rustix::fd::{AsFd, OwnedFd};
use rustix::io::{Errno, Result};
use std::time::Duration;

/// Most events taken in one turn.
const TURN: usize = 256;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Interest {
    pub read: bool,
    pub write: bool,
}

impl Interest {
    fn flags(self) -> EventFlags {
        let mut flags = EventFlags::empty();
        flags.set(EventFlags::IN, self.read);
        flags.set(EventFlags::OUT, self.write);
        flags
    }
}

#[derive(Clone, Copy, Debug)]
pub struct ReadyEvent {
    pub key: SlotKey,
    pub writable: bool,
    /// The connection broke, or ended both ways.
    pub failed: bool,
}

pub struct Poller {
    epoll: OwnedFd,
    events: Vec<epoll::Event>,
}

impl Poller {
    pub fn new() -> Result<Poller> {
        Ok(Poller {
            epoll: epoll::create(CreateFlags::CLOEXEC)?,
            events: Vec::with_capacity(TURN),
        })
    }

    pub fn add(&self, fd: impl AsFd, key: SlotKey, want: Interest) -> Result<()> {
        epoll::add(
            &self.epoll,
            fd,
            EventData::new_u64(key.to_bits()),
            want.flags(),
        )
    }

    pub fn change(&self, fd: impl AsFd, key: SlotKey, want: Interest) -> Result<()> {
        epoll::modify(
            &self.epoll,
            fd,
            EventData::new_u64(key.to_bits()),
            want.flags(),
        )
    }

    /// Forgets a socket. A close does that too, unless another process has it yet.
    pub fn forget(&self, fd: impl AsFd) {
        let _ = epoll::delete(&self.epoll, fd);
    }

    /// Waits until something is ready, the time is up or a signal comes.
    pub fn wait(&mut self, up_to: Duration, ready: &mut Vec<ReadyEvent>) -> Result<()> {
        let time = rustix::event::Timespec {
            tv_sec: up_to.as_secs().min(3600) as i64,
            tv_nsec: i64::from(up_to.subsec_nanos()),
        };
        self.events.clear();
        match epoll::wait(&self.epoll, spare_capacity(&mut self.events), Some(&time)) {
            Ok(_) | Err(Errno::INTR) => {}
            Err(e) => return Err(e),
        }
        ready.clear();
        ready.extend(self.events.iter().map(|event| {
            let (flags, data) = (event.flags, event.data);
            ReadyEvent {
                key: SlotKey::from_bits(data.u64()),
                writable: flags.contains(EventFlags::OUT),
                failed: flags.intersects(EventFlags::ERR | EventFlags::HUP),
            }
        }));
        Ok(())
    }
}
