//! The thread that saves snapshots.
//!
//! It saves the newest snapshot that was submitted and drops older ones that it has not begun to save, so that the
//! caller never waits for the disk.

use crate::error::WriterError;
use crate::files::SnapshotDirectory;
use crate::model::Snapshot;
use crate::store::SnapshotStore;
use std::fs::File;
use std::io;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Name of the thread, which process listings show.
const THREAD_NAME: &str = "state";
/// Time between two attempts to lock a directory that another process has locked.
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Longest time that [`SnapshotWriter::close`] waits for the last snapshot, so that a disk that hangs does not keep the
/// process from exiting.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Result of saving a snapshot, or a change of the directory's lock.
#[derive(Debug)]
pub enum WriterEvent {
    /// A snapshot was saved and is durable.
    Saved {
        /// Its sequence number.
        sequence: u64,
        /// Length of its file in bytes.
        bytes: usize,
        /// How long the save took.
        duration: Duration,
    },
    /// A snapshot could not be saved, or the directory cannot be locked, so that none will be saved.
    Failed(WriterError),
    /// Another process holds the directory's lock. No snapshot is saved until it releases the lock.
    DirectoryLocked,
    /// The other process has released the lock, and this one saves snapshots from now on.
    DirectoryAcquired,
}

/// State that the writer thread shares with its handle.
#[derive(Debug, Default)]
struct WriterState {
    /// The newest submitted snapshot, until the thread begins to save it.
    pending: Option<Snapshot>,
    /// Events that were not taken yet, in order.
    events: Vec<WriterEvent>,
    /// Whether the writer is being closed, so that no more snapshots will be submitted.
    closing: bool,
    /// Whether the thread has saved its last snapshot and released the lock.
    finished: bool,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<WriterState>,
    /// Notified when a snapshot is submitted, the writer is closed, or the thread has finished.
    changed: Condvar,
}

impl Shared {
    /// Locks the state. It is consistent even if a thread has panicked with the lock held, because every change to it
    /// is a single operation.
    fn lock_state(&self) -> MutexGuard<'_, WriterState> {
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn report(&self, event: WriterEvent) {
        self.lock_state().events.push(event);
    }

    /// Waits for the next snapshot; `None` once the writer is closed and nothing is pending.
    fn next_pending(&self) -> Option<Snapshot> {
        let mut state = self.lock_state();
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

    /// Makes the thread end after the pending snapshot, and waits until `deadline` for its end. Returns the events that
    /// were not taken, and whether the thread has finished.
    fn close(&self, deadline: Instant) -> (Vec<WriterEvent>, bool) {
        let mut state = self.lock_state();
        state.closing = true;
        self.changed.notify_all();
        while !state.finished && Instant::now() < deadline {
            let remaining = deadline.saturating_duration_since(Instant::now());
            state = match self.changed.wait_timeout(state, remaining) {
                Ok((state, _)) => state,
                Err(poisoned) => poisoned.into_inner().0,
            };
        }
        (std::mem::take(&mut state.events), state.finished)
    }
}

/// Handle of the thread that saves snapshots. If it is dropped without a call of [`close`](Self::close), the thread
/// waits until the process ends.
#[derive(Debug)]
pub struct SnapshotWriter {
    shared: Arc<Shared>,
    thread: JoinHandle<()>,
}

impl SnapshotWriter {
    /// Starts a thread that saves the snapshots of the proxy `owner` in `directory`, once no other process holds the
    /// directory's lock.
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

    /// Submits a snapshot, which replaces a submitted one that the thread has not begun to save. Never waits for the
    /// disk.
    pub fn submit(&self, snapshot: Snapshot) {
        self.shared.lock_state().pending = Some(snapshot);
        self.shared.changed.notify_all();
    }

    /// Takes the events since the last call, in order.
    pub fn take_events(&self) -> Vec<WriterEvent> {
        std::mem::take(&mut self.shared.lock_state().events)
    }

    /// Ends the thread after the pending snapshot, and waits for it at most one second. Returns the remaining events,
    /// in order.
    pub fn close(self) -> Vec<WriterEvent> {
        let (events, finished) = self.shared.close(Instant::now() + CLOSE_TIMEOUT);
        if finished {
            // The panic hook has printed a panic of the thread already, and it must not stop the shutdown.
            let _ = self.thread.join();
        }
        events
    }
}

/// Body of the writer thread.
fn run(shared: &Shared, directory: &SnapshotDirectory, owner: &str) {
    if let Some(lock) = acquire_lock(shared, directory) {
        save_submitted(shared, directory, owner);
        drop(lock);
    }
    shared.lock_state().finished = true;
    shared.changed.notify_all();
}

/// Saves snapshots as they are submitted, until the writer is closed.
fn save_submitted(shared: &Shared, directory: &SnapshotDirectory, owner: &str) {
    let mut store = SnapshotStore::new(directory.clone());
    // Another process may have saved snapshots while it held the lock, so sequence numbers continue from what is on
    // disk.
    store.load(Some(owner));
    while let Some(mut snapshot) = shared.next_pending() {
        let started_at = Instant::now();
        let event = match store.save(&mut snapshot) {
            Ok(bytes) => WriterEvent::Saved {
                sequence: snapshot.sequence,
                bytes,
                duration: started_at.elapsed(),
            },
            Err(error) => WriterEvent::Failed(error.into()),
        };
        shared.report(event);
    }
}

/// Waits for the directory's lock; `None` if the writer is closed first, or locking fails.
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
        if shared.lock_state().closing {
            return None;
        }
        std::thread::sleep(LOCK_RETRY_INTERVAL);
    }
}
