//! The command `run` as a process: rejected scenarios, exit codes, reports, and child processes after an interrupt.

mod help;

use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};
use test_case::test_case;

const TESTBED: &str = env!("CARGO_BIN_EXE_asterramp-testbed");
/// Longest time until an invalid scenario is rejected.
const MAX_REJECTION_TIME: Duration = Duration::from_secs(5);

/// A path in the temporary folder that is unique to this test program and `name`.
fn unique_path(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("asterramp-{}-{name}", std::process::id()))
}

/// Writes a scenario to a file of its own and returns the path.
fn scenario_file(name: &str, text: &str) -> PathBuf {
    let path = unique_path(&format!("{name}.toml"));
    std::fs::write(&path, text).unwrap();
    path
}

/// Runs a scenario by the command `run`, with further arguments.
fn run_command(name: &str, scenario: &str, args: &[&str]) -> Output {
    let path = scenario_file(name, scenario);
    let output = Command::new(TESTBED)
        .arg("run")
        .arg(&path)
        .args(args)
        .output()
        .unwrap();
    std::fs::remove_file(path).unwrap();
    output
}

#[test_case("key", "rate = 45.0", "rat = 45.0", "unknown field `rat`"; "an unknown key")]
#[test_case("large", "rate = 45.0", "rate = 45.0\ninherited = 50000", "descriptors of the rig, and this machine allows"; "more descriptors than the machine allows")]
#[test_case("sockets", "count = 2", "count = 2\nsockets = 900000", "proxies.sockets is 900000"; "too many descriptors for one proxy")]
fn an_invalid_scenario_is_rejected_before_any_process_starts(
    name: &str,
    from: &str,
    to: &str,
    expected_error: &str,
) {
    let started = Instant::now();
    let output = run_command(name, &help::BASE_SCENARIO.replacen(from, to, 1), &[]);
    let error = String::from_utf8(output.stderr).unwrap();
    assert!(
        output.status.code() == Some(2) && error.contains(expected_error),
        "{error}"
    );
    assert!(started.elapsed() < MAX_REJECTION_TIME);
}

/// Writes a program in place of a proxy, which prints a line to stderr and never becomes ready.
fn write_program_that_never_serves(path: &Path) {
    std::fs::write(path, "#!/bin/sh\necho not today >&2\nexec sleep 30\n").unwrap();
    let status = Command::new("chmod").arg("+x").arg(path).status();
    assert!(status.unwrap().success());
}

#[test]
fn a_proxy_that_never_becomes_ready_is_reported_with_its_output() {
    let program = unique_path("never-serves");
    write_program_that_never_serves(&program);
    let args = ["--proxy", program.to_str().unwrap()];
    let output = run_command("unready", help::BASE_SCENARIO, &args);
    std::fs::remove_file(program).unwrap();
    let error = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(3));
    assert!(
        error.contains("proxy 0 never became ready") && error.contains("not today"),
        "{error}"
    );
}

#[test]
fn a_violation_is_reported_by_the_exit_code_and_in_the_report() {
    let folder = unique_path("report");
    let args = [
        "--baseline",
        "random",
        "--break",
        "cut-off",
        "--report",
        folder.to_str().unwrap(),
    ];
    let scenario = help::BASE_SCENARIO.replace("length = \"5s\"", "length = \"3s\"");
    let output = run_command("broken", &scenario, &args);
    let read_report_file = |name: &str| std::fs::read_to_string(folder.join(name)).unwrap();
    let report = read_report_file("report.json");
    for plot in ["service.svg", "hosts.svg", "proxies.svg"] {
        assert!(read_report_file(plot).contains("<svg"), "{plot}");
    }
    std::fs::remove_dir_all(folder).unwrap();
    let table = String::from_utf8(output.stdout).unwrap();
    assert!(
        output.status.code() == Some(1) && table.contains("BROKEN"),
        "{table}"
    );
    assert!(report.contains("\"rules_held\": false") && report.contains("cut off"));
}

/// The fields of `/proc/PID/stat` behind the process name: its state first, its parent second. `None` if there is no such
/// process.
fn process_fields(process: u32) -> Option<Vec<String>> {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
    let fields = stat.rsplit_once(") ")?.1.split(' ');
    Some(fields.map(str::to_owned).collect())
}

fn children(parent: u32) -> Vec<u32> {
    let entries = std::fs::read_dir("/proc").unwrap().flatten();
    let processes = entries.filter_map(|entry| entry.file_name().to_str()?.parse().ok());
    let is_child = |process: &u32| {
        process_fields(*process).is_some_and(|fields| fields[1] == parent.to_string())
    };
    processes.filter(is_child).collect()
}

/// Whether a process exists and is no zombie.
fn is_alive(process: u32) -> bool {
    process_fields(process).is_some_and(|fields| fields[0] != "Z")
}

#[test_case("-INT")]
#[test_case("-TERM")]
fn an_interrupt_leaves_no_process_behind(signal: &str) {
    let path = scenario_file(&format!("interrupt{signal}"), help::BASE_SCENARIO);
    let mut testbed = Command::new(TESTBED)
        .arg("run")
        .arg(&path)
        .args(["--baseline", "random"])
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let deadline = Instant::now() + Duration::from_secs(5);
    while children(testbed.id()).len() < 2 && Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(20));
    }
    let proxies = children(testbed.id());
    assert_eq!(proxies.len(), 2);
    Command::new("kill")
        .args([signal, &testbed.id().to_string()])
        .status()
        .unwrap();
    assert_eq!(testbed.wait().unwrap().code(), Some(3));
    std::thread::sleep(Duration::from_millis(200));
    let alive = proxies.iter().filter(|process| is_alive(**process)).count();
    assert_eq!(alive, 0);
    std::fs::remove_file(path).unwrap();
}
