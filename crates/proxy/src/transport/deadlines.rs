//! All deadlines, in one ordered structure; each thing that waits has one at most.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

#[derive(Clone, Debug)]
pub struct Deadlines<K> {
    due: BTreeSet<(Duration, K)>,
    of: BTreeMap<K, Duration>,
}

impl<K: Ord + Copy> Default for Deadlines<K> {
    fn default() -> Self {
        Deadlines {
            due: BTreeSet::new(),
            of: BTreeMap::new(),
        }
    }
}

impl<K: Ord + Copy> Deadlines<K> {
    pub fn set(&mut self, key: K, at: Duration) {
        self.clear(key);
        self.of.insert(key, at);
        self.due.insert((at, key));
    }

    pub fn clear(&mut self, key: K) {
        if let Some(at) = self.of.remove(&key) {
            self.due.remove(&(at, key));
        }
    }

    /// When it is due, if it waits.
    pub fn get(&self, key: K) -> Option<Duration> {
        self.of.get(&key).copied()
    }

    pub fn next_due(&self) -> Option<Duration> {
        self.due.first().map(|first| first.0)
    }

    /// Takes out the first that has passed.
    pub fn pop_due(&mut self, now: Duration) -> Option<K> {
        let (_, key) = *self.due.first().filter(|first| first.0 <= now)?;
        self.clear(key);
        Some(key)
    }
}
