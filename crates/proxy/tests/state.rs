//! What a proxy keeps on disk, by the program: kept, read again, spoilt, held by another, looked at from the command line.
#![allow(
    missing_docs,
    unreachable_pub,
    missing_debug_implementations,
    rust_2018_idioms
)] // Not yet brought to the workspace lints.
#![allow(clippy::too_many_lines, clippy::cognitive_complexity)] // Not yet brought to the workspace lints.

mod support;

use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};
use support::{OPEN_LINE, ProxyHarness, SETTINGS, TIMEOUT, endpoint_json, list_line};
use test_case::test_case;

/// A folder and an operator's file that names it; both go with the test.
struct Disk {
    folder: PathBuf,
    operator: PathBuf,
}

impl Drop for Disk {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
        let _ = std::fs::remove_file(&self.operator);
    }
}

impl Disk {
    fn new() -> Disk {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let nth = NEXT.fetch_add(1, Ordering::Relaxed);
        let at = |end: &str| {
            std::env::temp_dir().join(format!("asterramp-disk-{}-{nth}.{end}", std::process::id()))
        };
        let disk = Disk {
            folder: at("state"),
            operator: at("toml"),
        };
        let text = format!(
            "[state]\nfolder = {:?}\nevery = \"200ms\"\n[recovery]\nstages = true\n",
            disk.folder
        );
        std::fs::write(&disk.operator, text).unwrap();
        disk
    }

    fn world(&self) -> ProxyHarness {
        ProxyHarness::with_operator_file(2, SETTINGS, (512, 1024), Some(&self.operator))
    }

    /// One whose discovery tells hosts that are warm, and which serves.
    fn served(&self) -> ProxyHarness {
        let world = self.world();
        let ready =
            (0..2).map(|n| endpoint_json(n, world.servers[n].local_addr().unwrap(), "ready"));
        world
            .watch
            .send(list_line(9, true, &ready.collect::<Vec<_>>()))
            .unwrap();
        // Its cold budgets are over with the stages.
        std::thread::sleep(Duration::from_millis(100));
        drop(world.open_session_at(&[0, 1]));
        world
    }

    /// What a proxy of another address is told once it is started anew at this one's.
    fn owned_by(&self, world: &ProxyHarness) {
        let until = Instant::now() + TIMEOUT;
        while !self.folder.join("state.0").exists() {
            assert!(Instant::now() < until, "nothing is kept");
            std::thread::sleep(Duration::from_millis(10));
        }
        assert!(said(&state(&["show"], &self.folder)).contains(&world.listen_address.to_string()));
    }

    fn put(&self, file: &str, bytes: &[u8]) {
        std::fs::create_dir_all(&self.folder).unwrap();
        std::fs::write(self.folder.join(file), bytes).unwrap();
    }
}

fn state(what: &[&str], folder: &Path) -> Output {
    let program = env!("CARGO_BIN_EXE_asterramp");
    Command::new(program)
        .arg("state")
        .args(what)
        .arg(folder)
        .output()
        .unwrap()
}

fn said(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).to_string() + &String::from_utf8_lossy(&output.stderr)
}

#[test]
fn what_discovery_told_is_kept_and_the_end_says_that_it_was_in_order() {
    let disk = Disk::new();
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
    disk.owned_by(&world);
    // A folder that a proxy holds is not cleared.
    let held = state(&["clear"], &disk.folder);
    assert!(
        !held.status.success() && said(&held).contains("a proxy holds it"),
        "{}",
        said(&held)
    );
    world.send_signal("TERM");
    let (code, log) = world.wait_for_exit();
    assert_eq!(code, Some(0), "{log}");
    assert!(
        log.contains("stage stage=normal why=\"discovery tells hosts that are warm\""),
        "{log}"
    );
    let shown = said(&state(&["show"], &disk.folder));
    assert!(
        shown.contains("left in good order")
            && shown.contains("list 9")
            && shown.contains("Draining"),
        "{shown}"
    );
    let json: serde_json::Value =
        serde_json::from_slice(&state(&["show", "--json"], &disk.folder).stdout).unwrap();
    assert_eq!(
        (json["rev"].as_u64(), json["clean"].as_bool()),
        (Some(9), Some(true))
    );
    assert!(state(&["verify"], &disk.folder).status.success());
    assert!(state(&["clear"], &disk.folder).status.success());
    let none = state(&["verify"], &disk.folder);
    assert!(!none.status.success() && said(&none).contains("no whole snapshot"));
}

#[test_case("state.0", b"", "empty"; "empty")]
#[test_case("state.1", b"rubbish\n", "first line"; "corrupt")]
#[test_case("state.0", b"asterramp-state v=9 len=2 crc=0\n{}", "newer than"; "of tomorrow")]
#[test_case("state.1", b"asterramp-state v=0 len=2 crc=0\n{}", "older than"; "of yesterday")]
#[test_case("state.0", b"asterramp-state v=1 len=999 crc=0\n{}", "2 bytes of 999"; "cut short")]
fn a_file_that_cannot_be_used_is_one_line_and_no_start_refused(
    file: &str,
    bytes: &[u8],
    why: &str,
) {
    let disk = Disk::new();
    disk.put(file, bytes);
    let verified = state(&["verify"], &disk.folder);
    assert!(
        !verified.status.success() && said(&verified).contains(why),
        "{}",
        said(&verified)
    );
    let mut world = disk.served();
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
fn a_folder_that_cannot_be_used_is_one_line_and_service_goes_on() {
    let disk = Disk::new();
    std::fs::write(&disk.folder, "a file").unwrap();
    let mut world = disk.served();
    world.send_signal("TERM");
    let (code, log) = world.wait_for_exit();
    assert_eq!(
        (code, log.matches("state-bad ").count()),
        (Some(0), 1),
        "{log}"
    );
    std::fs::remove_file(&disk.folder).unwrap();
}

#[test]
fn another_proxy_on_the_same_folder_says_so_and_writes_nothing() {
    let disk = Disk::new();
    let first = disk.world();
    disk.owned_by(&first);
    let mut second = disk.served();
    second.send_signal("TERM");
    let (code, log) = second.wait_for_exit();
    assert_eq!(code, Some(0));
    assert!(
        log.contains("foreign") && log.contains("another process holds the folder"),
        "{log}"
    );
    assert!(said(&state(&["show"], &disk.folder)).contains(&first.listen_address.to_string()));
}

#[test]
fn without_discovery_hosts_that_are_known_are_served_and_readiness_waits_for_them() {
    let disk = Disk::new();
    // The configuration's list is what is known; discovery is never heard with one of its own.
    let mut world = disk.world();
    // They count as cold, so the first clients are told to come again.
    let until = Instant::now() + TIMEOUT + TIMEOUT;
    loop {
        let mut client = world.connect(OPEN_LINE);
        let told = client.read_line_within(Duration::from_millis(300));
        match told.as_deref() {
            Some(busy) => assert!(busy.starts_with("BUSY "), "{busy}"),
            None => break,
        }
        assert!(Instant::now() < until, "nobody is let in");
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
