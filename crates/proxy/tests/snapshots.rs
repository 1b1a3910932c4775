//! Snapshots of a running proxy: saved, restored, damaged, locked by another process, shown on the command line.

#[allow(unreachable_pub, missing_debug_implementations)] // Not yet brought to the workspace lints.
mod support;

use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};
use support::{OPEN_LINE, ProxyHarness, SETTINGS, TIMEOUT, endpoint_json, list_line};
use test_case::test_case;

/// A snapshot directory and an operator's file that names it; both are removed with the test.
struct SnapshotDisk {
    directory: PathBuf,
    operator_file: PathBuf,
}

impl Drop for SnapshotDisk {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
        let _ = std::fs::remove_file(&self.operator_file);
    }
}

impl SnapshotDisk {
    fn new() -> SnapshotDisk {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let nth = NEXT.fetch_add(1, Ordering::Relaxed);
        let at = |end: &str| {
            std::env::temp_dir().join(format!("asterramp-disk-{}-{nth}.{end}", std::process::id()))
        };
        let disk = SnapshotDisk {
            directory: at("state"),
            operator_file: at("toml"),
        };
        let text = format!(
            "[state]\nfolder = {:?}\nevery = \"200ms\"\n[recovery]\nstages = true\n",
            disk.directory
        );
        std::fs::write(&disk.operator_file, text).unwrap();
        disk
    }

    fn world(&self) -> ProxyHarness {
        ProxyHarness::with_operator_file(2, SETTINGS, (512, 1024), Some(&self.operator_file))
    }

    /// A proxy that serves, since discovery has listed warm endpoints.
    fn serving_world(&self) -> ProxyHarness {
        let world = self.world();
        let ready =
            (0..2).map(|n| endpoint_json(n, world.servers[n].local_addr().unwrap(), "ready"));
        world
            .watch
            .send(list_line(9, true, &ready.collect::<Vec<_>>()))
            .unwrap();
        // The rate limit of the warm start is lifted with its last stage.
        std::thread::sleep(Duration::from_millis(100));
        drop(world.open_session_at(&[0, 1]));
        world
    }

    /// Waits for the first snapshot, and checks that it names this proxy as its owner.
    fn wait_for_snapshot_of(&self, world: &ProxyHarness) {
        let until = Instant::now() + TIMEOUT;
        while !self.directory.join("state.0").exists() {
            assert!(Instant::now() < until, "no snapshot is saved");
            std::thread::sleep(Duration::from_millis(10));
        }
        assert!(
            text_of(&state_command(&["show"], &self.directory))
                .contains(&world.listen_address.to_string())
        );
    }

    fn put(&self, file: &str, bytes: &[u8]) {
        std::fs::create_dir_all(&self.directory).unwrap();
        std::fs::write(self.directory.join(file), bytes).unwrap();
    }
}

/// Runs `asterramp state` with these arguments on a directory.
fn state_command(arguments: &[&str], directory: &Path) -> Output {
    let program = env!("CARGO_BIN_EXE_asterramp");
    Command::new(program)
        .arg("state")
        .args(arguments)
        .arg(directory)
        .output()
        .unwrap()
}

/// Standard output and standard error, one after the other.
fn text_of(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).to_string() + &String::from_utf8_lossy(&output.stderr)
}

#[test]
fn the_list_of_discovery_is_saved_and_the_last_snapshot_says_that_the_proxy_shut_down_gracefully() {
    let disk = SnapshotDisk::new();
    let mut world = disk.world();
    let at = |n: usize| world.servers[n].local_addr().unwrap();
    world
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
    disk.wait_for_snapshot_of(&world);
    // A directory that a running proxy holds is not cleared.
    let held = state_command(&["clear"], &disk.directory);
    assert!(
        !held.status.success() && text_of(&held).contains("a proxy holds it"),
        "{}",
        text_of(&held)
    );
    world.send_signal("TERM");
    let (code, log) = world.wait_for_exit();
    assert_eq!(code, Some(0), "{log}");
    assert!(
        log.contains("stage stage=normal why=\"discovery tells hosts that are warm\""),
        "{log}"
    );
    let shown = text_of(&state_command(&["show"], &disk.directory));
    assert!(
        shown.contains("left in good order")
            && shown.contains("list 9")
            && shown.contains("Draining"),
        "{shown}"
    );
    let json: serde_json::Value =
        serde_json::from_slice(&state_command(&["show", "--json"], &disk.directory).stdout)
            .unwrap();
    assert_eq!(
        (json["rev"].as_u64(), json["clean"].as_bool()),
        (Some(9), Some(true))
    );
    assert!(state_command(&["verify"], &disk.directory).status.success());
    assert!(state_command(&["clear"], &disk.directory).status.success());
    let none = state_command(&["verify"], &disk.directory);
    assert!(!none.status.success() && text_of(&none).contains("no whole snapshot"));
}

