//! `asterramp state`: shows, checks and removes the snapshots that a proxy keeps on disk for its next start.

use asterramp_snapshot::{
    LoadedSnapshot, SavedEndpoint, SavedEndpointState, Snapshot, SnapshotDirectory, SnapshotStore,
};
use clap::Subcommand;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

#[derive(Subcommand)]
pub(super) enum StateCommand {
    /// Prints what the newest complete snapshot contains.
    Show {
        /// The directory that the operator's file names as `state.folder`.
        #[arg(value_name = "FOLDER")]
        directory: PathBuf,
        /// Prints it as one line of JSON.
        #[arg(long)]
        json: bool,
    },
    /// Reads both generations, reports what is wrong with them, and fails unless each one on disk can be used.
    Verify {
        /// The directory that the operator's file names as `state.folder`.
        #[arg(value_name = "FOLDER")]
        directory: PathBuf,
    },
    /// Removes both generations, unless a running proxy holds the directory.
    Clear {
        /// The directory that the operator's file names as `state.folder`.
        #[arg(value_name = "FOLDER")]
        directory: PathBuf,
    },
}

/// Why a state command failed. The text is printed and the exit code is 1.
#[derive(Debug, Error)]
pub(super) enum StateCommandError {
    #[error("{}: no folder", directory.display())]
    NotADirectory { directory: PathBuf },
    #[error("{}: {source}", directory.display())]
    Disk {
        directory: PathBuf,
        source: io::Error,
    },
    #[error("{}: no whole snapshot", directory.display())]
    NoSnapshot { directory: PathBuf },
    #[error("{unusable} of 2 files cannot be used; snapshot {sequence} is whole")]
    UnusableFiles { unusable: usize, sequence: u64 },
    #[error("{}: a proxy holds it; stop that first", directory.display())]
    Locked { directory: PathBuf },
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

/// Runs a state command and prints its result.
pub(super) fn run_state_command(command: StateCommand) -> Result<(), StateCommandError> {
    match command {
        StateCommand::Show { directory, json } => show(&directory, json),
        StateCommand::Verify { directory } => verify(&directory),
        StateCommand::Clear { directory } => clear(&directory),
    }
}

fn show(directory: &Path, json: bool) -> Result<(), StateCommandError> {
    let snapshot = load(directory)?
        .snapshot
        .ok_or_else(|| no_snapshot_error(directory))?;
    if json {
        println!("{}", serde_json::to_string(&snapshot)?);
    } else {
        print_snapshot(&snapshot);
    }
    Ok(())
}

fn verify(directory: &Path) -> Result<(), StateCommandError> {
    let loaded = load(directory)?;
    let unusable = loaded.unusable_files.len();
    let snapshot = loaded
        .snapshot
        .ok_or_else(|| no_snapshot_error(directory))?;
    let sequence = snapshot.sequence;
    if unusable > 0 {
        return Err(StateCommandError::UnusableFiles { unusable, sequence });
    }
    let endpoints = snapshot.endpoints.len();
    println!("snapshot {sequence} is whole, {endpoints} hosts");
    Ok(())
}

fn clear(directory: &Path) -> Result<(), StateCommandError> {
    let opened = open(directory)?;
    let lock = opened
        .lock()
        .map_err(|source| disk_error(directory, source))?;
    // Held until the files are removed, so that no proxy starts to write meanwhile.
    let Some(_lock) = lock else {
        return Err(StateCommandError::Locked {
            directory: directory.to_path_buf(),
        });
    };
    SnapshotStore::new(opened)
        .clear()
        .map_err(|source| disk_error(directory, source))
}

/// Opens an existing directory; unlike the proxy, a command does not create it.
fn open(directory: &Path) -> Result<SnapshotDirectory, StateCommandError> {
    if !directory.is_dir() {
        return Err(StateCommandError::NotADirectory {
            directory: directory.to_path_buf(),
        });
    }
    SnapshotDirectory::open(directory).map_err(|source| disk_error(directory, source))
}

/// Loads the newest complete snapshot; files that cannot be used are reported on standard error.
fn load(directory: &Path) -> Result<LoadedSnapshot, StateCommandError> {
    let loaded = SnapshotStore::new(open(directory)?).load(None);
    for problem in &loaded.unusable_files {
        let (path, file, error) = (directory.display(), problem.file, &problem.error);
        eprintln!("asterramp: {path}/{file}: {error}");
    }
    Ok(loaded)
}

fn disk_error(directory: &Path, source: io::Error) -> StateCommandError {
    StateCommandError::Disk {
        directory: directory.to_path_buf(),
        source,
    }
}

fn no_snapshot_error(directory: &Path) -> StateCommandError {
    StateCommandError::NoSnapshot {
        directory: directory.to_path_buf(),
    }
}

fn print_snapshot(snapshot: &Snapshot) {
    let shutdown = if snapshot.clean_shutdown {
        "left in good order"
    } else {
        "was running"
    };
    println!(
        "snapshot {} of {}, saved at {} ms; the proxy {shutdown}; list {}, term {}",
        snapshot.sequence,
        snapshot.owner,
        snapshot.saved_at_ms,
        snapshot.list_revision,
        snapshot.highest_term
    );
    for endpoint in &snapshot.endpoints {
        print_endpoint(endpoint);
    }
}

fn print_endpoint(saved: &SavedEndpoint) {
    let state = match saved.state {
        SavedEndpointState::Ready => "Ready",
        SavedEndpointState::Draining => "Draining",
    };
    let load = saved
        .load_per_connection
        .map_or("-".into(), |load| format!("{load:.4}"));
    let last_report = saved.last_report_ms.unwrap_or(0);
    println!(
        "{} {} {} {state} unit={load} heard={last_report}",
        saved.uid, saved.address, saved.zone
    );
}
