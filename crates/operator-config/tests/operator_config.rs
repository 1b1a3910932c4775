//! Parsing of valid and invalid files, and the differences between two configurations.

use asterramp_operator_config::{ConfigChange, OperatorConfig, TakesEffect, parse_duration};
use std::time::Duration;
use test_case::test_case;

const FULL: &str = "[control]\nsocket = \"/run/a.sock\"\npeers = 4\n\
                    [drain]\ndeadline = \"2m\"\nclosing = \"1500ms\"\nquiet = \"1s\"\npace = 40\nback = \"5s\"\n";

fn parse(text: &str) -> OperatorConfig {
    OperatorConfig::parse(text).unwrap()
}

fn change(key: &str, takes_effect: TakesEffect) -> ConfigChange {
    ConfigChange {
        key: key.into(),
        takes_effect,
    }
}

#[test]
fn an_empty_file_has_the_defaults() {
    assert_eq!(OperatorConfig::parse(""), Ok(OperatorConfig::default()));
}

#[test]
fn values_are_parsed() {
    let config = parse(FULL);
    let admin_socket = config.admin_socket.unwrap();
    assert_eq!(
        (admin_socket.path.to_str(), admin_socket.max_connections),
        (Some("/run/a.sock"), 4)
    );
    let drain = &config.drain;
    assert_eq!(
        (
            drain.default_deadline.as_secs(),
            drain.max_closing_time.as_millis(),
            drain.max_migrations_per_second
        ),
        (120, 1_500, 40.0)
    );
}

#[test]
fn changes_name_the_keys_that_differ_and_when_they_take_effect() {
    let config = parse(FULL);
    let changed = parse(&FULL.replace("40", "41").replace("a.sock", "b.sock"));
    assert_eq!(
        config.changes(&changed),
        [
            change("control.socket", TakesEffect::AfterRestart),
            change("drain.pace", TakesEffect::Immediately)
        ]
    );
    assert_eq!(config.changes(&config), []);
}

#[test]
fn zone_failover_is_on_by_default_and_can_be_switched_off() {
    let config = parse("[site]\nwatch = false\nsettle = \"9s\"\n");
    let zones = &config.zone_failover;
    assert_eq!((zones.enabled, zones.recovery_ramp.as_secs()), (false, 9));
    assert_eq!(
        config.changes(&OperatorConfig::default()),
        [
            change("site.watch", TakesEffect::AfterRestart),
            change("site.settle", TakesEffect::Immediately)
        ]
    );
}

#[test]
fn snapshots_and_warm_start_are_off_by_default_and_can_be_switched_on() {
    let config = parse("[state]\nfolder = \"/var/a\"\n[recovery]\nstages = true\n");
    let interval = config
        .snapshots
        .as_ref()
        .map(|snapshots| snapshots.interval.as_secs());
    assert_eq!(interval, Some(1));
    assert!(config.warm_start.enabled && !OperatorConfig::default().warm_start.enabled);
    let changes: Vec<String> = config
        .changes(&OperatorConfig::default())
        .into_iter()
        .map(|change| change.key)
        .collect();
    assert_eq!(changes, ["state.folder", "state.every", "recovery.stages"]);
}

#[test_case("[drain]\npase = 1\n", 2, &["drain.pase", "allowed are deadline, closing"]; "unknown key")]
#[test_case("\n[drian]\n", 2, &["[drian]", "[control], [drain], [site], [state], [recovery]"]; "unknown table")]
#[test_case("drain = 1\n", 1, &["drain is a table"]; "a number for a table")]
#[test_case("[drain]\npace = 0\n", 2, &["drain.pace", "0.1 to"]; "out of range")]
#[test_case("[drain]\npace = \"5\"\n", 2, &["drain.pace", "no number"]; "a string for a number")]
#[test_case("[drain]\n\ndeadline = \"5 s\"\n", 3, &["drain.deadline", "\"5 s\"", "as in"]; "a duration with a blank")]
#[test_case("[drain]\ndeadline = 5\n", 2, &["drain.deadline", "no time"]; "a duration without unit")]
#[test_case("[drain]\nback = \"3h\"\n", 2, &["drain.back", "3600s"]; "a duration above its maximum")]
#[test_case("[control]\nsocket = \"a.sock\"\n", 2, &["control.socket", "absolute"]; "a relative path")]
#[test_case("[control]\nsocket = \"/a\"\npeers = 100\n", 3, &["control.peers", "1 to 64"]; "too many peers")]
#[test_case("[control]\npeers = 3\n", 1, &["control.socket is missing"]; "peers without a socket")]
#[test_case("[site]\nwatch = 1\n", 2, &["site.watch", "true nor false"]; "a number for a boolean")]
#[test_case("[site]\nlook = \"10ms\"\n", 2, &["site.look", "0.2s to 60s"]; "a probe interval below its minimum")]
#[test_case("[site]\nwait = \"1s\"\n", 2, &["site.wait", "watch, look, hold, hold_most, settle, pace, by_worth"]; "unknown zone failover key")]
#[test_case("[state]\nfolder = \"state\"\n", 2, &["state.folder", "absolute path"]; "a relative directory")]
#[test_case("[state]\nevery = \"1s\"\n", 1, &["state.folder is missing"]; "an interval without a directory")]
#[test_case("[state]\nfolder = \"/s\"\nevery = \"1ms\"\n", 3, &["state.every", "0.2s to"]; "a snapshot interval below its minimum")]
#[test_case("[recovery]\nlook = \"5s\"\n", 2, &["recovery.look", "0s to 1s"]; "a discovery timeout above its maximum")]
#[test_case("[recovery]\nstages = \"yes\"\n", 2, &["recovery.stages", "true nor false"]; "a string for a boolean")]
#[test_case("[drain]\npace = \n", 2, &[]; "not TOML")]
fn a_problem_states_its_line_its_key_and_the_allowed_values(
    text: &str,
    line: usize,
    parts: &[&str],
) {
    let problems = OperatorConfig::parse(text).unwrap_err();
    assert_eq!(problems[0].line, line, "{problems:?}");
    let message = problems[0].error.to_string();
    assert!(
        parts.iter().all(|part| message.contains(part)),
        "{problems:?}"
    );
}

#[test]
fn all_problems_are_reported_at_once() {
    let text = "[drain]\npace = 0\nquiet = \"x\"\nodd = 1\n[nothing]\n[control]\nsocket = 5\n";
    let lines: Vec<usize> = OperatorConfig::parse(text)
        .unwrap_err()
        .iter()
        .map(|problem| problem.line)
        .collect();
    assert!(
        [2, 3, 4, 5, 7].iter().all(|line| lines.contains(line)),
        "{lines:?}"
    );
}

#[test_case("250ms", Some(250); "milliseconds")]
#[test_case("1.5s", Some(1_500); "a fraction")]
#[test_case("2m", Some(120_000); "minutes")]
#[test_case("1h", Some(3_600_000); "hours")]
#[test_case("s", None; "no number")]
#[test_case("5", None; "no unit")]
#[test_case("-5s", None; "negative")]
#[test_case("1e400s", None; "a number that is too large")]
fn durations_have_a_unit(text: &str, milliseconds: Option<u64>) {
    assert_eq!(
        parse_duration(text),
        milliseconds.map(Duration::from_millis)
    );
}