#[test_case("state.0", b"", "empty"; "empty")]
#[test_case("state.1", b"rubbish\n", "first line"; "corrupt")]
#[test_case("state.0", b"asterramp-state v=9 len=2 crc=0\n{}", "newer than"; "newer version")]
#[test_case("state.1", b"asterramp-state v=0 len=2 crc=0\n{}", "older than"; "older version")]
#[test_case("state.0", b"asterramp-state v=1 len=999 crc=0\n{}", "2 bytes of 999"; "cut short")]
fn a_file_that_cannot_be_used_is_one_log_line_and_the_proxy_starts(
    file: &str,
    bytes: &[u8],
    why: &str,
) {
    let disk = SnapshotDisk::new();
    disk.put(file, bytes);
    let verified = state_command(&["verify"], &disk.directory);
    assert!(
        !verified.status.success() && text_of(&verified).contains(why),
        "{}",
        text_of(&verified)
    );
    let mut world = disk.serving_world();
    world.send_signal("TERM");
    let (code, log) = world.wait_for_exit();
    let lines: Vec<&str> = log
        .lines()
        .filter(|line| line.contains("state-bad file="))
        .collect();
    assert_eq!((code, lines.len()), (Some(0), 1), "{log}");
    assert!(lines[0].contains(why), "{lines:?}");
}

#[test]
fn a_directory_that_cannot_be_used_is_one_log_line_and_the_proxy_serves() {
    let disk = SnapshotDisk::new();
    std::fs::write(&disk.directory, "a file").unwrap();
    let mut world = disk.serving_world();
    world.send_signal("TERM");
    let (code, log) = world.wait_for_exit();
    assert_eq!(
        (code, log.matches("state-bad ").count()),
        (Some(0), 1),
        "{log}"
    );
    std::fs::remove_file(&disk.directory).unwrap();
}

#[test]
fn a_second_proxy_on_the_same_directory_reports_it_and_writes_nothing() {
    let disk = SnapshotDisk::new();
    let first = disk.world();
    disk.wait_for_snapshot_of(&first);
    let mut second = disk.serving_world();
    second.send_signal("TERM");
    let (code, log) = second.wait_for_exit();
    assert_eq!(code, Some(0));
    assert!(
        log.contains("foreign") && log.contains("another process holds the folder"),
        "{log}"
    );
    assert!(
        text_of(&state_command(&["show"], &disk.directory))
            .contains(&first.listen_address.to_string())
    );
}

#[test]
fn without_discovery_the_configured_endpoints_are_used_once_they_answer() {
    let disk = SnapshotDisk::new();
    // Only the configured list is known; discovery never sends one.
    let mut world = disk.world();
    // The endpoints count as just started, so the first clients are rejected and told to retry.
    let until = Instant::now() + TIMEOUT + TIMEOUT;
    loop {
        let mut client = world.connect(OPEN_LINE);
        let answer = client.read_line_within(Duration::from_millis(300));
        match answer.as_deref() {
            Some(busy) => assert!(busy.starts_with("BUSY "), "{busy}"),
            None => break,
        }
        assert!(Instant::now() < until, "no client is admitted");
        std::thread::sleep(Duration::from_millis(100));
    }
    world.send_signal("TERM");
    let (_, log) = world.wait_for_exit();
    let stage = |line: &'_ str| {
        Some(
            line.strip_prefix("stage stage=")?
                .split(' ')
                .next()?
                .to_string(),
        )
    };
    let stages: Vec<String> = log.lines().filter_map(stage).collect();
    assert_eq!(stages, ["looking", "probing", "admitting"], "{log}");
}
