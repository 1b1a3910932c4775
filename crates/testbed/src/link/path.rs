//! One link: its ends, its relay's address, and its injected faults.

use super::faults::LinkFaults;
use super::relayed_dials::RelayedDials;
use crate::link_ends::LinkEnds;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::watch;

/// One fault that a link has now.
#[derive(Clone, Copy, Debug)]
struct ActiveFault {
    /// The fault's index in the plan.
    index: usize,
    faults: LinkFaults,
    /// Whether connections that are open at its end are reset then, as if the other side had forgotten them.
    half_open: bool,
}

/// A link between two processes, with a relay in it.
#[derive(Debug)]
pub struct Link {
    /// The two parties that the link joins.
    pub ends: LinkEnds,
    /// The address at which its relay listens.
    pub address: SocketAddr,
    /// The address to which its relay connects.
    pub(super) target: SocketAddr,
    /// Which dial each relayed connection carries; shared by all links of a run.
    pub(super) relayed_dials: Arc<RelayedDials>,
    active_faults: Mutex<Vec<ActiveFault>>,
    faults: watch::Sender<LinkFaults>,
    /// Counts the ends of faults that leave connections half open; at each, all connections from before it are reset.
    half_open_ends: watch::Sender<u32>,
}

impl Link {
    pub(super) fn new(
        ends: LinkEnds,
        address: SocketAddr,
        target: SocketAddr,
        relayed_dials: Arc<RelayedDials>,
    ) -> Link {
        Link {
            ends,
            address,
            target,
            relayed_dials,
            active_faults: Mutex::default(),
            faults: watch::channel(LinkFaults::default()).0,
            half_open_ends: watch::channel(0).0,
        }
    }

    /// Begins a fault on this link; `index` is its index in the plan.
    pub fn begin_fault(&self, index: usize, faults: LinkFaults, half_open: bool) {
        self.active_faults().push(ActiveFault {
            index,
            faults,
            half_open,
        });
        self.combine_faults();
    }

    /// Ends a fault on this link; `index` is its index in the plan.
    pub fn end_fault(&self, index: usize) {
        let mut leaves_half_open = false;
        self.active_faults().retain(|fault| {
            let ends = fault.index == index;
            leaves_half_open |= ends && fault.half_open;
            !ends
        });
        self.combine_faults();
        if leaves_half_open {
            self.half_open_ends.send_modify(|count| *count += 1);
        }
    }

    /// Whether the link has any fault now.
    pub fn fails(&self) -> bool {
        !self.active_faults().is_empty()
    }

    /// The combined effect of the link's faults, with its changes.
    pub(super) fn subscribe_faults(&self) -> watch::Receiver<LinkFaults> {
        self.faults.subscribe()
    }

    /// A receiver that changes at the end of each fault that leaves connections half open, from now on.
    pub(super) fn subscribe_half_open_ends(&self) -> watch::Receiver<u32> {
        let mut ends = self.half_open_ends.subscribe();
        ends.mark_unchanged();
        ends
    }

    fn combine_faults(&self) {
        let active = self.active_faults();
        let combined = active
            .iter()
            .fold(LinkFaults::default(), |combined, fault| {
                combined.combined_with(fault.faults)
            });
        self.faults.send_replace(combined);
    }

    fn active_faults(&self) -> MutexGuard<'_, Vec<ActiveFault>> {
        self.active_faults
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
    }
}
