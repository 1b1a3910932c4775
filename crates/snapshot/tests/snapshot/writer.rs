//! The writer thread, the lock and the directory, on the system's file system.

use crate::OWNER;
use crate::simulated_disk::snapshot;
use asterramp_snapshot::{SnapshotDirectory, SnapshotStore, SnapshotWriter, WriterEvent};
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// How long anything here may take.
const TIMEOUT: Duration = Duration::from_secs(10);

/// The path of a directory that does not exist yet.
fn directory(name: &str) -> PathBuf {
    let name = format!("asterramp-state-{}-{name}", std::process::id());
    let path = std::env::temp_dir().join(name);
    let _ = std::fs::remove_dir_all(&path);
    path
}

fn wait_until(mut done: impl FnMut() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !done() {
        assert!(Instant::now() < deadline, "it took over 10 s");
        std::thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn a_second_process_writes_once_the_first_has_released_the_directory() {
    let path = directory("two");
    let open = || SnapshotDirectory::open(&path).unwrap();
    let first = SnapshotWriter::start(open(), OWNER.into()).unwrap();
    first.submit(snapshot(1));
    wait_until(|| {
        SnapshotStore::new(open())
            .load(Some(OWNER))
            .snapshot
            .is_some()
    });
    let second = SnapshotWriter::start(open(), OWNER.into()).unwrap();
    let mut outcomes = Vec::new();
    wait_until(|| {
        outcomes.extend(second.take_events());
        outcomes
            .iter()
            .any(|outcome| matches!(outcome, WriterEvent::DirectoryLocked))
    });
    second.submit(snapshot(2));
    first.submit(snapshot(3));
    assert!(matches!(
        first.close().last(),
        Some(WriterEvent::Saved { sequence: 2, .. })
    ));
    wait_until(|| {
        outcomes.extend(second.take_events());
        outcomes
            .iter()
            .any(|outcome| matches!(outcome, WriterEvent::Saved { sequence: 3, .. }))
    });
    assert!(
        outcomes
            .iter()
            .any(|outcome| matches!(outcome, WriterEvent::DirectoryAcquired))
    );
    second.close();
    let loaded = SnapshotStore::new(open()).load(Some(OWNER));
    assert_eq!(loaded.snapshot.map(|s| s.list_revision), Some(2));
    std::fs::remove_dir_all(path).unwrap();
}

#[test]
fn a_disk_that_cannot_be_written_is_reported_and_delays_nobody() {
    let path = directory("bad");
    let opened = SnapshotDirectory::open(&path).unwrap();
    let writer = SnapshotWriter::start(opened, OWNER.into()).unwrap();
    // A directory in place of the temporary file, which no user may write to as a file.
    std::fs::create_dir(path.join("state.part")).unwrap();
    writer.submit(snapshot(1));
    let outcomes = writer.close();
    assert!(
        matches!(outcomes.last(), Some(WriterEvent::Failed(_))),
        "{outcomes:?}"
    );
    std::fs::remove_dir_all(path).unwrap();
    assert!(SnapshotDirectory::open(&directory("none").join("deeper")).is_err());
}

#[test]
fn what_is_not_a_file_is_reported_and_clear_removes_everything() {
    let path = directory("odd");
    let mut store = SnapshotStore::new(SnapshotDirectory::open(&path).unwrap());
    store.save(&mut snapshot(1)).unwrap();
    store.save(&mut snapshot(2)).unwrap();
    std::fs::remove_file(path.join("state.0")).unwrap();
    std::fs::create_dir(path.join("state.0")).unwrap();
    let loaded = store.load(Some(OWNER));
    assert_eq!(
        (
            loaded.unusable_files.len(),
            loaded.snapshot.map(|s| s.list_revision)
        ),
        (1, Some(2))
    );
    std::fs::remove_dir(path.join("state.0")).unwrap();
    store.clear().unwrap();
    let loaded = store.load(None);
    assert!(loaded.snapshot.is_none() && loaded.unusable_files.is_empty());
    std::fs::remove_dir_all(path).unwrap();
}
