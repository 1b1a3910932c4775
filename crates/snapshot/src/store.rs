//! Loads and saves snapshots in two generations, which are replaced in turn.
//!
//! | step of a save | on disk if power fails after it |
//! | --- | --- |
//! | write the temporary file | both generations as before, and a temporary file that is never read |
//! | sync the temporary file | the same |
//! | rename it over the older generation | both generations as before, or the new one in place of the older |
//! | sync the directory | the new generation and the one before it |

use crate::error::{FileError, SaveError};
use crate::files::SnapshotFiles;
use crate::format::{MAX_FILE_BYTES, decode, encode};
use crate::model::Snapshot;
use std::io;

/// The files of the two generations. A slot is an index into this list.
const GENERATION_FILES: [&str; 2] = ["state.0", "state.1"];
/// The file that a save writes and then renames over the older generation.
const TEMPORARY_FILE: &str = "state.part";
/// Sequence number of the first snapshot in a directory.
const FIRST_SEQUENCE: u64 = 1;

/// A file that a load did not use.
#[derive(Debug)]
pub struct UnusableFile {
    /// Name of the file within the directory.
    pub file: &'static str,
    /// Why it was not used.
    pub error: FileError,
}

/// Result of loading the generations from disk.
#[derive(Debug, Default)]
pub struct LoadedSnapshot {
    /// The newest snapshot that can be used; `None` if there is none.
    pub snapshot: Option<Snapshot>,
    /// The files that could not be used, in the order of their names. A missing file is not included.
    pub unusable_files: Vec<UnusableFile>,
}

/// Sequence number of a snapshot and the slot that holds it.
#[derive(Clone, Copy, Debug)]
struct Generation {
    sequence: u64,
    slot: usize,
}

/// Loads and saves the two generations of a snapshot.
#[derive(Debug)]
pub struct SnapshotStore<S> {
    files: S,
    /// The newest usable generation on disk; `None` if there is none or nothing has been loaded or saved.
    newest: Option<Generation>,
}

impl<S: SnapshotFiles> SnapshotStore<S> {
    /// A store that has not read the disk. Without a call of [`load`](Self::load) first, the sequence numbers of saves
    /// start at 1, and saves replace existing files.
    pub fn new(files: S) -> SnapshotStore<S> {
        SnapshotStore {
            files,
            newest: None,
        }
    }

    /// Reads both generations and returns the usable one with the higher sequence number, from which later saves
    /// continue.
    ///
    /// With an `owner`, a snapshot of any other owner is refused, because it lists another proxy's endpoints. Without
    /// one, snapshots of all owners are accepted.
    pub fn load(&mut self, owner: Option<&str>) -> LoadedSnapshot {
        let mut loaded = LoadedSnapshot::default();
        self.newest = None;
        for (slot, file) in GENERATION_FILES.into_iter().enumerate() {
            match self.read_generation(file, owner) {
                Ok(Some(snapshot)) if self.is_newer(&snapshot) => {
                    let sequence = snapshot.sequence;
                    self.newest = Some(Generation { sequence, slot });
                    loaded.snapshot = Some(snapshot);
                }
                Ok(_) => {}
                Err(error) => loaded.unusable_files.push(UnusableFile { file, error }),
            }
        }
        loaded
    }

    /// The snapshot in one file; `None` if the file does not exist.
    fn read_generation(
        &mut self,
        file: &str,
        owner: Option<&str>,
    ) -> Result<Option<Snapshot>, FileError> {
        let bytes = match self.files.read(file, MAX_FILE_BYTES) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(error.into()),
        };
        let snapshot = decode(&bytes)?;
        match owner {
            Some(owner) if snapshot.owner != owner => Err(FileError::OwnerMismatch {
                owner: snapshot.owner,
            }),
            _ => Ok(Some(snapshot)),
        }
    }

    fn is_newer(&self, snapshot: &Snapshot) -> bool {
        self.newest
            .is_none_or(|newest| snapshot.sequence > newest.sequence)
    }

    /// Sets the snapshot's sequence number and saves it in place of the older generation. Once this returns `Ok`, the
    /// snapshot survives a loss of power. Returns the number of bytes written.
    ///
    /// # Errors
    ///
    /// [`SaveError::TooLong`] before anything is written; [`SaveError::Io`] if a step fails; at least one complete
    /// generation is left if there was one.
    pub fn save(&mut self, snapshot: &mut Snapshot) -> Result<usize, SaveError> {
        let next = self.next_generation();
        snapshot.sequence = next.sequence;
        let bytes = encode(snapshot);
        if bytes.len() > MAX_FILE_BYTES {
            return Err(SaveError::TooLong { len: bytes.len() });
        }
        self.files.write(TEMPORARY_FILE, &bytes)?;
        self.files.sync(TEMPORARY_FILE)?;
        self.files
            .rename(TEMPORARY_FILE, GENERATION_FILES[next.slot])?;
        // The older generation may be replaced from here on even if the sync fails, so the next save uses the other
        // slot.
        self.newest = Some(next);
        self.files.sync_directory()?;
        Ok(bytes.len())
    }

    /// Sequence number and slot of the next snapshot: the slot that does not hold the newest one, at first slot 0.
    fn next_generation(&self) -> Generation {
        match self.newest {
            None => Generation {
                sequence: FIRST_SEQUENCE,
                slot: 0,
            },
            Some(newest) => Generation {
                sequence: newest.sequence + 1,
                slot: 1 - newest.slot,
            },
        }
    }

    /// Removes both generations and the temporary file.
    ///
    /// # Errors
    ///
    /// If a file that exists cannot be removed, or the directory cannot be synced.
    pub fn clear(&mut self) -> io::Result<()> {
        for file in GENERATION_FILES.into_iter().chain([TEMPORARY_FILE]) {
            match self.files.remove(file) {
                Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
                _ => {}
            }
        }
        self.newest = None;
        self.files.sync_directory()
    }

    /// The disk that the store uses.
    pub fn files_mut(&mut self) -> &mut S {
        &mut self.files
    }
}
