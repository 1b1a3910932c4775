//! Closed time intervals on the event log's clock, and sets of them by key.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

/// A time interval that includes both ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Interval {
    pub(super) from: Duration,
    /// `Duration::MAX` for an interval without an end.
    pub(super) to: Duration,
}

impl Interval {
    /// Whether the two intervals share at least one moment.
    pub(super) fn overlaps(&self, other: Interval) -> bool {
        self.from <= other.to && self.to >= other.from
    }
}

/// Intervals by key, for example the outages of each link. Those of one key are in ascending order and do not overlap.
#[derive(Debug)]
pub(super) struct Intervals<K>(HashMap<K, Vec<Interval>>);

impl<K> Default for Intervals<K> {
    fn default() -> Self {
        Intervals(HashMap::new())
    }
}

impl<K: Hash + Eq> Intervals<K> {
    /// Begins an interval of `key`, or ends its open one. A second begin, and an end without an open interval, are
    /// ignored.
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
