//! Loading of files that are damaged, of another version or of another proxy.

use crate::OWNER;
use crate::simulated_disk::{Disk, snapshot};
use asterramp_snapshot::{MAX_FILE_BYTES, Snapshot, SnapshotStore, decode, encode};
use test_case::test_case;

fn altered(change: impl Fn(&mut Vec<u8>)) -> Vec<u8> {
    let mut bytes = encode(&snapshot(2));
    change(&mut bytes);
    bytes
}

fn with_replaced(original: &str, replacement: &str) -> Vec<u8> {
    let bytes = encode(&snapshot(2));
    let text = String::from_utf8(bytes).unwrap();
    text.replacen(original, replacement, 1).into_bytes()
}

#[test_case(Vec::new(), "empty"; "nothing")]
#[test_case(b"{}".to_vec(), "first line"; "no first line")]
#[test_case(b"another v=1 len=0 crc=0\n".to_vec(), "first line"; "a file of another program")]
#[test_case(vec![0xff; 200], "first line"; "not UTF-8")]
#[test_case(altered(|bytes| bytes.truncate(bytes.len() - 1)), "bytes of"; "a byte short")]
#[test_case(altered(|bytes| bytes.push(b'x')), "bytes of"; "a byte more")]
#[test_case(altered(|bytes| { let middle = bytes.len() / 2; bytes[middle] ^= 1 }), "checksum is wrong"; "a bit flipped")]
#[test_case(altered(|bytes| { let middle = bytes.len() / 2; bytes[middle..].fill(0) }), "checksum is wrong"; "the second half zeros")]
#[test_case(with_replaced("v=1", "v=2"), "version 2, newer"; "a newer version")]
#[test_case(with_replaced("v=1", "v=0"), "version 0, older"; "an older version")]
#[test_case(with_replaced("v=1", "v=x"), "version cannot"; "version not a number")]
#[test_case(with_replaced("len=", "len=-"), "length cannot"; "length not a number")]
#[test_case(with_replaced("crc=", "crc=z"), "checksum cannot"; "checksum not hexadecimal")]
fn a_damaged_file_is_refused_with_its_reason_and_the_other_generation_is_used(
    bytes: Vec<u8>,
    reason: &str,
) {
    let decoded = decode(&bytes);
    assert!(
        decoded
            .as_ref()
            .is_err_and(|error| error.to_string().contains(reason)),
        "{decoded:?}"
    );
    let mut disk = Disk::default();
    disk.put("state.0", &bytes);
    disk.put(
        "state.1",
        &encode(&Snapshot {
            sequence: 7,
            ..snapshot(1)
        }),
    );
    let loaded = SnapshotStore::new(disk).load(Some(OWNER));
    assert_eq!(loaded.unusable_files.len(), 1);
    assert_eq!(
        loaded.snapshot.map(|snapshot| snapshot.list_revision),
        Some(1)
    );
}

#[test]
fn every_prefix_of_a_snapshot_is_refused() {
    let bytes = encode(&snapshot(2));
    assert!((0..bytes.len()).all(|len| decode(&bytes[..len]).is_err()));
    assert_eq!(decode(&bytes).unwrap(), snapshot(2));
}

#[test]
fn the_higher_sequence_number_is_newer_even_if_the_clock_was_set_back() {
    let mut disk = Disk::default();
    disk.put(
        "state.0",
        &encode(&Snapshot {
            sequence: 9,
            saved_at_ms: 5,
            ..snapshot(9)
        }),
    );
    disk.put(
        "state.1",
        &encode(&Snapshot {
            sequence: 8,
            saved_at_ms: u64::MAX,
            ..snapshot(8)
        }),
    );
    let loaded = SnapshotStore::new(disk).load(None);
    assert_eq!(
        loaded.snapshot.map(|snapshot| snapshot.list_revision),
        Some(9)
    );
}

#[test]
fn a_snapshot_of_another_proxy_and_a_file_that_is_too_long_are_refused() {
    let mut disk = Disk::default();
    disk.put("state.0", &encode(&snapshot(1)));
    disk.put("state.1", &vec![b'x'; MAX_FILE_BYTES + 1]);
    let loaded = SnapshotStore::new(disk).load(Some("127.0.0.1:7001"));
    assert!(loaded.snapshot.is_none());
    let reasons: Vec<String> = loaded
        .unusable_files
        .iter()
        .map(|unusable| unusable.error.to_string())
        .collect();
    assert!(
        reasons[0].contains("foreign") && reasons[1].contains("long"),
        "{loaded:?}"
    );
}
