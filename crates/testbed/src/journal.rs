//! Summarizes the journal of the simulator's benchmark: the scores of each kind of generated scenario over its seeds,
//! and which of the drawn parameters correlate with the score.
//!
//! It reads the JSON records that the benchmark wrote and nothing else. In records and in the printed tables a
//! generated scenario is called a day, a run of it a play, and a fault a trouble.
//!
//! - `record.rs`: the parts of a record that are read, and the scenarios and runs in it;
//! - `effects.rs`: the effect of each parameter on the score;
//! - `statistics.rs`: the mean;
//! - `table.rs`: the printed tables.

mod effects;
mod record;
mod statistics;
mod table;

use record::{GeneratedScenario, JournalRecord, RunRecord};
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Longest record that is read, in bytes; a longer file counts as unreadable.
const MAX_RECORD_BYTES: u64 = 4 << 20;

/// Largest number of entries of a folder that are looked at; further ones are ignored.
const MAX_FOLDER_ENTRIES: usize = 100_000;

/// An error while reading a folder of records.
#[derive(Debug, Error)]
pub enum JournalError {
    /// The folder cannot be listed.
    #[error("{}: {source}", folder.display())]
    Folder {
        /// The folder.
        folder: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// None of the folder's files is a record.
    #[error("{}: no record can be read", folder.display())]
    NoRecord {
        /// The folder.
        folder: PathBuf,
    },
}

/// The runs of generated scenarios that were read from records.
#[derive(Debug, Default)]
pub struct Journal {
    /// All runs of each generated scenario, by its kind and seed.
    runs: BTreeMap<(String, u64), Vec<RunRecord>>,
    /// Number of records read.
    records: usize,
    /// Number of files that cannot be read as records.
    unreadable: usize,
}

impl Journal {
    /// Reads all `.json` files of a folder. Only runs of scenarios whose name contains `kind` count.
    pub fn from_folder(folder: &Path, kind: &str) -> Result<Journal, JournalError> {
        let failed = |source: io::Error| JournalError::Folder {
            folder: folder.to_path_buf(),
            source,
        };
        let mut journal = Journal::default();
        for entry in std::fs::read_dir(folder)
            .map_err(failed)?
            .take(MAX_FOLDER_ENTRIES)
        {
            let path = entry.map_err(failed)?.path();
            if path.extension().is_none_or(|extension| extension != "json") {
                continue;
            }
            match read_record(&path) {
                Some(text) => journal.add_record(&text, kind),
                None => journal.unreadable += 1,
            }
        }
        if journal.records == 0 {
            let folder = folder.to_path_buf();
            return Err(JournalError::NoRecord { folder });
        }
        Ok(journal)
    }

    /// Adds a record from its JSON text, or counts it as unreadable if it is not a record. Only runs with a seed and a
    /// score, of scenarios whose name contains `kind`, are added.
    pub fn add_record(&mut self, text: &[u8], kind: &str) {
        let Ok(record) = serde_json::from_slice::<JournalRecord>(text) else {
            self.unreadable += 1;
            return;
        };
        self.records += 1;
        for run in record.into_runs() {
            let counts = run.name.contains(kind) && run.score.is_some();
            if let Some(seed) = run.seed.filter(|_| counts) {
                self.runs.entry((run.kind(), seed)).or_default().push(run);
            }
        }
    }

    fn scenarios(&self) -> Vec<GeneratedScenario> {
        self.runs
            .iter()
            .map(|((kind, seed), runs)| GeneratedScenario::new(kind, *seed, runs))
            .collect()
    }
}

/// The bytes of a file; `None` if it is longer than [`MAX_RECORD_BYTES`] or cannot be read.
fn read_record(path: &Path) -> Option<Vec<u8>> {
    let length = std::fs::metadata(path).ok()?.len();
    if length > MAX_RECORD_BYTES {
        return None;
    }
    std::fs::read(path).ok()
}
