//! Which dial of which session a relayed connection is.

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

/// Relayed connections by the address that their host sees, once the host has read the session's line.
#[derive(Debug, Default)]
pub struct RelayedDials(Mutex<HashMap<SocketAddr, DialId>>);

impl RelayedDials {
    /// A host has read the line of a dial on the connection from a relay.
    pub(crate) fn insert(&self, relay: SocketAddr, session: SessionId, dial: u32) {
        self.by_address().insert(relay, DialId { session, dial });
    }

    /// The dial of a connection that is over, if a host has read its line.
    pub(super) fn take(&self, relay: SocketAddr) -> Option<DialId> {
        self.by_address().remove(&relay)
    }

    fn by_address(&self) -> MutexGuard<'_, HashMap<SocketAddr, DialId>> {
        self.0.lock().unwrap_or_else(|broken| broken.into_inner())
    }
}
