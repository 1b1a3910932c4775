//! The two generations of a snapshot, written in turn.
//!
//! | step of a save | on disk if power fails after it |
//! | --- | --- |
//! | write the temporary file | both generations as before, and a temporary file that nobody reads |
//! | sync the temporary file | the same |
//! | rename it over the older generation | both as before, or the new one in place of the older |
//! | sync the directory | the new one and the one before it |

use crate::error::{FileError, SaveError};
use crate::files::SnapshotFiles;
use crate::format::{MAX_FILE_BYTES, decode, encode};
use crate::model::Snapshot;
use std::io;

/// The files of the two generations; a slot is an index into them.
const GENERATION_FILES: [&str; 2] = ["state.0", "state.1"];
/// The file that a save writes before it takes the place of the older generation.
const TEMPORARY_FILE: &str = "state.part";
/// Sequence number of the first snapshot in a directory.
const FIRST_SEQUENCE: u64 = 1;

/// A file that a load did not use.
#[derive(Debug)]
pub struct UnusableFile {
    /// Its name within the directory.
    pub file: &'static str,
    /// Why it was not used.
    pub error: FileError,
}

/// What a load found on disk.
#[derive(Debug, Default)]
pub struct LoadedSnapshot {
    /// The newest complete snapshot; `None` if there is none.
    pub snapshot: Option<Snapshot>,
    /// The files that could not be used, in the order of their names. A file that is missing is not among them.
    pub unusable_files: Vec<UnusableFile>,
}

/// The newest generation on disk.
#[derive(Clone, Copy, Debug)]
struct Generation {
    sequence: u64,
    slot: usize,
}

/// Loads and saves the two generations of a snapshot.
#[derive(Debug)]
pub struct SnapshotStore<S> {
    files: S,
    newest: Option<Generation>,
}

impl<S: SnapshotFiles> SnapshotStore<S> {
    /// A store that has not looked at the disk. Without a [`load`](Self::load) first, saves count from 1 and replace
    /// what is there.
    pub fn new(files: S) -> SnapshotStore<S> {
        SnapshotStore {
            files,
            newest: None,
        }
    }

    /// Reads both generations; the one with the higher sequence number is the result, and saves count on from it.
    ///
    /// With an `owner`, the snapshot of any other owner is refused as foreign: it lists another proxy's endpoints.
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

    /// The snapshot in one file; `None` if there is no such file.
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

    /// Saves a snapshot in place of the older generation and numbers it. Once this returns `Ok`, the snapshot survives a
    /// loss of power. Returns the number of bytes written.
    ///
    /// # Errors
    ///
    /// [`SaveError::TooLong`] before anything is written; [`SaveError::Io`] if a step fails, which leaves at least one
    /// complete generation if there was one.
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
        // The older generation may be gone from here on, so the next save replaces the other one.
        self.newest = Some(next);
        self.files.sync_directory()?;
        Ok(bytes.len())
    }

    /// Where the next snapshot goes: the first slot, or the one that does not hold the newest.
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

    /// The disk behind the store.
    pub fn files_mut(&mut self) -> &mut S {
        &mut self.files
    }
}
