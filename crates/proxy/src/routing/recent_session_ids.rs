//! Ids of sessions that have ended here and whose request may have run at a server.
//!
//! A client gives each connection an id of its own. A request with the id of such a session is rejected: a server could run
//! it a second time. Ids are remembered for a limited time and within a limited memory, the oldest ones forgotten first.

use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

/// How long an id is remembered: many times as long as clients wait for an answer or before they try again.
const RETENTION_TIME: Duration = Duration::from_secs(60);
/// Part of the process's memory that remembered ids may take, as a divisor.
const MEMORY_DIVISOR: usize = 32;
/// Memory of one remembered id beside its text, in bytes: its place in the table and in the queue, both of which may have
/// twice the capacity that they use, and the allocation's own.
const ENTRY_OVERHEAD_BYTES: usize = 192;

/// Remembered ids. The default one remembers none.
#[derive(Debug, Default)]
pub(super) struct RecentSessionIds {
    /// When each id was remembered last.
    remembered_at: HashMap<Rc<str>, Duration>,
    /// The ids with the same times, oldest first. An id that was remembered again is here twice.
    by_age: VecDeque<(Duration, Rc<str>)>,
    /// Memory that the ids in `by_age` take.
    used_bytes: usize,
    max_bytes: usize,
}

impl RecentSessionIds {
    /// No ids, for a process that may use this much memory.
    pub(super) fn new(max_memory_bytes: usize) -> RecentSessionIds {
        RecentSessionIds {
            remembered_at: HashMap::new(),
            by_age: VecDeque::new(),
            used_bytes: 0,
            max_bytes: max_memory_bytes / MEMORY_DIVISOR,
        }
    }

    /// Remembers an id from now on.
    pub(super) fn insert(&mut self, now: Duration, id: &str) {
        let id: Rc<str> = id.into();
        self.used_bytes += entry_bytes(&id);
        self.remembered_at.insert(id.clone(), now);
        self.by_age.push_back((now, id));
        while self.is_oldest_due(now) {
            self.forget_oldest();
        }
    }

    /// Whether an id is remembered.
    pub(super) fn contains(&self, now: Duration, id: &str) -> bool {
        let remembered_at = self.remembered_at.get(id);
        remembered_at.is_some_and(|at| !is_expired(now, *at))
    }

    /// The remembered ids, newest first. An id that was remembered twice may be there twice.
    pub(super) fn iter(&self, now: Duration) -> impl Iterator<Item = &str> {
        self.by_age
            .iter()
            .rev()
            .take_while(move |(at, _)| !is_expired(now, *at))
            .map(|(_, id)| &**id)
    }

    fn is_oldest_due(&self, now: Duration) -> bool {
        let oldest = self.by_age.front();
        self.used_bytes > self.max_bytes || oldest.is_some_and(|(at, _)| is_expired(now, *at))
    }

    fn forget_oldest(&mut self) {
        let Some((at, id)) = self.by_age.pop_front() else {
            return;
        };
        self.used_bytes -= entry_bytes(&id);
        if self.remembered_at.get(&id) == Some(&at) {
            self.remembered_at.remove(&id);
        }
    }
}

fn entry_bytes(id: &str) -> usize {
    id.len() + ENTRY_OVERHEAD_BYTES
}

fn is_expired(now: Duration, remembered_at: Duration) -> bool {
    now.saturating_sub(remembered_at) >= RETENTION_TIME
}
