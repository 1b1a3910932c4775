//! The thread that writes snapshots.
//!
//! It writes the newest snapshot that was submitted and drops older ones that it had not begun, so that the caller never
//! waits for the disk.

use crate::error::WriterError;
use crate::files::SnapshotDirectory;
use crate::model::Snapshot;
use crate::store::SnapshotStore;
use std::fs::File;
use std::io;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Name of the thread, as process listings show it.
const THREAD_NAME: &str = "state";
/// How often the lock of a directory that another process holds is tried.
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// How long the last snapshot may take when the writer is closed; a disk that hangs must not keep the process.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// What became of a submitted snapshot, or of the directory's lock.
#[derive(Debug)]
pub enum WriterEvent {
    /// A snapshot is durable.
    Saved {
        /// Its sequence number.
        sequence: u64,
        /// Its length in bytes.
        bytes: usize,
        /// How long the save took.
        duration: Duration,
    },
    /// A snapshot could not be saved, or none can be because the directory cannot be locked.
    Failed(WriterError),
    /// Another process holds the directory; nothing is written until it releases it.
    DirectoryLocked,
    /// The other process has released the directory, and this one writes from now on.
    DirectoryAcquired,
}

/// What the writer thread and its owner share.
#[derive(Debug, Default)]
struct WriterState {
    /// The newest snapshot that is not being written yet.
    pending: Option<Snapshot>,
    /// Outcomes that were not collected yet, in order.
    outcomes: Vec<WriterEvent>,
    /// No more snapshots will come.
    closing: bool,
    /// The thread does nothing more.
    finished: bool,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<WriterState>,
    changed: Condvar,
}

impl Shared {
    /// The state. A thread that panicked leaves it usable: every change to it is a single assignment.
    fn state(&self) -> MutexGuard<'_, WriterState> {
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn report(&self, outcome: WriterEvent) {
        self.state().outcomes.push(outcome);
    }

    /// Waits for the next snapshot; `None` once the writer is closed and nothing is pending.
    fn next_pending(&self) -> Option<Snapshot> {
        let mut state = self.state();
        loop {
            if let Some(snapshot) = state.pending.take() {
                return Some(snapshot);
            }
            if state.closing {
                return None;
            }
            state = self
                .changed
                .wait(state)
                .unwrap_or_else(|poisoned| poisoned.into_inner());
        }
    }

    /// Lets the thread end after the pending snapshot. Returns the outcomes, and whether it ended before `deadline`.
    fn close(&self, deadline: Instant) -> (Vec<WriterEvent>, bool) {
        let mut state = self.state();
        state.closing = true;
        self.changed.notify_all();
        while !state.finished && Instant::now() < deadline {
            let remaining = deadline.saturating_duration_since(Instant::now());
            state = match self.changed.wait_timeout(state, remaining) {
                Ok((state, _)) => state,
                Err(poisoned) => poisoned.into_inner().0,
            };
        }
        (std::mem::take(&mut state.outcomes), state.finished)
    }
}

/// Handle of the thread that writes snapshots. A handle that is dropped without [`close`](Self::close) leaves the thread
/// waiting until the process ends.
#[derive(Debug)]
pub struct SnapshotWriter {
    shared: Arc<Shared>,
    thread: JoinHandle<()>,
}

impl SnapshotWriter {
    /// Starts a thread that writes the snapshots of `owner` to `directory`, once no other process holds the directory's lock.
    ///
    /// # Errors
    ///
    /// If the system cannot start a thread.
    pub fn start(directory: SnapshotDirectory, owner: String) -> io::Result<SnapshotWriter> {
        let shared = Arc::new(Shared::default());
        let thread_shared = Arc::clone(&shared);
        let thread = std::thread::Builder::new()
            .name(THREAD_NAME.into())
            .spawn(move || run(&thread_shared, &directory, &owner))?;
        Ok(SnapshotWriter { shared, thread })
    }

    /// Submits a snapshot in place of one whose writing has not begun. Never waits for the disk.
    pub fn submit(&self, snapshot: Snapshot) {
        self.shared.state().pending = Some(snapshot);
        self.shared.changed.notify_all();
    }

    /// Takes the outcomes since the last call, in order.
    pub fn take_events(&self) -> Vec<WriterEvent> {
        std::mem::take(&mut self.shared.state().outcomes)
    }

    /// Waits at most one second for the last snapshot and ends the thread. Returns the remaining outcomes, in order.
    pub fn close(self) -> Vec<WriterEvent> {
        let (outcomes, finished) = self.shared.close(Instant::now() + CLOSE_TIMEOUT);
        if finished {
            // A panic of the thread has been printed already and must not stop the shutdown.
            let _ = self.thread.join();
        }
        outcomes
    }
}

/// The writer thread.
fn run(shared: &Shared, directory: &SnapshotDirectory, owner: &str) {
    if let Some(lock) = acquire_lock(shared, directory) {
        write_pending(shared, directory, owner);
        drop(lock);
    }
    shared.state().finished = true;
    shared.changed.notify_all();
}

/// Writes snapshots as they are submitted, until the writer is closed.
fn write_pending(shared: &Shared, directory: &SnapshotDirectory, owner: &str) {
    let mut store = SnapshotStore::new(directory.clone());
    // Another process may have written while it held the lock; saves count on from its newest snapshot.
    store.load(Some(owner));
    while let Some(mut snapshot) = shared.next_pending() {
        let began = Instant::now();
        let outcome = match store.save(&mut snapshot) {
            Ok(bytes) => WriterEvent::Saved {
                sequence: snapshot.sequence,
                bytes,
                duration: began.elapsed(),
            },
            Err(error) => WriterEvent::Failed(error.into()),
        };
        shared.report(outcome);
    }
}

/// Waits for the directory's lock; `None` if the writer is closed first, or the lock cannot be had at all.
fn acquire_lock(shared: &Shared, directory: &SnapshotDirectory) -> Option<File> {
    let mut was_locked = false;
    loop {
        match directory.lock() {
            Ok(Some(lock)) => {
                if was_locked {
                    shared.report(WriterEvent::DirectoryAcquired);
                }
                return Some(lock);
            }
            Ok(None) if !was_locked => {
                was_locked = true;
                shared.report(WriterEvent::DirectoryLocked);
            }
            Ok(None) => {}
            Err(error) => {
                shared.report(WriterEvent::Failed(WriterError::Lock(error)));
                return None;
            }
        }
        if shared.state().closing {
            return None;
        }
        std::thread::sleep(LOCK_RETRY_INTERVAL);
    }
}
