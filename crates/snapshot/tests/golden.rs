//! Compares with snapshot files that the build at commit 17cc2a9 wrote: the present build decodes them as the same
//! values, encodes these values as the same bytes, and refuses the same invalid bytes with the same texts. The files
//! under `golden/` never change.

use asterramp_snapshot::{
    LoadedSnapshot, MAX_FILE_BYTES, SavedEndpoint, SavedEndpointState, Snapshot, SnapshotDirectory,
    SnapshotStore, decode, encode,
};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use test_case::test_case;

const OWNER: &str = "192.0.2.7:7000";

fn golden_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name)
}

fn golden(name: &str) -> Vec<u8> {
    std::fs::read(golden_path(name)).unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn address(text: &str) -> SocketAddr {
    text.parse().unwrap()
}

/// An endpoint with every optional field set.
fn ready_endpoint() -> SavedEndpoint {
    SavedEndpoint {
        uid: "game-7f".into(),
        address: address("192.0.2.10:4001"),
        zone: "zone-a".into(),
        cell: 3,
        state: SavedEndpointState::Ready,
        weight: 1.5,
        started_at_ms: Some(1_699_999_000_123),
        last_report_ms: Some(1_700_000_000_456),
        load_per_connection: Some(0.03125),
    }
}

/// An endpoint without any optional field, and with characters that JSON escapes.
fn draining_endpoint() -> SavedEndpoint {
    SavedEndpoint {
        uid: "ga\"me\\8\u{7}é".into(),
        address: address("[2001:db8::1]:65535"),
        zone: String::new(),
        cell: u16::MAX,
        state: SavedEndpointState::Draining,
        weight: 0.1,
        started_at_ms: None,
        last_report_ms: None,
        load_per_connection: None,
    }
}

fn every_field_set() -> Snapshot {
    Snapshot {
        owner: OWNER.into(),
        sequence: 42,
        saved_at_ms: 1_700_000_001_000,
        list_revision: 9,
        last_discovery_update_ms: Some(1_700_000_000_500),
        highest_term: 5,
        clean_shutdown: true,
        endpoints: vec![ready_endpoint()],
    }
}

fn every_field_unset() -> Snapshot {
    Snapshot::default()
}

fn ready_and_draining() -> Snapshot {
    Snapshot {
        owner: OWNER.into(),
        sequence: 1,
        saved_at_ms: 0,
        list_revision: 0,
        last_discovery_update_ms: None,
        highest_term: 0,
        clean_shutdown: false,
        endpoints: vec![ready_endpoint(), draining_endpoint(), ready_endpoint()],
    }
}

fn no_endpoints() -> Snapshot {
    Snapshot {
        endpoints: Vec::new(),
        ..every_field_set()
    }
}

fn greatest_values() -> Snapshot {
    let endpoint = SavedEndpoint {
        weight: f64::MAX,
        started_at_ms: Some(u64::MAX),
        last_report_ms: Some(0),
        load_per_connection: Some(f64::MIN_POSITIVE),
        ..ready_endpoint()
    };
    Snapshot {
        owner: "[::]:1".into(),
        sequence: u64::MAX,
        saved_at_ms: u64::MAX,
        list_revision: u64::MAX,
        last_discovery_update_ms: Some(u64::MAX),
        highest_term: u64::MAX,
        clean_shutdown: true,
        endpoints: vec![endpoint],
    }
}

#[test_case("every_field_set.snapshot", &every_field_set(); "every field set")]
#[test_case("every_field_unset.snapshot", &every_field_unset(); "every field unset")]
#[test_case("ready_and_draining.snapshot", &ready_and_draining(); "ready and draining")]
#[test_case("no_hosts.snapshot", &no_endpoints(); "no hosts")]
#[test_case("greatest_figures.snapshot", &greatest_values(); "greatest figures")]
fn a_snapshot_is_decoded_and_encoded_as_before(name: &str, expected: &Snapshot) {
    let bytes = golden(name);
    assert_eq!(&decode(&bytes).unwrap(), expected);
    assert_eq!(text(&encode(expected)), text(&bytes));
}

/// The bytes of a file with `body`, under a first line with the correct length and checksum.
fn file_with_body(body: &str) -> Vec<u8> {
    let checksum = crc32fast::hash(body.as_bytes());
    format!(
        "asterramp-state v=1 len={} crc={checksum:08x}\n{body}",
        body.len()
    )
    .into_bytes()
}

/// The bytes of a file with one part of its text replaced.
fn altered(original: &str, replacement: &str) -> Vec<u8> {
    let file = text(&encode(&every_field_set()));
    assert!(file.contains(original), "{original:?} is not in {file:?}");
    file.replacen(original, replacement, 1).into_bytes()
}

/// The bytes of a file with one part of its body replaced, under a first line with the correct length and checksum.
fn altered_body(original: &str, replacement: &str) -> Vec<u8> {
    let file = text(&encode(&every_field_set()));
    let body = file.split_once('\n').unwrap().1;
    assert!(body.contains(original), "{original:?} is not in {body:?}");
    file_with_body(&body.replacen(original, replacement, 1))
}

#[test_case("empty", Vec::new())]
#[test_case("no_first_line", b"{}".to_vec())]
#[test_case("first_line_too_long", vec![b'x'; 200])]
#[test_case("first_line_not_text", b"\xff\xfe\n{}".to_vec())]
#[test_case("other_magic", altered("asterramp-state", "another-state"))]
#[test_case("newer_version", altered("v=1", "v=2"))]
#[test_case("older_version", altered("v=1", "v=0"))]
#[test_case("version_not_a_number", altered("v=1", "v=x"))]
#[test_case("version_missing", b"asterramp-state\n{}".to_vec())]
#[test_case("length_not_a_number", altered("len=", "len=-"))]
#[test_case("length_missing", b"asterramp-state v=1\n{}".to_vec())]
#[test_case("checksum_not_a_number", altered("crc=", "crc=z"))]
#[test_case("checksum_missing", b"asterramp-state v=1 len=2\n{}".to_vec())]
#[test_case("a_byte_short", { let mut bytes = encode(&every_field_set()); bytes.pop(); bytes })]
#[test_case("a_byte_more", { let mut bytes = encode(&every_field_set()); bytes.push(b'x'); bytes })]
#[test_case("wrong_checksum", altered("\"seq\":42", "\"seq\":43"))]
#[test_case("unknown_field", altered_body("\"rev\":9", "\"rev\":9,\"colour\":1"))]
#[test_case(
    "unknown_field_of_a_host",
    altered_body("\"cell\":3", "\"cell\":3,\"colour\":1")
)]
#[test_case("missing_field", altered_body("\"rev\":9,", ""))]
#[test_case("missing_field_of_a_host", altered_body("\"cell\":3,", ""))]
#[test_case("unknown_host_state", altered_body("\"ready\"", "\"gone\""))]
#[test_case("host_state_not_text", altered_body("\"ready\"", "7"))]
#[test_case("host_state_an_object", altered_body("\"ready\"", "{}"))]
#[test_case("host_no_object", file_with_body(r#"{"owner":"o","seq":1,"saved_ms":2,"rev":3,"told_ms":null,"term":4,"clean":false,"hosts":[7]}"#))]
#[test_case("host_an_empty_list", file_with_body(r#"{"owner":"o","seq":1,"saved_ms":2,"rev":3,"told_ms":null,"term":4,"clean":false,"hosts":[[]]}"#))]
#[test_case("state_with_a_value", altered_body("\"ready\"", "{\"ready\":1}"))]
#[test_case("hosts_no_list", file_with_body(r#"{"owner":"o","seq":1,"saved_ms":2,"rev":3,"told_ms":null,"term":4,"clean":false,"hosts":7}"#))]
#[test_case("field_twice", altered_body("\"rev\":9", "\"rev\":9,\"rev\":9"))]
#[test_case("more_after_the_object", altered_body("}]}", "}]}}"))]
#[test_case("negative_figure", altered_body("\"rev\":9", "\"rev\":-9"))]
#[test_case(
    "endpoint_not_an_address",
    altered_body("192.0.2.10:4001", "host:4001")
)]
#[test_case("not_json", file_with_body("seq = 1"))]
#[test_case("no_object", file_with_body("7"))]
fn invalid_bytes_are_refused_with_the_same_text(name: &str, generated: Vec<u8>) {
    let bytes = golden(&format!("refused/{name}.bytes"));
    assert_eq!(text(&generated), text(&bytes));
    let error = decode(&bytes).unwrap_err().to_string();
    let expected = golden(&format!("refused/{name}.txt"));
    assert_eq!(error, text(&expected));
}

