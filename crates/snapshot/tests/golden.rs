//! Snapshot files written by the build of commit 17cc2a9, kept as test data: the present code reads them as the same
//! values, writes the same bytes, and refuses the same bytes with the same texts. The data under `golden/` never
//! changes.

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

/// A host with each optional field set.
fn ready_host() -> SavedEndpoint {
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

/// A host with each optional field absent, and characters that JSON escapes.
fn draining_host() -> SavedEndpoint {
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
        endpoints: vec![ready_host()],
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
        endpoints: vec![ready_host(), draining_host(), ready_host()],
    }
}

fn no_hosts() -> Snapshot {
    Snapshot {
        endpoints: Vec::new(),
        ..every_field_set()
    }
}

fn greatest_figures() -> Snapshot {
    let host = SavedEndpoint {
        weight: f64::MAX,
        started_at_ms: Some(u64::MAX),
        last_report_ms: Some(0),
        load_per_connection: Some(f64::MIN_POSITIVE),
        ..ready_host()
    };
    Snapshot {
        owner: "[::]:1".into(),
        sequence: u64::MAX,
        saved_at_ms: u64::MAX,
        list_revision: u64::MAX,
        last_discovery_update_ms: Some(u64::MAX),
        highest_term: u64::MAX,
        clean_shutdown: true,
        endpoints: vec![host],
    }
}

#[test_case("every_field_set.snapshot", &every_field_set(); "every field set")]
#[test_case("every_field_unset.snapshot", &every_field_unset(); "every field unset")]
#[test_case("ready_and_draining.snapshot", &ready_and_draining(); "ready and draining")]
#[test_case("no_hosts.snapshot", &no_hosts(); "no hosts")]
#[test_case("greatest_figures.snapshot", &greatest_figures(); "greatest figures")]
fn a_snapshot_is_read_and_written_as_before(name: &str, expected: &Snapshot) {
    let bytes = golden(name);
    assert_eq!(&decode(&bytes).unwrap(), expected);
    assert_eq!(text(&encode(expected)), text(&bytes));
}

/// The snapshot in the form of a file, with a correct length and checksum for `body`.
fn file_of(body: &str) -> Vec<u8> {
    let checksum = crc32fast::hash(body.as_bytes());
    format!(
        "asterramp-state v=1 len={} crc={checksum:08x}\n{body}",
        body.len()
    )
    .into_bytes()
}

/// A golden snapshot's text with one part replaced.
fn altered(from: &str, to: &str) -> Vec<u8> {
    let whole = text(&encode(&every_field_set()));
    assert!(whole.contains(from), "{from:?} is not in {whole:?}");
    whole.replacen(from, to, 1).into_bytes()
}

/// The same for its JSON body, under a first line that is right.
fn altered_body(from: &str, to: &str) -> Vec<u8> {
    let whole = text(&encode(&every_field_set()));
    let body = whole.split_once('\n').unwrap().1;
    assert!(body.contains(from), "{from:?} is not in {body:?}");
    file_of(&body.replacen(from, to, 1))
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
#[test_case("a_byte_short", { let mut b = encode(&every_field_set()); b.pop(); b })]
#[test_case("a_byte_more", { let mut b = encode(&every_field_set()); b.push(b'x'); b })]
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
#[test_case("host_no_object", file_of(r#"{"owner":"o","seq":1,"saved_ms":2,"rev":3,"told_ms":null,"term":4,"clean":false,"hosts":[7]}"#))]
#[test_case("host_an_empty_list", file_of(r#"{"owner":"o","seq":1,"saved_ms":2,"rev":3,"told_ms":null,"term":4,"clean":false,"hosts":[[]]}"#))]
#[test_case("state_with_a_value", altered_body("\"ready\"", "{\"ready\":1}"))]
#[test_case("hosts_no_list", file_of(r#"{"owner":"o","seq":1,"saved_ms":2,"rev":3,"told_ms":null,"term":4,"clean":false,"hosts":7}"#))]
#[test_case("field_twice", altered_body("\"rev\":9", "\"rev\":9,\"rev\":9"))]
#[test_case("more_after_the_object", altered_body("}]}", "}]}}"))]
#[test_case("negative_figure", altered_body("\"rev\":9", "\"rev\":-9"))]
#[test_case(
    "endpoint_not_an_address",
    altered_body("192.0.2.10:4001", "host:4001")
)]
#[test_case("not_json", file_of("seq = 1"))]
#[test_case("no_object", file_of("7"))]
fn bytes_that_are_no_snapshot_are_refused_with_the_same_text(name: &str, made: Vec<u8>) {
    let bytes = golden(&format!("refused/{name}.bytes"));
    assert_eq!(text(&made), text(&bytes));
    let error = decode(&bytes).unwrap_err().to_string();
    let expected = golden(&format!("refused/{name}.txt"));
    assert_eq!(error, text(&expected));
}

/// A file with `count` hosts; it takes half a megabyte, so it is made here.
fn file_with_hosts(count: usize) -> Vec<u8> {
    let host = r#"{"uid":"h","endpoint":"192.0.2.10:4001","zone":"a","cell":1,"standing":"ready","weight":1.0,"started_ms":null,"heard_ms":null,"unit":null}"#;
    let hosts = vec![host; count].join(",");
    file_of(&format!(
        r#"{{"owner":"{OWNER}","seq":1,"saved_ms":2,"rev":3,"told_ms":null,"term":4,"clean":false,"hosts":[{hosts}]}}"#
    ))
}

