//! A timer queue with at most one deadline for each key.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Pending deadlines, ordered by time. All times come from one clock, the caller's.
#[derive(Clone, Debug)]
pub struct Deadlines<K> {
    by_time: BTreeSet<(Duration, K)>,
    by_key: BTreeMap<K, Duration>,
}

impl<K: Ord + Copy> Default for Deadlines<K> {
    fn default() -> Self {
        Deadlines {
            by_time: BTreeSet::new(),
            by_key: BTreeMap::new(),
        }
    }
}

impl<K: Ord + Copy> Deadlines<K> {
    /// Sets the key's deadline and replaces its previous one.
    pub fn set(&mut self, key: K, at: Duration) {
        self.clear(key);
        self.by_key.insert(key, at);
        self.by_time.insert((at, key));
    }

    /// Removes the key's deadline, if it has one.
    pub fn clear(&mut self, key: K) {
        if let Some(at) = self.by_key.remove(&key) {
            self.by_time.remove(&(at, key));
        }
    }

    /// The key's deadline, if it has one.
    pub fn get(&self, key: K) -> Option<Duration> {
        self.by_key.get(&key).copied()
    }

    /// When the earliest deadline is due; `None` if there is no deadline.
    pub fn next_due(&self) -> Option<Duration> {
        self.by_time.first().map(|(at, _)| *at)
    }

    /// Removes the earliest deadline and returns its key, if it is due at `now`.
    pub fn pop_due(&mut self, now: Duration) -> Option<K> {
        let (_, key) = *self.by_time.first().filter(|(at, _)| *at <= now)?;
        self.clear(key);
        Some(key)
    }
}