/// A file with `count` endpoints. It is generated here because with 4,096 endpoints it takes half a megabyte.
fn file_with_endpoints(count: usize) -> Vec<u8> {
    let endpoint = r#"{"uid":"h","endpoint":"192.0.2.10:4001","zone":"a","cell":1,"standing":"ready","weight":1.0,"started_ms":null,"heard_ms":null,"unit":null}"#;
    let endpoints = vec![endpoint; count].join(",");
    file_with_body(&format!(
        r#"{{"owner":"{OWNER}","seq":1,"saved_ms":2,"rev":3,"told_ms":null,"term":4,"clean":false,"hosts":[{endpoints}]}}"#
    ))
}

#[test]
fn the_longest_endpoint_list_is_accepted_and_a_longer_one_is_refused() {
    let longest = file_with_endpoints(4096);
    let first_line = longest.split(|byte| *byte == b'\n').next().unwrap();
    assert_eq!(
        text(first_line),
        "asterramp-state v=1 len=569447 crc=84ead54b"
    );
    let snapshot = decode(&longest).unwrap();
    assert_eq!(snapshot.endpoints.len(), 4096);
    assert_eq!(encode(&snapshot), longest);
    let error = decode(&file_with_endpoints(4097)).unwrap_err().to_string();
    assert_eq!(error, "4097 hosts; 4096 are the most");
}

