//! Which process begins sessions during a hot restart, and the ids of the sessions that are open at the predecessor.
//!
//! A request with the id of an open session, or of one that has ended and may have run, is rejected, since a server could run
//! it twice. Only one of the two processes begins sessions at any time: the predecessor until it receives `Serving`, the
//! successor from `OpenDescriptors` on. In between, the predecessor sends the ids of its sessions, open and recent; later it
//! reports those that have ended and may come again: they surely never ran, or their client was told to try again.

use super::HotRestart;
use crate::routing::{ReasonCode, Router, TimerKey};
use asterramp_hot_restart::{HotRestartInput, HotRestartMessage, SendOutcome};
use std::collections::{HashSet, VecDeque};
use std::time::Duration;

/// How long the successor waits for its predecessor to stop accepting clients. A predecessor that takes longer does not
/// respond; clients would get no answer in time if the successor waited on.
const PREDECESSOR_STOP_TIMEOUT: Duration = Duration::from_millis(250);
/// Most ids that the successor keeps of its predecessor's sessions: the kernel's default limit of descriptors.
const MAX_SESSIONS_AT_PREDECESSOR: usize = 1 << 20;

/// The predecessor's reports of its sessions to the successor.
#[derive(Debug, Default)]
pub(super) struct SessionReports {
    /// Whether the successor has requested the ids.
    is_requested: bool,
    /// Ids of sessions that have ended since the last report and may come again.
    reusable_ids: Vec<String>,
    /// Messages that the link has not taken yet, oldest first.
    unsent: VecDeque<HotRestartMessage>,
}

/// What the successor knows of the sessions at its predecessor.
#[derive(Debug, Default)]
pub(super) struct PredecessorSessions {
    /// Whether the predecessor may still accept clients and begin sessions.
    may_begin: bool,
    /// Whether the predecessor has stopped the handover, and keeps the sessions that it still has.
    are_kept: bool,
    /// Whether it reports only ids that may come again, and not every session that ends.
    reports_only_reusable: bool,
    /// Ids of the sessions that are open there, or have ended there and may have run.
    ids: HashSet<String>,
}

impl PredecessorSessions {
    /// What a process knows that has or has not connected to a predecessor.
    pub(super) fn at_start(has_predecessor: bool) -> PredecessorSessions {
        PredecessorSessions {
            may_begin: has_predecessor,
            ..PredecessorSessions::default()
        }
    }

    /// Records that the predecessor has stopped the handover. Its sessions go on, but it reports their ends no longer,
    /// so their ids are rejected for as long as this process runs, also once they have ended.
    pub(super) fn keep(&mut self) {
        self.are_kept = true;
    }

    /// Records that the link has ended. The sessions of a predecessor that has not stopped the handover ended with it;
    /// returns their ids.
    pub(super) fn link_ended(&mut self) -> HashSet<String> {
        self.may_begin = false;
        if self.are_kept {
            HashSet::new()
        } else {
            std::mem::take(&mut self.ids)
        }
    }

    /// Records that a session has been handed over to this process.
    pub(super) fn remove(&mut self, id: &str) {
        self.ids.remove(id);
    }
}

impl HotRestart {
    /// Records that the successor has requested the ids of the sessions.
    pub(super) fn share_session_ids(&mut self) {
        self.session_reports.is_requested = true;
    }
}

/// The predecessor's part.
impl Router {
    /// Queues the ids of all sessions, if the successor has requested them, and the number of open descriptors, which
    /// notifies it that this process begins no more sessions.
    pub(super) fn queue_open_sessions(&mut self) {
        let open_descriptors = HotRestartMessage::OpenDescriptors(self.connections.len() as u32);
        let Some(hot_restart) = &mut self.hot_restart else {
            return;
        };
        let reports = &mut hot_restart.session_reports;
        if reports.is_requested {
            // A predecessor of this process that has stopped its handover may still have sessions.
            let kept_elsewhere = &hot_restart.predecessor_sessions.ids;
            let open_ids = self.session_ids.union(kept_elsewhere).cloned();
            let recent_ids = self.recent_session_ids.iter(self.now).map(String::from);
            let messages = HotRestartMessage::open_session_ids(open_ids.chain(recent_ids));
            let announcement = HotRestartMessage::reusable_ids_announcement();
            reports.unsent.push_back(announcement);
            reports.unsent.extend(messages);
        }
        reports.unsent.push_back(open_descriptors);
    }

    /// Records that a session has ended whose id may come again, for the next report. The successor goes on rejecting
    /// the id of any other one.
    pub(in crate::routing) fn report_reusable_id(&mut self, id: &str) {
        if !self.has_successor() {
            return;
        }
        if let Some(hot_restart) = &mut self.hot_restart
            && hot_restart.session_reports.is_requested
        {
            let reusable_ids = &mut hot_restart.session_reports.reusable_ids;
            reusable_ids.push(id.to_string());
        }
    }

