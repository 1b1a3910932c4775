//! `asterramp state`: what is kept on disk, for whoever looks after it.

use asterramp_snapshot::{LoadedSnapshot, SnapshotDirectory, SnapshotStore};
use clap::Subcommand;
use std::path::{Path, PathBuf};

#[derive(Subcommand)]
pub enum StateWhat {
    /// Tells what the newest whole snapshot holds.
    Show {
        folder: PathBuf,
        /// As JSON, a line.
        #[arg(long)]
        json: bool,
    },
    /// Reads both files, tells all that is wrong with them, and fails unless one is whole.
    Verify { folder: PathBuf },
    /// Takes them away, unless a proxy holds the folder.
    Clear { folder: PathBuf },
}

pub fn perform(what: StateWhat) -> Result<(), String> {
    match what {
        StateWhat::Show { folder, json } => show(&folder, json),
        StateWhat::Verify { folder } => verify(&folder),
        StateWhat::Clear { folder } => clear(&folder),
    }
}

fn at(folder: &Path) -> Result<SnapshotDirectory, String> {
    if !folder.is_dir() {
        return Err(format!("{}: no folder", folder.display()));
    }
    SnapshotDirectory::open(folder).map_err(|e| format!("{}: {e}", folder.display()))
}

/// The newest whole snapshot; what is wrong with files goes to standard error.
fn found(folder: &Path) -> Result<LoadedSnapshot, String> {
    let found = SnapshotStore::new(at(folder)?).load(None);
    found
        .troubles
        .iter()
        .for_each(|t| eprintln!("asterramp: {}/{}: {}", folder.display(), t.file, t.why));
    Ok(found)
}

fn show(folder: &Path, json: bool) -> Result<(), String> {
    let none = || format!("{}: no whole snapshot", folder.display());
    let snapshot = found(folder)?.snapshot.ok_or_else(none)?;
    if json {
        println!(
            "{}",
            serde_json::to_string(&snapshot).map_err(|e| e.to_string())?
        );
        return Ok(());
    }
    let end = if snapshot.clean {
        "left in good order"
    } else {
        "was running"
    };
    let (owner, seq, rev, term) = (&snapshot.owner, snapshot.seq, snapshot.rev, snapshot.term);
    println!(
        "snapshot {seq} of {owner}, saved at {} ms; the proxy {end}; list {rev}, term {term}",
        snapshot.saved_ms
    );
    for host in &snapshot.hosts {
        let (unit, heard) = (
            host.unit.map_or("-".into(), |unit| format!("{unit:.4}")),
            host.heard_ms.unwrap_or(0),
        );
        println!(
            "{} {} {} {:?} unit={unit} heard={heard}",
            host.uid, host.endpoint, host.zone, host.standing
        );
    }
    Ok(())
}

fn verify(folder: &Path) -> Result<(), String> {
    let found = found(folder)?;
    match (found.snapshot, found.troubles.len()) {
        (Some(snapshot), 0) => {
            println!(
                "snapshot {} is whole, {} hosts",
                snapshot.seq,
                snapshot.hosts.len()
            );
            Ok(())
        }
        (Some(snapshot), bad) => Err(format!(
            "{bad} of 2 files cannot be used; snapshot {} is whole",
            snapshot.seq
        )),
        (None, _) => Err(format!("{}: no whole snapshot", folder.display())),
    }
}

fn clear(folder: &Path) -> Result<(), String> {
    let (folder, name) = (at(folder)?, folder.display());
    let lock = folder.lock().map_err(|e| format!("{name}: {e}"))?;
    let held = lock.ok_or_else(|| format!("{name}: a proxy holds it; stop that first"))?;
    SnapshotStore::new(folder)
        .clear()
        .map_err(|e| format!("{name}: {e}"))?;
    drop(held);
    Ok(())
}
