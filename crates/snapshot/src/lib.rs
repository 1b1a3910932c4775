//! What a proxy keeps on disk for its next start, and how it stays whole whenever power fails.
//!
//! A snapshot is one of two files that are written in turn (`store.rs`), each by a part beside it that is synced and
//! renamed, over an interface narrow enough to be stopped at every step (`files.rs`). A thread writes (`writer.rs`): a
//! disk that hangs costs snapshots, never a session. What is made of a snapshot is decided elsewhere.
#![allow(
    missing_docs,
    unreachable_pub,
    missing_debug_implementations,
    rust_2018_idioms
)] // Not yet brought to the workspace lints.
#![allow(clippy::too_many_lines, clippy::cognitive_complexity)] // Not yet brought to the workspace lints.

mod files;
mod snapshot;
mod store;
mod writer;

pub use files::{SnapshotDirectory, SnapshotFiles};
pub use snapshot::{
    Host as SavedEndpoint, LONGEST, SavedEndpointState, Snapshot, VERSION, read, write,
};
pub use store::{FileProblem, LoadedSnapshot, SnapshotStore};
pub use writer::{SaveOutcome, SnapshotWriter};
