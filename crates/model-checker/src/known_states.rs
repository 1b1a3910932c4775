//! The states that an exploration has reached, shared by the threads that expand a batch.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::hash::{BuildHasher, Hash, RandomState};
use std::sync::{Mutex, MutexGuard};

/// Number of separately locked shards: far more than threads, so that two threads seldom wait for the same lock.
const SHARD_COUNT: usize = 256;

/// The position of a visit in the order of the exploration: a lower number is earlier, whichever thread is faster.
pub(crate) type VisitNumber = u64;

/// The fingerprints of all states reached so far, each with its earliest visit.
#[derive(Debug)]
pub(crate) struct KnownStates<F> {
    shards: Vec<Mutex<HashMap<F, VisitNumber>>>,
    hasher: RandomState,
}

impl<F: Eq + Hash> KnownStates<F> {
    pub(crate) fn new() -> Self {
        KnownStates {
            shards: (0..SHARD_COUNT).map(|_| Mutex::default()).collect(),
            hasher: RandomState::new(),
        }
    }

    /// Records a visit. Returns whether it is the earliest known so far; another thread may still record an earlier one.
    pub(crate) fn record_visit(&self, fingerprint: F, number: VisitNumber) -> bool {
        match self.shard(&fingerprint).entry(fingerprint) {
            Entry::Vacant(entry) => {
                entry.insert(number);
                true
            }
            Entry::Occupied(mut earliest) if number < *earliest.get() => {
                earliest.insert(number);
                true
            }
            Entry::Occupied(_) => false,
        }
    }

    /// Whether this visit of a state is its earliest. Final only once all threads have finished the visit's batch.
    pub(crate) fn is_earliest_visit(&self, fingerprint: &F, number: VisitNumber) -> bool {
        self.shard(fingerprint).get(fingerprint) == Some(&number)
    }

    fn shard(&self, fingerprint: &F) -> MutexGuard<'_, HashMap<F, VisitNumber>> {
        let shard = self.hasher.hash_one(fingerprint) as usize % SHARD_COUNT;
        self.shards[shard]
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
