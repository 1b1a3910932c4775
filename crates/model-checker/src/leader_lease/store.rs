//! The coordination store: its sessions, which are its queue too. All times are true ones.

use super::reference::FingerprintReference;
use super::settings::{CONTENDER_COUNT, SETTINGS};
use asterramp_leader_lease::Term;
use std::time::Duration;

/// Changes that the store has made before.
const FIRST_REVISION: Term = 10;

/// A session with a node in the queue.
#[derive(Clone, Copy, Debug)]
pub(super) struct StoreSession {
    pub(super) term: Term,
    pub(super) renewed_at: Duration,
}

impl StoreSession {
    pub(super) fn expires_at(&self) -> Duration {
        self.renewed_at + SETTINGS.session_timeout
    }
}

#[derive(Clone, Debug)]
pub(super) struct LeaseStore {
    /// The sessions, by contender.
    pub(super) sessions: [Option<StoreSession>; CONTENDER_COUNT],
    /// Changes so far. The next node's term is one more.
    pub(super) revision: Term,
    /// Contenders whose session was lost, until they queue again: nothing that the store knows bounds their orders.
    pub(super) has_lost_session: [bool; CONTENDER_COUNT],
}

impl LeaseStore {
    pub(super) fn new() -> LeaseStore {
        LeaseStore {
            sessions: [None; CONTENDER_COUNT],
            revision: FIRST_REVISION,
            has_lost_session: [false; CONTENDER_COUNT],
        }
    }

    /// A contender's node is created; with its term.
    pub(super) fn create_node(&mut self, contender: usize, now: Duration) -> Term {
        self.revision += 1;
        self.sessions[contender] = Some(StoreSession {
            term: self.revision,
            renewed_at: now,
        });
        self.has_lost_session[contender] = false;
        self.revision
    }

    /// Renews a contender's session; with the lowest term in the queue, or `None` if there is no such session.
    pub(super) fn renew_session(&mut self, contender: usize, now: Duration) -> Option<Term> {
        self.sessions[contender].as_mut()?.renewed_at = now;
        self.queue_head()
    }

    /// The lowest term in the queue.
    pub(super) fn queue_head(&self) -> Option<Term> {
        let sessions = self.sessions.iter().flatten();
        sessions.map(|session| session.term).min()
    }

    pub(super) fn end_session(&mut self, contender: usize) {
        self.sessions[contender] = None;
    }

    pub(super) fn lose_all_sessions(&mut self) {
        for (session, is_lost) in self.sessions.iter_mut().zip(&mut self.has_lost_session) {
            *is_lost |= session.take().is_some();
        }
    }

    /// Equal for stores that behave alike.
    pub(super) fn fingerprint(&self, reference: FingerprintReference) -> String {
        let sessions = self.sessions.map(|session| {
            let session = session?;
            let age = reference.now.saturating_sub(session.renewed_at).as_millis();
            Some((session.term, age))
        });
        format!("{sessions:?}{}{:?}", self.revision, self.has_lost_session)
    }
}
