//! The coordination store of the leader-lease model. Each session has one node in the queue; all times are true time.

use super::reference::FingerprintReference;
use super::settings::{CONTENDER_COUNT, SETTINGS};
use asterramp_leader_lease::Term;
use std::time::Duration;

/// Changes that the store has made before the initial state.
const FIRST_REVISION: Term = 10;

/// A session with a node in the queue.
#[derive(Clone, Copy, Debug)]
pub(super) struct StoreSession {
    /// The revision at which the session's node was created.
    pub(super) term: Term,
    pub(super) renewed_at: Duration,
}

impl StoreSession {
    /// When the store may end the session, unless it is renewed before.
    pub(super) fn expires_at(&self) -> Duration {
        self.renewed_at + SETTINGS.session_timeout
    }
}

/// State of the store.
#[derive(Clone, Debug)]
pub(super) struct LeaseStore {
    /// The sessions, by contender.
    pub(super) sessions: [Option<StoreSession>; CONTENDER_COUNT],
    /// Number of changes so far. The term of the next node is one more.
    pub(super) revision: Term,
    /// Whether each contender's session was lost by the store and the contender has not queued again. The store then
    /// holds nothing against which the contender's orders could be checked.
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

    /// Creates a contender's session and its node in the queue. Returns the node's term.
    pub(super) fn create_node(&mut self, contender: usize, now: Duration) -> Term {
        self.revision += 1;
        self.sessions[contender] = Some(StoreSession {
            term: self.revision,
            renewed_at: now,
        });
        self.has_lost_session[contender] = false;
        self.revision
    }

    /// Renews a contender's session. Returns the lowest term in the queue; `None` if the contender has no session.
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

    /// Text that is equal for stores with the same future behaviour.
    pub(super) fn fingerprint(&self, reference: FingerprintReference) -> String {
        let sessions = self.sessions.map(|session| {
            let session = session?;
            let age = reference.now.saturating_sub(session.renewed_at).as_millis();
            Some((session.term, age))
        });
        format!("{sessions:?}{}{:?}", self.revision, self.has_lost_session)
    }
}
