//! Writes a report's files: `report.json`, `faults.txt` and the charts.

use super::charts;
use super::types::Report;
use crate::event_log::{Event, LoggedEvent};
use crate::plots::ChartError;
use crate::run::RunOutcome;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// An error while writing results into a folder.
#[derive(Debug, Error)]
#[error("{}: {source}", folder.display())]
pub struct WriteError {
    folder: PathBuf,
    source: WriteErrorSource,
}

impl WriteError {
    /// An error with cause `source` while writing into `folder`.
    pub(crate) fn new(folder: &Path, source: impl Into<WriteErrorSource>) -> WriteError {
        WriteError {
            folder: folder.to_path_buf(),
            source: source.into(),
        }
    }
}

/// The cause of a [`WriteError`].
#[derive(Debug, Error)]
pub(crate) enum WriteErrorSource {
    /// The folder cannot be created, or a file in it cannot be written.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The report cannot be serialized to JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A chart cannot be drawn.
    #[error(transparent)]
    Chart(#[from] ChartError),
}

impl Report {
    /// Writes `report.json`, `faults.txt` (when faults began and ended) and the charts into a folder, which is created
    /// if necessary.
    pub fn write(&self, folder: &Path, outcome: &RunOutcome) -> Result<(), WriteError> {
        self.write_files(folder, outcome)
            .map_err(|source| WriteError::new(folder, source))
    }

    fn write_files(&self, folder: &Path, outcome: &RunOutcome) -> Result<(), WriteErrorSource> {
        std::fs::create_dir_all(folder)?;
        let json = serde_json::to_string_pretty(self)?;
        std::fs::write(folder.join("report.json"), json)?;
        std::fs::write(folder.join("faults.txt"), fault_lines(&outcome.events))?;
        Ok(charts::draw(self, outcome, folder)?)
    }
}

/// One line for each begin or end of a fault.
fn fault_lines(events: &[LoggedEvent]) -> String {
    let mut lines = String::new();
    for event in events {
        if let Event::Fault { what, begins } = &event.seen {
            let change = if *begins { "begins" } else { "ends" };
            let seconds = event.at.as_secs_f64();
            lines.push_str(&format!("{seconds:>9.3} s  {what} {change}\n"));
        }
    }
    lines
}
