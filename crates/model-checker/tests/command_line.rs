//! The commands under their present and former names, their exit codes and what they print.

use std::process::{Command, Output};
use test_case::test_case;

/// A trace that needs an injected fault, as earlier builds wrote it.
const TIMEOUT_TRACE: &str = "tests/golden/trace-timeout.txt";
/// A trace in which all properties hold.
const WALK_TRACE: &str = "tests/golden/trace-walk.txt";
/// The test that the model checker at commit 17cc2a9 made of [`WALK_TRACE`], with the package's name at that time.
const WALK_TRACE_AS_TEST: &str = include_str!("golden/trace-walk-as-test.txt");

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_asterramp-model-checker"))
        .args(arguments)
        .output()
        .expect("the program starts")
}

fn stdout_text(output: &Output) -> &str {
    std::str::from_utf8(&output.stdout).expect("the output is text")
}

fn stderr_text(output: &Output) -> &str {
    std::str::from_utf8(&output.stderr).expect("the errors are text")
}

#[test_case("injected-faults", "plants")]
#[test_case("hot-restart", "handover")]
#[test_case("zone-failover", "site")]
#[test_case("warm-start", "recovery")]
#[test_case("leader-lease", "owner")]
fn a_command_is_still_known_by_its_former_name(name: &str, former_name: &str) {
    let present = run(&[name, "--help"]);
    let former = run(&[former_name, "--help"]);
    assert_eq!(former.status.code(), Some(0));
    assert!(!present.stdout.is_empty());
    assert_eq!(former.stdout, present.stdout);
}

#[test_case(&["hot-restart"], &["handover"])]
#[test_case(&["zone-failover", "--depth", "1"], &["site", "--depth", "1"])]
#[test_case(&["warm-start", "--depth", "1"], &["recovery", "--depth", "1"])]
#[test_case(&["leader-lease", "--depth", "1"], &["owner", "--depth", "1"])]
fn a_model_is_explored_under_both_names_of_its_command(present: &[&str], former: &[&str]) {
    let present = run(present);
    let former = run(former);
    assert_eq!(present.status.code(), Some(0));
    assert!(stdout_text(&present).contains(" states, "));
    assert!(stdout_text(&present).contains("all hold\n"));
    assert_eq!(former.status.code(), Some(0));
    assert_eq!(former.stdout, present.stdout);
}

/// No fault has the name that is passed, so that a build with injected faults searches for none.
#[test]
fn a_fault_is_named_by_the_present_and_by_the_former_option() {
    let present = run(&["injected-faults", "--fault", "none-such"]);
    let former = run(&["plants", "--plant", "none-such"]);
    assert!(!stderr_text(&former).contains("unexpected argument"));
    assert_eq!(former, present);
}

#[cfg(not(feature = "injected-faults"))]
#[test]
fn a_build_without_faults_says_so() {
    let output = run(&["injected-faults"]);
    assert_eq!(output.status.code(), Some(2));
    assert_eq!(
        stderr_text(&output),
        "asterramp-model-checker: this build has no injected faults; build it with --features injected-faults\n"
    );
    let output = run(&["replay", TIMEOUT_TRACE]);
    assert_eq!(output.status.code(), Some(2));
    assert_eq!(
        stderr_text(&output),
        "asterramp-model-checker: plant TimeOutProvesNothing: build with --features injected-faults\n"
    );
}

/// The trace has the fault under its former name; it is injected and a property is violated.
#[cfg(feature = "injected-faults")]
#[test]
fn a_trace_with_an_injected_fault_is_replayed_with_it() {
    let output = run(&["replay", TIMEOUT_TRACE]);
    assert_eq!(output.status.code(), Some(1));
    let last_line = stdout_text(&output).lines().last();
    assert_eq!(
        last_line,
        Some("NoEffectTwice: session 0 dials again though it may have run")
    );
}

#[test_case(&["run", "--shape", "none"], "--shape: \"none\" is not known"; "unknown shape")]
#[test_case(&["replay", "none.txt"], "none.txt: No such file or directory (os error 2)"; "missing file")]
#[test_case(&["replay", "Cargo.toml"], "Cargo.toml: line 1: no numbered step"; "malformed trace")]
fn bad_input_is_reported_and_ends_with_code_2(arguments: &[&str], report: &str) {
    let output = run(arguments);
    assert_eq!(output.status.code(), Some(2));
    assert_eq!(
        stderr_text(&output),
        format!("asterramp-model-checker: {report}\n")
    );
    assert_eq!(stdout_text(&output), "");
}

#[test]
fn an_exploration_that_stops_at_a_limit_ends_with_code_4() {
    let output = run(&["run", "--shape", "once-only", "--states", "100"]);
    assert_eq!(output.status.code(), Some(4));
    let line = stdout_text(&output);
    assert!(line.starts_with("once-only                102 states, depth   2, "));
    assert!(line.ends_with("  stopped; 88 states not gone on from\n"));
}

#[test]
fn a_trace_that_holds_is_replayed_with_code_0() {
    let output = run(&["replay", WALK_TRACE]);
    assert_eq!(output.status.code(), Some(0));
    let mut lines = stdout_text(&output).lines();
    assert_eq!(
        lines.next(),
        Some("  1. at     0 ms  host 9 told draining ~2")
    );
    assert_eq!(lines.last(), Some("all properties hold"));
}

#[test]
fn a_trace_is_printed_as_the_test_that_earlier_builds_printed() {
    let output = run(&["replay", "--as-test", WALK_TRACE]);
    assert_eq!(output.status.code(), Some(0));
    let expected = WALK_TRACE_AS_TEST.replace("asterramp_check::", "asterramp_model_checker::");
    assert_eq!(stdout_text(&output), expected);
}
