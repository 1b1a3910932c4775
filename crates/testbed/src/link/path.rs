//! One link: its ends, its relay's address, and the faults that it has.

use super::faults::LinkFaults;
use super::relayed_dials::RelayedDials;
use crate::link_ends::LinkEnds;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::watch;

/// One fault that a link has now.
#[derive(Clone, Copy, Debug)]
struct ActiveFault {
    /// Its index in the plan.
    number: usize,
    faults: LinkFaults,
    /// Connections that were open when it began are reset once it is over: the other side has forgotten them.
    half_open: bool,
}

/// A link between two processes, with a relay in it.
#[derive(Debug)]
pub struct Link {
    /// Whom it joins.
    pub ends: LinkEnds,
    /// Where its relay is dialled.
    pub address: SocketAddr,
    /// Where the relay connects to.
    pub(super) target: SocketAddr,
    pub(super) connections: Arc<RelayedDials>,
    active_faults: Mutex<Vec<ActiveFault>>,
    faults: watch::Sender<LinkFaults>,
    /// Counts the ends of faults that leave connections half open: all from before one are dead.
    half_open_ends: watch::Sender<u32>,
}

impl Link {
    pub(super) fn new(
        ends: LinkEnds,
        address: SocketAddr,
        target: SocketAddr,
        connections: Arc<RelayedDials>,
    ) -> Link {
        Link {
            ends,
            address,
            target,
            connections,
            active_faults: Mutex::default(),
            faults: watch::channel(LinkFaults::default()).0,
            half_open_ends: watch::channel(0).0,
        }
    }

    /// A fault, known by its index in the plan, begins on this link.
    pub fn begin_fault(&self, number: usize, faults: LinkFaults, half_open: bool) {
        self.active_faults().push(ActiveFault {
            number,
            faults,
            half_open,
        });
        self.combine_faults();
    }

    /// It is over.
    pub fn end_fault(&self, number: usize) {
        let mut leaves_half_open = false;
        self.active_faults().retain(|fault| {
            let ends = fault.number == number;
            leaves_half_open |= ends && fault.half_open;
            !ends
        });
        self.combine_faults();
        if leaves_half_open {
            self.half_open_ends.send_modify(|count| *count += 1);
        }
    }

    /// Whether it has any fault now.
    pub fn fails(&self) -> bool {
        !self.active_faults().is_empty()
    }

    /// What its faults make of it, now and from now on.
    pub(super) fn subscribe_faults(&self) -> watch::Receiver<LinkFaults> {
        self.faults.subscribe()
    }

    /// Changes with each end of a fault that leaves connections half open, from now on.
    pub(super) fn subscribe_half_open_ends(&self) -> watch::Receiver<u32> {
        let mut ends = self.half_open_ends.subscribe();
        ends.mark_unchanged();
        ends
    }

    fn combine_faults(&self) {
        let active = self.active_faults();
        let combined = active.iter().fold(LinkFaults::default(), |all, one| {
            all.combined_with(one.faults)
        });
        self.faults.send_replace(combined);
    }

    fn active_faults(&self) -> MutexGuard<'_, Vec<ActiveFault>> {
        self.active_faults
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
    }
}
