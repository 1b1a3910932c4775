//! What is read of bytes of any kind, and the system's folder, lock and thread.
#![allow(
    missing_docs,
    unreachable_pub,
    missing_debug_implementations,
    rust_2018_idioms
)] // Not yet brought to the workspace lints.
#![allow(clippy::too_many_lines, clippy::cognitive_complexity)] // Not yet brought to the workspace lints.

mod crash;
mod help;

use asterramp_snapshot::{
    LONGEST, SaveOutcome, Snapshot, SnapshotDirectory, SnapshotStore, SnapshotWriter, read, write,
};
use help::{Disk, snapshot};
use std::path::PathBuf;
use std::time::{Duration, Instant};
use test_case::test_case;

const OWNER: &str = "127.0.0.1:7000";

fn altered(change: impl Fn(&mut Vec<u8>)) -> Vec<u8> {
    let mut bytes = write(&snapshot(2));
    change(&mut bytes);
    bytes
}

fn with_head(from: &str, to: &str) -> Vec<u8> {
    let bytes = write(&snapshot(2));
    let text = String::from_utf8(bytes).unwrap();
    text.replacen(from, to, 1).into_bytes()
}

#[test_case(Vec::new(), "empty"; "nothing")]
#[test_case(b"{}".to_vec(), "first line"; "no first line")]
#[test_case(b"another v=1 len=0 crc=0\n".to_vec(), "first line"; "another program's")]
#[test_case(vec![0xff; 200], "first line"; "no text")]
#[test_case(altered(|b| b.truncate(b.len() - 1)), "bytes of"; "a byte short")]
#[test_case(altered(|b| b.push(b'x')), "bytes of"; "a byte more")]
#[test_case(altered(|b| { let n = b.len(); b[n / 2] ^= 1 }), "checksum is wrong"; "a bit flipped")]
#[test_case(altered(|b| { let n = b.len(); b[n / 2..].fill(0) }), "checksum is wrong"; "half of it zeros")]
#[test_case(with_head("v=1", "v=2"), "version 2, newer"; "a newer version")]
#[test_case(with_head("v=1", "v=0"), "version 0, older"; "an older version")]
#[test_case(with_head("v=1", "v=x"), "version cannot"; "no version")]
#[test_case(with_head("len=", "len=-"), "length cannot"; "no length")]
#[test_case(with_head("crc=", "crc=z"), "checksum cannot"; "no checksum")]
fn what_cannot_be_read_says_why_and_the_other_file_serves(bytes: Vec<u8>, why: &str) {
    let found = read(&bytes);
    assert!(
        found.as_ref().is_err_and(|said| said.contains(why)),
        "{found:?}"
    );
    let mut disk = Disk::default();
    disk.put("state.0", &bytes);
    disk.put(
        "state.1",
        &write(&Snapshot {
            seq: 7,
            ..snapshot(1)
        }),
    );
    let found = SnapshotStore::new(disk).load(Some(OWNER));
    assert_eq!(found.troubles.len(), 1);
    assert_eq!(found.snapshot.map(|s| s.rev), Some(1));
}

#[test]
fn every_prefix_of_a_snapshot_is_none() {
    let bytes = write(&snapshot(2));
    assert!((0..bytes.len()).all(|n| read(&bytes[..n]).is_err()));
    assert_eq!(read(&bytes).unwrap(), snapshot(2));
}

#[test]
fn the_higher_number_is_the_newer_whatever_the_clock_says() {
    let mut disk = Disk::default();
    disk.put(
        "state.0",
        &write(&Snapshot {
            seq: 9,
            saved_ms: 5,
            ..snapshot(9)
        }),
    );
    disk.put(
        "state.1",
        &write(&Snapshot {
            seq: 8,
            saved_ms: u64::MAX,
            ..snapshot(8)
        }),
    );
    assert_eq!(
        SnapshotStore::new(disk).load(None).snapshot.map(|s| s.rev),
        Some(9)
    );
}

#[test]
fn another_proxys_snapshot_is_foreign_and_absurd_sizes_are_not_read() {
    let mut disk = Disk::default();
    disk.put("state.0", &write(&snapshot(1)));
    disk.put("state.1", &vec![b'x'; LONGEST + 1]);
    let found = SnapshotStore::new(disk).load(Some("127.0.0.1:7001"));
    assert!(found.snapshot.is_none());
    assert!(
        found.troubles[0].why.contains("foreign") && found.troubles[1].why.contains("long"),
        "{found:?}"
    );
}

fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("asterramp-state-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    path
}

fn until(mut done: impl FnMut() -> bool) {
    let by = Instant::now() + Duration::from_secs(10);
    while !done() {
        assert!(Instant::now() < by, "it took over 10 s");
        std::thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn a_second_process_writes_once_the_first_has_gone() {
    let path = folder("two");
    let open = || SnapshotDirectory::open(&path).unwrap();
    let first = SnapshotWriter::start(open(), OWNER.into()).unwrap();
    first.save(snapshot(1));
    until(|| {
        SnapshotStore::new(open())
            .load(Some(OWNER))
            .snapshot
            .is_some()
    });
    let second = SnapshotWriter::start(open(), OWNER.into()).unwrap();
    let mut told = Vec::new();
    until(|| {
        told.extend(second.told());
        told.contains(&SaveOutcome::Held)
    });
    second.save(snapshot(2));
    first.save(snapshot(3));
    assert!(matches!(
        first.close().last(),
        Some(SaveOutcome::Saved { seq: 2, .. })
    ));
    until(|| {
        told.extend(second.told());
        told.iter()
            .any(|told| matches!(told, SaveOutcome::Saved { seq: 3, .. }))
    });
    assert!(told.contains(&SaveOutcome::Taken));
    second.close();
    assert_eq!(
        SnapshotStore::new(open())
            .load(Some(OWNER))
            .snapshot
            .map(|s| s.rev),
        Some(2)
    );
    std::fs::remove_dir_all(path).unwrap();
}

#[test]
fn a_disk_that_cannot_be_written_says_so_and_holds_nobody_up() {
    let path = folder("bad");
    let writer =
        SnapshotWriter::start(SnapshotDirectory::open(&path).unwrap(), OWNER.into()).unwrap();
    // A folder in place of the part, which no user may write to as a file.
    std::fs::create_dir(path.join("state.part")).unwrap();
    writer.save(snapshot(1));
    let told = writer.close();
    assert!(
        matches!(told.last(), Some(SaveOutcome::Failed(_))),
        "{told:?}"
    );
    std::fs::remove_dir_all(path).unwrap();
    assert!(SnapshotDirectory::open(&folder("none").join("deeper")).is_err());
}

#[test]
fn what_is_not_a_file_is_a_trouble_and_clear_takes_all() {
    let path = folder("odd");
    let mut store = SnapshotStore::new(SnapshotDirectory::open(&path).unwrap());
    store.save(&mut snapshot(1)).unwrap();
    store.save(&mut snapshot(2)).unwrap();
    std::fs::remove_file(path.join("state.0")).unwrap();
    std::fs::create_dir(path.join("state.0")).unwrap();
    let found = store.load(Some(OWNER));
    assert_eq!(
        (found.troubles.len(), found.snapshot.map(|s| s.rev)),
        (1, Some(2))
    );
    std::fs::remove_dir(path.join("state.0")).unwrap();
    store.clear().unwrap();
    assert!(store.load(None) == Default::default());
    std::fs::remove_dir_all(path).unwrap();
}
