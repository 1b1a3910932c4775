//! Snapshots of a proxy's endpoint list on disk, from which it makes a warm start after a loss of power.
//!
//! [`SnapshotStore`] keeps the last two snapshots, the generations, in two files: each save writes a temporary file,
//! syncs it and renames it over the older generation, so that a loss of power at any step leaves one complete snapshot.
//! It uses the disk only through the trait [`SnapshotFiles`], which tests implement by a simulated disk that loses
//! power. [`SnapshotWriter`] saves on a thread of its own: a disk that hangs delays snapshots, but no session.
//!
//! This package only stores and reads snapshots. The package `asterramp-warm-start` decides how far the next start
//! trusts one.

mod error;
mod files;
mod format;
mod model;
mod store;
mod writer;

pub use error::{DecodeError, FileError, SaveError, WriterError};
pub use files::{SnapshotDirectory, SnapshotFiles};
pub use format::{FORMAT_VERSION, MAX_FILE_BYTES, decode, encode};
pub use model::{Host as SavedEndpoint, SavedEndpointState, Snapshot};
pub use store::{LoadedSnapshot, SnapshotStore, UnusableFile};
pub use writer::{SnapshotWriter, WriterEvent};
