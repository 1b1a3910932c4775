//! Snapshots of a running proxy: saved, restored, damaged, locked by another process, shown on the command line.

mod support;

use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::{Duration, Instant};
use support::{
    OPEN_LINE, ProxyHarness, ProxyOptions, TIMEOUT, endpoint_json, list_line, output_text,
    temporary_path,
};
use test_case::test_case;

/// A snapshot directory and an operator's file that names it; both are removed when it is dropped.
struct SnapshotFixture {
    directory: PathBuf,
    operator_file: PathBuf,
}

impl Drop for SnapshotFixture {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
        let _ = std::fs::remove_file(&self.operator_file);
    }
}

impl SnapshotFixture {
    fn new() -> SnapshotFixture {
        let fixture = SnapshotFixture {
            directory: temporary_path("state"),
            operator_file: temporary_path("toml"),
        };
        let text = format!(
            "[state]\nfolder = {:?}\nevery = \"200ms\"\n[recovery]\nstages = true\n",
            fixture.directory
        );
        std::fs::write(&fixture.operator_file, text).unwrap();
        fixture
    }

    fn start_proxy(&self) -> ProxyHarness {
        ProxyOptions::new(2)
            .operator_file(&self.operator_file)
            .start()
    }

    /// Starts a proxy whose warm start is complete, as discovery has listed warm endpoints.
    fn start_serving_proxy(&self) -> ProxyHarness {
        let proxy = self.start_proxy();
        let ready =
            (0..2).map(|n| endpoint_json(n, proxy.servers[n].local_addr().unwrap(), "ready"));
        proxy
            .watch
            .send(list_line(9, true, &ready.collect::<Vec<_>>()))
            .unwrap();
        // The last stage of the warm start lifts its limit on the admission rate.
        std::thread::sleep(Duration::from_millis(100));
        drop(proxy.open_session_at(&[0, 1]));
        proxy
    }

    /// Waits for the first snapshot, and checks that it names `proxy` as its owner.
    fn wait_for_snapshot_of(&self, proxy: &ProxyHarness) {
        let deadline = Instant::now() + TIMEOUT;
        while !self.directory.join("state.0").exists() {
            assert!(Instant::now() < deadline, "no snapshot is saved");
            std::thread::sleep(Duration::from_millis(10));
        }
        assert!(
            output_text(&state_command(&["show"], &self.directory))
                .contains(&proxy.listen_address.to_string())
        );
    }

    fn write_file(&self, file: &str, bytes: &[u8]) {
        std::fs::create_dir_all(&self.directory).unwrap();
        std::fs::write(self.directory.join(file), bytes).unwrap();
    }
}

/// Runs `asterramp state` with these arguments, followed by the snapshot directory.
fn state_command(arguments: &[&str], directory: &Path) -> Output {
    let program = env!("CARGO_BIN_EXE_asterramp");
    Command::new(program)
        .arg("state")
        .args(arguments)
        .arg(directory)
        .output()
        .unwrap()
}

#[test]
fn the_endpoint_list_is_saved_and_the_last_snapshot_records_a_graceful_shutdown() {
    let fixture = SnapshotFixture::new();
    let mut proxy = fixture.start_proxy();
    let at = |n: usize| proxy.servers[n].local_addr().unwrap();
    proxy
        .watch
        .send(list_line(
            9,
            true,
            &[
                endpoint_json(0, at(0), "ready"),
                endpoint_json(1, at(1), "draining"),
            ],
        ))
        .unwrap();
    fixture.wait_for_snapshot_of(&proxy);
    // A directory that a running proxy has locked is not cleared.
    let refused = state_command(&["clear"], &fixture.directory);
    assert!(
        !refused.status.success() && output_text(&refused).contains("a proxy holds it"),
        "{}",
        output_text(&refused)
    );
    proxy.send_signal("TERM");
    let (code, log) = proxy.wait_for_exit();
    assert_eq!(code, Some(0), "{log}");
    assert!(
        log.contains("stage stage=normal why=\"discovery tells hosts that are warm\""),
        "{log}"
    );
    let shown = output_text(&state_command(&["show"], &fixture.directory));
    assert!(
        shown.contains("left in good order")
            && shown.contains("list 9")
            && shown.contains("Draining"),
        "{shown}"
    );
    let json: serde_json::Value =
        serde_json::from_slice(&state_command(&["show", "--json"], &fixture.directory).stdout)
            .unwrap();
    assert_eq!(
        (json["rev"].as_u64(), json["clean"].as_bool()),
        (Some(9), Some(true))
    );
    assert!(
        state_command(&["verify"], &fixture.directory)
            .status
            .success()
    );
    assert!(
        state_command(&["clear"], &fixture.directory)
            .status
            .success()
    );
    let verified = state_command(&["verify"], &fixture.directory);
    assert!(!verified.status.success() && output_text(&verified).contains("no whole snapshot"));
}

