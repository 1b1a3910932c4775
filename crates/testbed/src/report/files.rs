//! The files that a report is written to.

use super::charts;
use super::types::Report;
use crate::event_log::{Event, LoggedEvent};
use crate::plots::ChartError;
use crate::run::RunOutcome;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why results could not be written into a folder.
#[derive(Debug, Error)]
#[error("{}: {source}", folder.display())]
pub struct WriteError {
    folder: PathBuf,
    source: WriteErrorSource,
}

impl WriteError {
    /// For a folder that `source` happened in.
    pub(crate) fn new(folder: &Path, source: impl Into<WriteErrorSource>) -> WriteError {
        WriteError {
            folder: folder.to_path_buf(),
            source: source.into(),
        }
    }
}

/// What kept a file from being written.
#[derive(Debug, Error)]
pub(crate) enum WriteErrorSource {
    /// The folder or a file in it cannot be written.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The report has no JSON form.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A chart cannot be drawn.
    #[error(transparent)]
    Chart(#[from] ChartError),
}

impl Report {
    /// Writes `report.json`, the faults' times and the charts into a folder.
    pub fn write(&self, folder: &Path, ran: &RunOutcome) -> Result<(), WriteError> {
        self.write_files(folder, ran)
            .map_err(|source| WriteError::new(folder, source))
    }

    fn write_files(&self, folder: &Path, ran: &RunOutcome) -> Result<(), WriteErrorSource> {
        std::fs::create_dir_all(folder)?;
        let json = serde_json::to_string_pretty(self)?;
        std::fs::write(folder.join("report.json"), json)?;
        std::fs::write(folder.join("faults.txt"), fault_lines(&ran.events))?;
        Ok(charts::draw(self, ran, folder)?)
    }
}

/// When faults began and ended, a line each.
fn fault_lines(events: &[LoggedEvent]) -> String {
    let mut lines = String::new();
    for event in events {
        if let Event::Fault { what, begins } = &event.seen {
            let word = if *begins { "begins" } else { "ends" };
            let seconds = event.at.as_secs_f64();
            lines.push_str(&format!("{seconds:>9.3} s  {what} {word}\n"));
        }
    }
    lines
}
