//! Maps relayed connections to the dials of sessions that they carry.

use crate::event_log::SessionId;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};

/// A dial of a session.
#[derive(Clone, Copy, Debug)]
pub(super) struct DialId {
    pub(super) session: SessionId,
    pub(super) dial: u32,
}

/// Dials on relayed connections, by the relay's address of the connection to the host. A dial is registered once its
/// host has read the session request.
#[derive(Debug, Default)]
pub struct RelayedDials(Mutex<HashMap<SocketAddr, DialId>>);

impl RelayedDials {
    /// Registers a dial whose request a host has read on the connection from a relay's address.
    pub(crate) fn insert(&self, relay: SocketAddr, session: SessionId, dial: u32) {
        self.by_address().insert(relay, DialId { session, dial });
    }

    /// Removes and returns the dial of a connection that has ended; `None` if no host has read a request on it.
    pub(super) fn take(&self, relay: SocketAddr) -> Option<DialId> {
        self.by_address().remove(&relay)
    }

    fn by_address(&self) -> MutexGuard<'_, HashMap<SocketAddr, DialId>> {
        self.0.lock().unwrap_or_else(|broken| broken.into_inner())
    }
}