#[test]
fn the_most_hosts_are_read_and_written_and_one_more_is_refused() {
    let most = file_with_hosts(4096);
    let first_line = most.split(|byte| *byte == b'\n').next().unwrap();
    assert_eq!(
        text(first_line),
        "asterramp-state v=1 len=569447 crc=84ead54b"
    );
    let snapshot = decode(&most).unwrap();
    assert_eq!(snapshot.endpoints.len(), 4096);
    assert_eq!(encode(&snapshot), most);
    let error = decode(&file_with_hosts(4097)).unwrap_err().to_string();
    assert_eq!(error, "4097 hosts; 4096 are the most");
}

/// An empty folder that is removed at the end.
struct TestFolder(PathBuf);

impl TestFolder {
    fn new(name: &str) -> TestFolder {
        let path =
            std::env::temp_dir().join(format!("asterramp-golden-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir(&path).unwrap();
        TestFolder(path)
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

impl Drop for TestFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// The files that could not be used, each with the reason.
fn reasons(found: &LoadedSnapshot) -> Vec<String> {
    found
        .unusable_files
        .iter()
        .map(|problem| format!("{}: {}", problem.file, problem.error))
        .collect()
}

/// The snapshots of three saves in a row; `seq` is counted by the store.
fn save_of(nth: u64) -> Snapshot {
    Snapshot {
        sequence: 0,
        list_revision: nth,
        saved_at_ms: 1_700_000_000_000 + nth,
        ..ready_and_draining()
    }
}

#[test_case(1; "one save")]
#[test_case(2; "two saves")]
#[test_case(3; "three saves")]
fn saves_leave_the_same_files(saves: u64) {
    let folder = TestFolder::new(&format!("saves-{saves}"));
    let mut store = folder.store();
    for nth in 1..=saves {
        let mut snapshot = save_of(nth);
        let written = store.save(&mut snapshot).unwrap();
        assert_eq!(snapshot.sequence, nth);
        let newest = if nth % 2 == 1 { "state.0" } else { "state.1" };
        assert_eq!(written, folder.bytes(newest).len());
    }
    let expected: &[&str] = if saves == 1 {
        &["state.0"]
    } else {
        &["state.0", "state.1"]
    };
    assert_eq!(folder.names(), expected);
    for name in expected {
        let made = folder.bytes(name);
        assert_eq!(text(&made), text(&golden(&format!("saves_{saves}.{name}"))));
    }
}

#[test]
fn a_folder_of_the_old_build_gives_its_newest_generation_and_is_written_on() {
    let folder = TestFolder::new("written-on");
    for name in ["state.0", "state.1"] {
        folder.put(name, &golden(&format!("saves_2.{name}")));
    }
    let mut store = folder.store();
    let newest = Snapshot {
        sequence: 2,
        ..save_of(2)
    };
    let found = store.load(Some(OWNER));
    assert_eq!(found.snapshot, Some(newest));
    assert!(reasons(&found).is_empty());
    store.save(&mut save_of(3)).unwrap();
    for name in ["state.0", "state.1"] {
        assert_eq!(
            text(&folder.bytes(name)),
            text(&golden(&format!("saves_3.{name}")))
        );
    }
}

#[test]
fn the_generation_before_serves_where_the_newest_is_spoilt() {
    let folder = TestFolder::new("spoilt");
    folder.put("state.0", &golden("refused/wrong_checksum.bytes"));
    folder.put("state.1", &golden("saves_2.state.1"));
    let found = folder.store().load(Some(OWNER));
    let before = Snapshot {
        sequence: 2,
        ..save_of(2)
    };
    assert_eq!(found.snapshot, Some(before));
    assert_eq!(reasons(&found), ["state.0: its checksum is wrong"]);
}

#[test]
fn files_that_cannot_be_used_are_named_with_the_same_texts() {
    let folder = TestFolder::new("named");
    folder.put("state.0", &golden("saves_2.state.0"));
    folder.put("state.1", &vec![b'x'; MAX_FILE_BYTES + 1]);
    let found = folder.store().load(Some("192.0.2.8:7000"));
    assert_eq!(found.snapshot, None);
    assert_eq!(
        reasons(&found),
        [
            "state.0: foreign: it is of \"192.0.2.7:7000\"",
            "state.1: longer than 4194304 bytes"
        ]
    );
    std::fs::remove_file(folder.0.join("state.0")).unwrap();
    std::fs::create_dir(folder.0.join("state.0")).unwrap();
    let found = folder.store().load(None);
    assert_eq!(
        reasons(&found),
        ["state.0: not a file", "state.1: longer than 4194304 bytes"]
    );
}

#[test]
fn a_snapshot_longer_than_is_read_is_not_written() {
    let folder = TestFolder::new("longer");
    let host = SavedEndpoint {
        uid: "u".repeat(MAX_FILE_BYTES),
        ..ready_host()
    };
    let error = folder
        .store()
        .save(&mut Snapshot {
            endpoints: vec![host],
            ..save_of(1)
        })
        .unwrap_err();
    assert_eq!(error.to_string(), "longer than what is read again");
    assert!(folder.names().is_empty());
}

#[test]
fn clear_removes_both_generations_and_the_part() {
    let folder = TestFolder::new("clear");
    for name in ["state.0", "state.1", "state.part", "other"] {
        folder.put(name, b"x");
    }
    folder.store().clear().unwrap();
    assert_eq!(folder.names(), ["other"]);
}
