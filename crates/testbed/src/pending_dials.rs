//! Dials of sessions that no host has answered yet, by which a session that is dialled twice at once is seen.

use crate::event_log::SessionId;
use crate::sockets::peer_has_ended;
use rustix::fd::OwnedFd;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};

/// A dial whose host has read its line and has not answered it.
#[derive(Debug)]
struct PendingDial {
    number: u32,
    /// A second handle of its connection.
    connection: OwnedFd,
}

/// Dials that no host has answered yet, by session.
#[derive(Debug, Default)]
pub(crate) struct PendingDials(Mutex<HashMap<SessionId, Vec<PendingDial>>>);

impl PendingDials {
    /// A host has read the line of a dial. Returns the earlier ones of its session whose connections have no end yet
    /// in this machine's kernel. Such an overlap may last no longer than the next host's answer, far less than the
    /// times at which two actors record the same moment are apart; on loopback an end is there before whatever was
    /// sent after it.
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

    /// It was answered, or is over. Its handle must not outlive its connection, or that would not end.
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