/// A temporary directory that is removed when it is dropped.
struct TestDirectory(PathBuf);

impl TestDirectory {
    fn new(name: &str) -> TestDirectory {
        let path =
            std::env::temp_dir().join(format!("asterramp-golden-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir(&path).unwrap();
        TestDirectory(path)
    }

    fn store(&self) -> SnapshotStore<SnapshotDirectory> {
        SnapshotStore::new(SnapshotDirectory::open(&self.0).unwrap())
    }

    fn put(&self, name: &str, bytes: &[u8]) {
        std::fs::write(self.0.join(name), bytes).unwrap();
    }

    fn bytes(&self, name: &str) -> Vec<u8> {
        std::fs::read(self.0.join(name)).unwrap()
    }

    fn names(&self) -> Vec<String> {
        let entries = std::fs::read_dir(&self.0).unwrap();
        let mut names: Vec<String> = entries
            .map(|entry| entry.unwrap().file_name().into_string().unwrap())
            .collect();
        names.sort();
        names
    }
}

impl Drop for TestDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// The files that could not be used, each with the reason.
fn reasons(loaded: &LoadedSnapshot) -> Vec<String> {
    loaded
        .unusable_files
        .iter()
        .map(|unusable| format!("{}: {}", unusable.file, unusable.error))
        .collect()
}

/// The snapshot of a save, counted from 1; the store sets its sequence number.
fn snapshot_to_save(number: u64) -> Snapshot {
    Snapshot {
        sequence: 0,
        list_revision: number,
        saved_at_ms: 1_700_000_000_000 + number,
        ..ready_and_draining()
    }
}

#[test_case(1; "one save")]
#[test_case(2; "two saves")]
#[test_case(3; "three saves")]
fn saves_leave_the_same_files(saves: u64) {
    let directory = TestDirectory::new(&format!("saves-{saves}"));
    let mut store = directory.store();
    for number in 1..=saves {
        let mut snapshot = snapshot_to_save(number);
        let written_len = store.save(&mut snapshot).unwrap();
        assert_eq!(snapshot.sequence, number);
        let newest = if number % 2 == 1 {
            "state.0"
        } else {
            "state.1"
        };
        assert_eq!(written_len, directory.bytes(newest).len());
    }
    let expected: &[&str] = if saves == 1 {
        &["state.0"]
    } else {
        &["state.0", "state.1"]
    };
    assert_eq!(directory.names(), expected);
    for name in expected {
        let saved = directory.bytes(name);
        assert_eq!(
            text(&saved),
            text(&golden(&format!("saves_{saves}.{name}")))
        );
    }
}

#[test]
fn a_directory_of_the_earlier_build_is_loaded_and_later_saves_continue_in_it() {
    let directory = TestDirectory::new("written-on");
    for name in ["state.0", "state.1"] {
        directory.put(name, &golden(&format!("saves_2.{name}")));
    }
    let mut store = directory.store();
    let newest = Snapshot {
        sequence: 2,
        ..snapshot_to_save(2)
    };
    let loaded = store.load(Some(OWNER));
    assert_eq!(loaded.snapshot, Some(newest));
    assert!(reasons(&loaded).is_empty());
    store.save(&mut snapshot_to_save(3)).unwrap();
    for name in ["state.0", "state.1"] {
        assert_eq!(
            text(&directory.bytes(name)),
            text(&golden(&format!("saves_3.{name}")))
        );
    }
}

#[test]
fn the_other_generation_is_loaded_if_the_newest_is_damaged() {
    let directory = TestDirectory::new("spoilt");
    directory.put("state.0", &golden("refused/wrong_checksum.bytes"));
    directory.put("state.1", &golden("saves_2.state.1"));
    let loaded = directory.store().load(Some(OWNER));
    let expected = Snapshot {
        sequence: 2,
        ..snapshot_to_save(2)
    };
    assert_eq!(loaded.snapshot, Some(expected));
    assert_eq!(reasons(&loaded), ["state.0: its checksum is wrong"]);
}

#[test]
fn unusable_files_are_reported_with_the_same_texts() {
    let directory = TestDirectory::new("named");
    directory.put("state.0", &golden("saves_2.state.0"));
    directory.put("state.1", &vec![b'x'; MAX_FILE_BYTES + 1]);
    let loaded = directory.store().load(Some("192.0.2.8:7000"));
    assert_eq!(loaded.snapshot, None);
    assert_eq!(
        reasons(&loaded),
        [
            "state.0: foreign: it is of \"192.0.2.7:7000\"",
            "state.1: longer than 4194304 bytes"
        ]
    );
    std::fs::remove_file(directory.0.join("state.0")).unwrap();
    std::fs::create_dir(directory.0.join("state.0")).unwrap();
    let loaded = directory.store().load(None);
    assert_eq!(
        reasons(&loaded),
        ["state.0: not a file", "state.1: longer than 4194304 bytes"]
    );
}

#[test]
fn a_snapshot_that_is_too_long_to_load_is_not_saved() {
    let directory = TestDirectory::new("longer");
    let endpoint = SavedEndpoint {
        uid: "u".repeat(MAX_FILE_BYTES),
        ..ready_endpoint()
    };
    let error = directory
        .store()
        .save(&mut Snapshot {
            endpoints: vec![endpoint],
            ..snapshot_to_save(1)
        })
        .unwrap_err();
    assert_eq!(error.to_string(), "longer than what is read again");
    assert!(directory.names().is_empty());
}

#[test]
fn clear_removes_both_generations_and_the_temporary_file() {
    let directory = TestDirectory::new("clear");
    for name in ["state.0", "state.1", "state.part", "other"] {
        directory.put(name, b"x");
    }
    directory.store().clear().unwrap();
    assert_eq!(directory.names(), ["other"]);
}
