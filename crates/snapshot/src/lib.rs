//! What a proxy keeps on disk for its next start, and how it stays whole whenever power fails.
//!
//! A snapshot is one of two files that are written in turn (`store.rs`), each by a part beside it that is synced and
//! renamed, over an interface narrow enough to be stopped at every step (`files.rs`). A thread writes (`writer.rs`): a
//! disk that hangs costs snapshots, never a session. What is made of a snapshot is decided elsewhere.

mod files;
mod snapshot;
mod store;
mod writer;

pub use files::{Files, Folder};
pub use snapshot::{Host, LONGEST, Snapshot, Standing, VERSION, read, write};
pub use store::{Found, Store, Trouble};
pub use writer::{Told, Writer};
