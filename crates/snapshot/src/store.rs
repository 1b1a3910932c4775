//! Two files that are written in turn.
//!
//! | step | on disk if power fails after it |
//! | --- | --- |
//! | the part is written | both files as before, a part that nobody reads |
//! | the part is synced | the same |
//! | it is renamed over the older file | both as before, or the new one in place of the older |
//! | the folder is synced | the new one and the one before it |

use crate::files::SnapshotFiles;
use crate::snapshot::{LONGEST, Snapshot, read, write};
use std::io;

/// The two files, and the part that becomes one of them.
const SLOTS: [&str; 2] = ["state.0", "state.1"];
const PART: &str = "state.part";

/// What is wrong with a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileProblem {
    pub file: &'static str,
    pub why: String,
}

/// The newest whole snapshot, and all that was wrong on the way to it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadedSnapshot {
    pub snapshot: Option<Snapshot>,
    pub troubles: Vec<FileProblem>,
}

#[derive(Debug)]
pub struct SnapshotStore<F> {
    files: F,
    /// Of the newest snapshot on disk, and the file that it is in.
    newest: Option<(u64, usize)>,
}

impl<F: SnapshotFiles> SnapshotStore<F> {
    pub fn new(files: F) -> SnapshotStore<F> {
        SnapshotStore {
            files,
            newest: None,
        }
    }

    /// Reads both files. A snapshot of another owner's is foreign: it tells of another proxy's hosts.
    pub fn load(&mut self, owner: Option<&str>) -> LoadedSnapshot {
        let mut found = LoadedSnapshot::default();
        self.newest = None;
        for (slot, file) in SLOTS.into_iter().enumerate() {
            let read = match self.files.read(file, LONGEST) {
                Err(e) if e.kind() == io::ErrorKind::NotFound => continue,
                Err(e) => Err(e.to_string()),
                Ok(bytes) => read(&bytes),
            };
            let own = read.and_then(|snapshot| match owner {
                Some(owner) if snapshot.owner != owner => {
                    Err(format!("foreign: it is of {:?}", snapshot.owner))
                }
                _ => Ok(snapshot),
            });
            match own {
                Err(why) => found.troubles.push(FileProblem { file, why }),
                Ok(snapshot) if self.newest.is_none_or(|(seq, _)| snapshot.seq > seq) => {
                    self.newest = Some((snapshot.seq, slot));
                    found.snapshot = Some(snapshot);
                }
                Ok(_) => {}
            }
        }
        found
    }

    /// Writes a snapshot over the older of the two; once it returns well, the snapshot outlives a loss of power. The
    /// number of bytes written.
    pub fn save(&mut self, snapshot: &mut Snapshot) -> io::Result<usize> {
        let (seq, slot) = self
            .newest
            .map_or((1, 0), |(seq, slot)| (seq + 1, 1 - slot));
        snapshot.seq = seq;
        let bytes = write(snapshot);
        if bytes.len() > LONGEST {
            return Err(io::Error::other("longer than what is read again"));
        }
        self.files.write(PART, &bytes)?;
        self.files.sync(PART)?;
        self.files.rename(PART, SLOTS[slot])?;
        // From here on the older file may be gone, so the next one goes over the other.
        self.newest = Some((seq, slot));
        self.files.sync_folder()?;
        Ok(bytes.len())
    }

    /// Takes all of it away.
    pub fn clear(&mut self) -> io::Result<()> {
        for file in SLOTS.into_iter().chain([PART]) {
            match self.files.remove(file) {
                Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
                _ => {}
            }
        }
        self.newest = None;
        self.files.sync_folder()
    }

    pub fn files(&mut self) -> &mut F {
        &mut self.files
    }
}