    /// Sends the successor the ids of sessions that have ended since the last report and may come again, and what the link
    /// did not take before. Returns whether all of it was sent.
    pub(in crate::routing) fn report_sessions(&mut self) -> bool {
        let Some(hot_restart) = &mut self.hot_restart else {
            return true;
        };
        let reports = &mut hot_restart.session_reports;
        let reusable_ids = std::mem::take(&mut reports.reusable_ids);
        let mut unsent = std::mem::take(&mut reports.unsent);
        unsent.extend(HotRestartMessage::ended_session_ids(reusable_ids));
        while let Some(message) = unsent.front() {
            if self.send_hot_restart(message, &[]) != SendOutcome::Sent {
                break;
            }
            unsent.pop_front();
        }
        let all_sent = unsent.is_empty();
        if let Some(hot_restart) = &mut self.hot_restart {
            hot_restart.session_reports.unsent = unsent;
        }
        all_sent
    }

    /// Reads the requests that were left to a successor which no longer takes them.
    pub(super) fn read_held_requests(&mut self) {
        for key in self.pending_clients() {
            self.read_greeting(key);
        }
    }
}

/// The successor's part.
impl Router {
    /// Accepts clients once the predecessor has stopped accepting them, at the latest after
    /// [`PREDECESSOR_STOP_TIMEOUT`]; at once if there is none. Clients wait in the accept queue meanwhile.
    pub(in crate::routing) fn open_listener_after_predecessor(&mut self) {
        if self.predecessor_may_begin_sessions() {
            self.deadlines
                .set(TimerKey::Listener, self.now + PREDECESSOR_STOP_TIMEOUT);
        } else {
            self.open_listener();
        }
    }

    /// Opens the listener at its deadline, though the predecessor may not have stopped accepting clients.
    pub(in crate::routing) fn listener_deadline(&mut self) {
        if self.predecessor_may_begin_sessions() {
            let about = "predecessor why=\"it does not stop accepting\"";
            self.log_event(ReasonCode::HotRestartFailed, about);
            self.set_predecessor_stopped();
        }
        self.open_listener();
    }

    /// Handles `OpenDescriptors`: the predecessor begins no more sessions, and has sent the ids of all that it has.
    pub(super) fn predecessor_stopped_accepting(&mut self) {
        if self.predecessor_may_begin_sessions() {
            self.set_predecessor_stopped();
            self.open_listener();
        }
    }

    fn predecessor_may_begin_sessions(&self) -> bool {
        self.hot_restart
            .as_ref()
            .is_some_and(|hot_restart| hot_restart.predecessor_sessions.may_begin)
    }

    fn set_predecessor_stopped(&mut self) {
        if let Some(hot_restart) = &mut self.hot_restart {
            hot_restart.predecessor_sessions.may_begin = false;
        }
    }

    /// Records ids of sessions that are open at the predecessor, or have ended there and may have run. Returns the input for
    /// the state machine.
    pub(super) fn record_predecessor_sessions(&mut self, ids: Vec<String>) -> HotRestartInput {
        let Some(hot_restart) = &mut self.hot_restart else {
            return HotRestartInput::PeerFailed;
        };
        let sessions = &mut hot_restart.predecessor_sessions;
        if HotRestartMessage::is_reusable_ids_announcement(&ids) {
            sessions.reports_only_reusable = true;
        }
        let known = &mut sessions.ids;
        if known.len() + ids.len() > MAX_SESSIONS_AT_PREDECESSOR {
            let about = "message why=\"too many session ids\"";
            self.log_event(ReasonCode::HotRestartFailed, about);
            return HotRestartInput::PeerFailed;
        }
        known.extend(ids);
        HotRestartInput::SessionIdsReceived
    }

    /// Records ids of sessions that have ended at the predecessor. A predecessor of an earlier build reports every session that
    /// ends or was handed over, so that they may have run. Returns the input for the state machine.
    pub(super) fn forget_predecessor_sessions(&mut self, ids: &[String]) -> HotRestartInput {
        if let Some(hot_restart) = &mut self.hot_restart {
            let sessions = &mut hot_restart.predecessor_sessions;
            for id in ids {
                sessions.remove(id);
                if !sessions.reports_only_reusable {
                    self.recent_session_ids.insert(self.now, id);
                }
            }
        }
        HotRestartInput::SessionIdsReceived
    }

    /// Remembers ids of sessions that ended with the predecessor: their requests may have run.
    pub(super) fn remember_session_ids(&mut self, ids: HashSet<String>) {
        for id in ids {
            self.recent_session_ids.insert(self.now, &id);
        }
    }

    /// Whether a session with this id is open at the predecessor or may have run there, as far as it has reported.
    pub(in crate::routing) fn is_open_at_predecessor(&self, id: &str) -> bool {
        self.hot_restart
            .as_ref()
            .is_some_and(|hot_restart| hot_restart.predecessor_sessions.ids.contains(id))
    }
}
