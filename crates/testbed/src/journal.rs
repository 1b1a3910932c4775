//! Sums the records of simulated days: what each kind of day scored over its seeds, and which draw goes with the loss.
//!
//! It reads what the simulator's bench has written and nothing else.
//!
//! - `record.rs`: a record as far as it is read, and the days in it;
//! - `effects.rs`: how each draw goes with the score;
//! - `statistics.rs`: the mean;
//! - `table.rs`: the tables.

mod effects;
mod record;
mod statistics;
mod table;

use record::{GeneratedScenario, JournalRecord, RunRecord};
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Longest record that is read, in bytes.
const MAX_RECORD_BYTES: u64 = 4 << 20;

/// Most records that are read.
const MAX_RECORDS: usize = 100_000;

/// Why a folder of records could not be summed.
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
    /// None of its files is a record.
    #[error("{}: no record can be read", folder.display())]
    NoRecord {
        /// The folder.
        folder: PathBuf,
    },
}

/// Records of simulated days.
#[derive(Debug, Default)]
pub struct Journal {
    /// By kind and seed, every play of the day.
    days: BTreeMap<(String, u64), Vec<RunRecord>>,
    records: usize,
    /// Files that cannot be read as records.
    unreadable: usize,
}

impl Journal {
    /// All records of a folder; of their days those count whose name contains `kind`.
    pub fn from_folder(folder: &Path, kind: &str) -> Result<Journal, JournalError> {
        let failed = |source: io::Error| JournalError::Folder {
            folder: folder.to_path_buf(),
            source,
        };
        let mut journal = Journal::default();
        for entry in std::fs::read_dir(folder).map_err(failed)?.take(MAX_RECORDS) {
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

    /// Takes in a record's bytes; what is no record is counted as unreadable.
    pub fn add_record(&mut self, text: &[u8], kind: &str) {
        let Ok(record) = serde_json::from_slice::<JournalRecord>(text) else {
            self.unreadable += 1;
            return;
        };
        self.records += 1;
        for day in record.into_runs() {
            let counts = day.name.contains(kind) && day.score.is_some();
            if let Some(seed) = day.seed.filter(|_| counts) {
                self.days.entry((day.kind(), seed)).or_default().push(day);
            }
        }
    }

    fn drawn_days(&self) -> Vec<GeneratedScenario> {
        self.days
            .iter()
            .map(|((kind, seed), plays)| GeneratedScenario::new(kind, *seed, plays))
            .collect()
    }
}

/// None for a file that is too long or cannot be read.
fn read_record(path: &Path) -> Option<Vec<u8>> {
    let length = std::fs::metadata(path).ok()?.len();
    if length > MAX_RECORD_BYTES {
        return None;
    }
    std::fs::read(path).ok()
}
