//! The thread that writes. It takes the newest snapshot and forgets those that it had not begun, so whoever hands them
//! over never waits for the disk.

use crate::files::SnapshotDirectory;
use crate::snapshot::Snapshot;
use crate::store::SnapshotStore;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// How often a folder that somebody else holds is tried, and how long the last snapshot may take at the end.
const RETRY: Duration = Duration::from_millis(250);
const LAST: Duration = Duration::from_secs(1);

/// How a snapshot fared.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SaveOutcome {
    Saved {
        seq: u64,
        bytes: usize,
        took: Duration,
    },
    Failed(String),
    /// Another process holds the folder; nothing is written until it lets go.
    Held,
    /// It has let go.
    Taken,
}

#[derive(Default)]
struct PendingSnapshot {
    next: Option<Snapshot>,
    told: Vec<SaveOutcome>,
    /// No more will come.
    closed: bool,
    done: bool,
}

#[derive(Default)]
struct Shared {
    desk: Mutex<PendingSnapshot>,
    turned: Condvar,
}

impl Shared {
    fn desk(&self) -> MutexGuard<'_, PendingSnapshot> {
        self.desk
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
    }
}

pub struct SnapshotWriter {
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

impl SnapshotWriter {
    pub fn start(folder: SnapshotDirectory, owner: String) -> std::io::Result<SnapshotWriter> {
        let shared = Arc::new(Shared::default());
        let own = shared.clone();
        let write = move || work(&own, &folder, &owner);
        let thread = std::thread::Builder::new()
            .name("state".into())
            .spawn(write)?;
        Ok(SnapshotWriter {
            shared,
            thread: Some(thread),
        })
    }

    /// Hands a snapshot over, in place of one that was not begun.
    pub fn save(&self, snapshot: Snapshot) {
        self.shared.desk().next = Some(snapshot);
        self.shared.turned.notify_all();
    }

    pub fn told(&self) -> Vec<SaveOutcome> {
        std::mem::take(&mut self.shared.desk().told)
    }

    /// Waits for the last snapshot, but no longer than a second: a disk that hangs must not keep a process.
    pub fn close(mut self) -> Vec<SaveOutcome> {
        let by = Instant::now() + LAST;
        let mut desk = self.shared.desk();
        desk.closed = true;
        self.shared.turned.notify_all();
        while !desk.done && Instant::now() < by {
            let left = by.saturating_duration_since(Instant::now());
            desk = match self.shared.turned.wait_timeout(desk, left) {
                Ok((desk, _)) => desk,
                Err(broken) => broken.into_inner().0,
            };
        }
        let (done, told) = (desk.done, std::mem::take(&mut desk.told));
        drop(desk);
        if done {
            self.thread
                .take()
                .into_iter()
                .for_each(|thread| drop(thread.join()));
        }
        told
    }
}

fn work(shared: &Shared, folder: &SnapshotDirectory, owner: &str) {
    // Held until the thread ends, which the process's end is too.
    let lock = take(shared, folder);
    let mut store = SnapshotStore::new(folder.clone());
    if lock.is_some() {
        // Where another process wrote meanwhile, the next is counted from its.
        store.load(Some(owner));
    }
    while let Some(mut snapshot) = next(shared).filter(|_| lock.is_some()) {
        let began = Instant::now();
        let told = match store.save(&mut snapshot) {
            Ok(bytes) => SaveOutcome::Saved {
                seq: snapshot.seq,
                bytes,
                took: began.elapsed(),
            },
            Err(e) => SaveOutcome::Failed(e.to_string()),
        };
        shared.desk().told.push(told);
    }
    drop(lock);
    shared.desk().done = true;
    shared.turned.notify_all();
}

/// The folder's lock; `None` if the process ends first, or the lock can't be had at all.
fn take(shared: &Shared, folder: &SnapshotDirectory) -> Option<std::fs::File> {
    let mut held = false;
    loop {
        let told = match folder.lock() {
            Ok(Some(lock)) => {
                shared
                    .desk()
                    .told
                    .extend(held.then_some(SaveOutcome::Taken));
                return Some(lock);
            }
            Ok(None) => (!std::mem::replace(&mut held, true)).then_some(SaveOutcome::Held),
            Err(e) => {
                shared
                    .desk()
                    .told
                    .push(SaveOutcome::Failed(format!("lock: {e}")));
                return None;
            }
        };
        let mut desk = shared.desk();
        desk.told.extend(told);
        if desk.closed {
            return None;
        }
        drop(desk);
        std::thread::sleep(RETRY);
    }
}

/// Waits for the next snapshot; `None` at the end.
fn next(shared: &Shared) -> Option<Snapshot> {
    let mut desk = shared.desk();
    loop {
        if let Some(snapshot) = desk.next.take() {
            return Some(snapshot);
        }
        if desk.closed {
            return None;
        }
        desk = shared
            .turned
            .wait(desk)
            .unwrap_or_else(|broken| broken.into_inner());
    }
}
