//! The writer thread, the lock and the directory, on a file system of the machine.

use crate::OWNER;
use crate::simulated_disk::snapshot;
use asterramp_snapshot::{SnapshotDirectory, SnapshotStore, SnapshotWriter, WriterEvent};
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Longest time that a test waits for a condition.
const TIMEOUT: Duration = Duration::from_secs(10);

/// The path of a directory that does not exist yet.
fn directory(name: &str) -> PathBuf {
    let name = format!("asterramp-state-{}-{name}", std::process::id());
    let path = std::env::temp_dir().join(name);
    let _ = std::fs::remove_dir_all(&path);
    path
}

fn wait_until(mut is_done: impl FnMut() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !is_done() {
        assert!(
            Instant::now() < deadline,
            "the condition was not met within 10 s"
        );
        std::thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn a_second_writer_saves_once_the_first_has_released_the_directory() {
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
    let mut events = Vec::new();
    wait_until(|| {
        events.extend(second.take_events());
        events
            .iter()
            .any(|event| matches!(event, WriterEvent::DirectoryLocked))
    });
    second.submit(snapshot(2));
    first.submit(snapshot(3));
    assert!(matches!(
        first.close().last(),
        Some(WriterEvent::Saved { sequence: 2, .. })
    ));
    wait_until(|| {
        events.extend(second.take_events());
        events
            .iter()
            .any(|event| matches!(event, WriterEvent::Saved { sequence: 3, .. }))
    });
    assert!(
        events
            .iter()
            .any(|event| matches!(event, WriterEvent::DirectoryAcquired))
    );
    second.close();
    let loaded = SnapshotStore::new(open()).load(Some(OWNER));
    assert_eq!(
        loaded.snapshot.map(|snapshot| snapshot.list_revision),
        Some(2)
    );
    std::fs::remove_dir_all(path).unwrap();
}

#[test]
fn a_failed_save_is_reported_and_does_not_delay_the_caller() {
    let path = directory("bad");
    let snapshot_directory = SnapshotDirectory::open(&path).unwrap();
    let writer = SnapshotWriter::start(snapshot_directory, OWNER.into()).unwrap();
    // A directory in place of the temporary file: no user, not even root, can open it for writing.
    std::fs::create_dir(path.join("state.part")).unwrap();
    writer.submit(snapshot(1));
    let events = writer.close();
    assert!(
        matches!(events.last(), Some(WriterEvent::Failed(_))),
        "{events:?}"
    );
    std::fs::remove_dir_all(path).unwrap();
    assert!(SnapshotDirectory::open(&directory("none").join("deeper")).is_err());
}

#[test]
fn a_directory_in_place_of_a_generation_is_reported_and_clear_removes_all_files() {
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
            loaded.snapshot.map(|snapshot| snapshot.list_revision)
        ),
        (1, Some(2))
    );
    std::fs::remove_dir(path.join("state.0")).unwrap();
    store.clear().unwrap();
    let loaded = store.load(None);
    assert!(loaded.snapshot.is_none() && loaded.unusable_files.is_empty());
    std::fs::remove_dir_all(path).unwrap();
}
