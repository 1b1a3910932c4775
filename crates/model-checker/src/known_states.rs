//! The states that an exploration has met, shared by the threads that expand a batch.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::hash::{BuildHasher, Hash, RandomState};
use std::sync::{Mutex, MutexGuard};

/// Parts that are locked on their own: far more than threads, so that two seldom want the same.
const SHARDS: usize = 256;

/// Where a state was met in the order of the exploration: a lower number is earlier.
pub(crate) type VisitNumber = u64;

/// Fingerprints with the earliest place at which each was met, whichever thread came first.
#[derive(Debug)]
pub(crate) struct KnownStates<F> {
    shards: Vec<Mutex<HashMap<F, VisitNumber>>>,
    hasher: RandomState,
}

impl<F: Eq + Hash> KnownStates<F> {
    pub(crate) fn new() -> Self {
        KnownStates {
            shards: (0..SHARDS).map(|_| Mutex::default()).collect(),
            hasher: RandomState::new(),
        }
    }

    /// Notes a meeting. Returns whether none before it is known by now; a thread may still bring one.
    pub(crate) fn record_visit(&self, fingerprint: F, number: VisitNumber) -> bool {
        match self.shard(&fingerprint).entry(fingerprint) {
            Entry::Vacant(unknown) => {
                unknown.insert(number);
                true
            }
            Entry::Occupied(mut earliest) if number < *earliest.get() => {
                earliest.insert(number);
                true
            }
            Entry::Occupied(_) => false,
        }
    }

    /// Whether a state was met there for the first time. Settled once all threads are done with its batch.
    pub(crate) fn is_earliest_visit(&self, fingerprint: &F, number: VisitNumber) -> bool {
        self.shard(fingerprint).get(fingerprint) == Some(&number)
    }

    fn shard(&self, fingerprint: &F) -> MutexGuard<'_, HashMap<F, VisitNumber>> {
        let shard = self.hasher.hash_one(fingerprint) as usize % SHARDS;
        self.shards[shard]
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