#[test_case("state.0", b"", "empty"; "empty")]
#[test_case("state.1", b"rubbish\n", "first line"; "corrupt")]
#[test_case("state.0", b"asterramp-state v=9 len=2 crc=0\n{}", "newer than"; "newer version")]
#[test_case("state.1", b"asterramp-state v=0 len=2 crc=0\n{}", "older than"; "older version")]
#[test_case("state.0", b"asterramp-state v=1 len=999 crc=0\n{}", "2 bytes of 999"; "truncated")]
fn an_unusable_snapshot_file_causes_one_log_line_and_the_proxy_starts(
    file: &str,
    bytes: &[u8],
    why: &str,
) {
    let fixture = SnapshotFixture::new();
    fixture.write_file(file, bytes);
    let verified = state_command(&["verify"], &fixture.directory);
    assert!(
        !verified.status.success() && output_text(&verified).contains(why),
        "{}",
        output_text(&verified)
    );
    let mut proxy = fixture.start_serving_proxy();
    proxy.send_signal("TERM");
    let (code, log) = proxy.wait_for_exit();
    let lines: Vec<&str> = log
        .lines()
        .filter(|line| line.contains("state-bad file="))
        .collect();
    assert_eq!((code, lines.len()), (Some(0), 1), "{log}");
    assert!(lines[0].contains(why), "{lines:?}");
}

#[test]
fn an_unusable_snapshot_directory_causes_one_log_line_and_the_proxy_serves() {
    let fixture = SnapshotFixture::new();
    std::fs::write(&fixture.directory, "a file").unwrap();
    let mut proxy = fixture.start_serving_proxy();
    proxy.send_signal("TERM");
    let (code, log) = proxy.wait_for_exit();
    assert_eq!(
        (code, log.matches("state-bad ").count()),
        (Some(0), 1),
        "{log}"
    );
    std::fs::remove_file(&fixture.directory).unwrap();
}

#[test]
fn a_second_proxy_on_the_same_directory_reports_it_and_writes_nothing() {
    let fixture = SnapshotFixture::new();
    let first = fixture.start_proxy();
    fixture.wait_for_snapshot_of(&first);
    let mut second = fixture.start_serving_proxy();
    second.send_signal("TERM");
    let (code, log) = second.wait_for_exit();
    assert_eq!(code, Some(0));
    assert!(
        log.contains("foreign") && log.contains("another process holds the folder"),
        "{log}"
    );
    assert!(
        output_text(&state_command(&["show"], &fixture.directory))
            .contains(&first.listen_address.to_string())
    );
}

#[test]
fn without_discovery_the_configured_endpoints_are_used_once_they_respond() {
    let fixture = SnapshotFixture::new();
    // Only the configured list is known; discovery never sends one.
    let mut proxy = fixture.start_proxy();
    // The endpoints count as just started, so the first clients are rejected with a retry time.
    let deadline = Instant::now() + TIMEOUT + TIMEOUT;
    loop {
        let mut client = proxy.connect(OPEN_LINE);
        let response = client.read_line_within(Duration::from_millis(300));
        match response.as_deref() {
            Some(busy) => assert!(busy.starts_with("BUSY "), "{busy}"),
            None => break,
        }
        assert!(Instant::now() < deadline, "no client is admitted");
        std::thread::sleep(Duration::from_millis(100));
    }
    proxy.send_signal("TERM");
    let (_, log) = proxy.wait_for_exit();
    let stage_name = |line: &'_ str| {
        Some(
            line.strip_prefix("stage stage=")?
                .split(' ')
                .next()?
                .to_string(),
        )
    };
    let stages: Vec<String> = log.lines().filter_map(stage_name).collect();
    assert_eq!(stages, ["looking", "probing", "admitting"], "{log}");
}
