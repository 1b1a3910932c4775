//! Snapshots of a proxy's endpoint list on disk, from which it warm-starts after a power loss.
//!
//! A snapshot is stored in two generations, two files written in turn ([`SnapshotStore`]): each save writes a temporary
//! file, syncs it and renames it over the older generation, so that a loss of power at any step leaves one complete
//! snapshot. All disk access goes through the narrow interface [`SnapshotFiles`], which a test replaces by a disk that
//! loses power. A thread does the writing ([`SnapshotWriter`]): a disk that hangs delays snapshots, never a session.
//!
//! This package only stores and reads snapshots. How far one is trusted at the next start is decided by the package
//! `asterramp-warm-start`.

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
