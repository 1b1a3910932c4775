//! Intervals of time in which something was so.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

/// From when to when something was so, both included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Interval {
    pub(super) from: Duration,
    /// `Duration::MAX` while it has no end.
    pub(super) to: Duration,
}

impl Interval {
    /// Whether the two have a moment in common.
    pub(super) fn overlaps(&self, other: Interval) -> bool {
        self.from <= other.to && self.to >= other.from
    }
}

/// Intervals by whom they concern; those of one key follow each other.
#[derive(Debug)]
pub(super) struct Intervals<K>(HashMap<K, Vec<Interval>>);

impl<K> Default for Intervals<K> {
    fn default() -> Self {
        Intervals(HashMap::new())
    }
}

impl<K: Hash + Eq> Intervals<K> {
    /// Begins an interval of `key`, or ends the open one. What begins or ends twice is left as it is.
    pub(super) fn record(&mut self, key: K, at: Duration, begins: bool) {
        let intervals = self.0.entry(key).or_default();
        let open = intervals.last_mut().filter(|last| last.to == Duration::MAX);
        match open {
            Some(open) if !begins => open.to = at,
            None if begins => intervals.push(Interval {
                from: at,
                to: Duration::MAX,
            }),
            _ => {}
        }
    }

    /// The intervals of `key` that overlap the one given.
    pub(super) fn overlapping(&self, key: &K, within: Interval) -> impl Iterator<Item = &Interval> {
        let intervals = self.0.get(key).map(Vec::as_slice).unwrap_or_default();
        intervals
            .iter()
            .filter(move |interval| interval.overlaps(within))
    }

    /// Whether any interval of `key` overlaps the one given.
    pub(super) fn any_overlaps(&self, key: &K, within: Interval) -> bool {
        self.overlapping(key, within).next().is_some()
    }
}
