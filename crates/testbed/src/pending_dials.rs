//! Dials that no host has answered yet, to detect that a session is dialled twice at once.

use crate::event_log::SessionId;
use crate::sockets::peer_has_ended;
use rustix::fd::OwnedFd;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};

/// A dial whose host has read the session request and has not answered it.
#[derive(Debug)]
struct PendingDial {
    number: u32,
    /// A duplicate descriptor of its connection, to detect the connection's end.
    connection: OwnedFd,
}

/// The dials that no host has answered yet, by session.
#[derive(Debug, Default)]
pub(crate) struct PendingDials(Mutex<HashMap<SessionId, Vec<PendingDial>>>);

impl PendingDials {
    /// Adds a dial whose request a host has read; without a `connection` it is not kept. Returns the earlier dials of
    /// the session whose connections have not ended in this machine's kernel. The event log cannot show such an
    /// overlap: it may last no longer than the next host takes to answer, far less than the differences between the
    /// times at which two actors record the same moment. The kernel's state is reliable: on loopback, the end of a
    /// connection arrives before anything that was sent after it.
    pub(crate) fn begin(
        &self,
        session: SessionId,
        number: u32,
        connection: Option<OwnedFd>,
    ) -> Vec<u32> {
        let mut all = self.by_session();
        let dials = all.entry(session).or_default();
        let still_open = dials
            .iter()
            .filter(|dial| !peer_has_ended(&dial.connection))
            .map(|dial| dial.number)
            .collect();
        dials.extend(connection.map(|connection| PendingDial { number, connection }));
        still_open
    }

    /// Removes a dial that was answered or has ended. Its duplicate descriptor must be dropped with the connection,
    /// which would otherwise stay open.
    pub(crate) fn end(&self, session: SessionId, number: u32) {
        let mut all = self.by_session();
        if let Some(dials) = all.get_mut(&session) {
            dials.retain(|dial| dial.number != number);
            if dials.is_empty() {
                all.remove(&session);
            }
        }
    }

    fn by_session(&self) -> MutexGuard<'_, HashMap<SessionId, Vec<PendingDial>>> {
        self.0.lock().unwrap_or_else(|broken| broken.into_inner())
    }
}
