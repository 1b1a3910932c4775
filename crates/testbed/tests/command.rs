//! The program as its users meet it: what it refuses, how it ends, what it leaves behind.

mod help;

use std::path::PathBuf;
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};
use test_case::test_case;

const RIG: &str = env!("CARGO_BIN_EXE_asterramp-testbed");

/// A scenario in a file of its own.
fn file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("asterramp-{}-{name}.toml", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

fn play(name: &str, text: &str, args: &[&str]) -> Output {
    let path = file(name, text);
    let output = Command::new(RIG)
        .arg("run")
        .arg(&path)
        .args(args)
        .output()
        .unwrap();
    std::fs::remove_file(path).unwrap();
    output
}

#[test_case("key", "rate = 45.0", "rat = 45.0", "unknown field `rat`"; "an unknown key")]
#[test_case("large", "rate = 45.0", "rate = 45.0\ninherited = 50000", "descriptors of the rig, and this machine allows"; "larger than the machine")]
#[test_case("sockets", "count = 2", "count = 2\nsockets = 900000", "proxies.sockets is 900000"; "more descriptors than there are")]
fn what_cannot_be_played_is_refused_in_a_line_before_anything_starts(
    name: &str,
    from: &str,
    to: &str,
    says: &str,
) {
    let since = Instant::now();
    let output = play(name, &help::BASE.replacen(from, to, 1), &[]);
    let said = String::from_utf8(output.stderr).unwrap();
    assert!(
        output.status.code() == Some(2) && said.contains(says),
        "{said}"
    );
    assert!(since.elapsed() < Duration::from_secs(5));
}

#[test]
fn a_proxy_that_never_becomes_ready_is_named_with_its_last_words() {
    let sleeper = std::env::temp_dir().join(format!("asterramp-{}-sleeper", std::process::id()));
    std::fs::write(&sleeper, "#!/bin/sh\necho not today >&2\nexec sleep 30\n").unwrap();
    Command::new("chmod")
        .arg("+x")
        .arg(&sleeper)
        .status()
        .unwrap();
    let output = play(
        "unready",
        help::BASE,
        &["--proxy", sleeper.to_str().unwrap()],
    );
    std::fs::remove_file(sleeper).unwrap();
    let said = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(3));
    assert!(
        said.contains("proxy 0 never became ready") && said.contains("not today"),
        "{said}"
    );
}

#[test]
fn a_broken_rule_is_told_by_the_exit_and_in_the_report() {
    let folder = std::env::temp_dir().join(format!("asterramp-{}-report", std::process::id()));
    let args = [
        "--baseline",
        "random",
        "--break",
        "cut-off",
        "--report",
        folder.to_str().unwrap(),
    ];
    let output = play(
        "broken",
        &help::BASE.replace("length = \"5s\"", "length = \"3s\""),
        &args,
    );
    let report = std::fs::read_to_string(folder.join("report.json")).unwrap();
    for plot in ["service.svg", "hosts.svg", "proxies.svg"] {
        assert!(
            std::fs::read_to_string(folder.join(plot))
                .unwrap()
                .contains("<svg")
        );
    }
    std::fs::remove_dir_all(folder).unwrap();
    let table = String::from_utf8(output.stdout).unwrap();
    assert!(
        output.status.code() == Some(1) && table.contains("BROKEN"),
        "{table}"
    );
    assert!(report.contains("\"rules_held\": false") && report.contains("cut off"));
}

#[test_case("-INT")]
#[test_case("-TERM")]
fn an_interrupt_leaves_no_process_behind(signal: &str) {
    let path = file(&format!("interrupt{signal}"), help::BASE);
    let args = ["--baseline", "random"];
    let mut rig = Command::new(RIG)
        .arg("run")
        .arg(&path)
        .args(args)
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let children = |of: u32| -> Vec<u32> {
        let processes = std::fs::read_dir("/proc").unwrap().flatten();
        let ids = processes.filter_map(|entry| entry.file_name().to_str()?.parse::<u32>().ok());
        let parent = |id: u32| -> Option<u32> {
            let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
            stat.rsplit_once(") ")?.1.split(' ').nth(1)?.parse().ok()
        };
        ids.filter(|id| parent(*id) == Some(of)).collect()
    };
    let until = Instant::now() + Duration::from_secs(5);
    while children(rig.id()).len() < 2 && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(20));
    }
    let proxies = children(rig.id());
    assert_eq!(proxies.len(), 2);
    Command::new("kill")
        .args([signal, &rig.id().to_string()])
        .status()
        .unwrap();
    assert_eq!(rig.wait().unwrap().code(), Some(3));
    std::thread::sleep(Duration::from_millis(200));
    let alive = |id: &&u32| {
        std::fs::read_to_string(format!("/proc/{id}/stat")).is_ok_and(|s| !s.contains(") Z"))
    };
    assert_eq!(proxies.iter().filter(alive).count(), 0);
    std::fs::remove_file(path).unwrap();
}
