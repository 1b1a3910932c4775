//! Files, good and bad.
#![allow(
    missing_docs,
    unreachable_pub,
    missing_debug_implementations,
    rust_2018_idioms
)] // Not yet brought to the workspace lints.
#![allow(clippy::too_many_lines, clippy::cognitive_complexity)] // Not yet brought to the workspace lints.

use asterramp_operator_config::{OperatorConfig, TakesEffect, parse_span};
use std::time::Duration;
use test_case::test_case;

#[test]
fn an_empty_file_switches_nothing_on_and_a_full_one_is_read() {
    assert_eq!(OperatorConfig::read(""), Ok(OperatorConfig::default()));
    let text = "[control]\nsocket = \"/run/a.sock\"\npeers = 4\n[drain]\ndeadline = \"2m\"\nclosing = \"1500ms\"\n\
                quiet = \"1s\"\npace = 40\nback = \"5s\"\n";
    let operator = OperatorConfig::read(text).unwrap();
    let control = operator.control.clone().unwrap();
    assert_eq!(
        (control.socket.to_str(), control.peers),
        (Some("/run/a.sock"), 4)
    );
    let drain = &operator.drain;
    assert_eq!(
        (
            drain.deadline.as_secs(),
            drain.closing.as_millis(),
            drain.pace
        ),
        (120, 1_500, 40.0)
    );
    let changed =
        OperatorConfig::read(&text.replace("40", "41").replace("a.sock", "b.sock")).unwrap();
    let changes = operator.changes(&changed);
    assert_eq!(
        changes,
        [
            ("control.socket".into(), TakesEffect::Restart),
            ("drain.pace".into(), TakesEffect::AtOnce)
        ]
    );
    assert_eq!(operator.changes(&operator), []);
    let site = OperatorConfig::read("[site]\nwatch = false\nsettle = \"9s\"\n").unwrap();
    assert_eq!((site.site.watch, site.site.settle.as_secs()), (false, 9));
    let changes = site.changes(&OperatorConfig::default());
    assert_eq!(
        changes,
        [
            ("site.watch".into(), TakesEffect::Restart),
            ("site.settle".into(), TakesEffect::AtOnce)
        ]
    );
    let anew =
        OperatorConfig::read("[state]\nfolder = \"/var/a\"\n[recovery]\nstages = true\n").unwrap();
    assert_eq!(
        anew.state.as_ref().map(|state| state.every.as_secs()),
        Some(1)
    );
    assert!(anew.recovery.stages && !OperatorConfig::default().recovery.stages);
    let changes: Vec<String> = anew
        .changes(&OperatorConfig::default())
        .into_iter()
        .map(|c| c.0)
        .collect();
    assert_eq!(changes, ["state.folder", "state.every", "recovery.stages"]);
}

#[test_case("[drain]\npase = 1\n", 2, &["drain.pase", "allowed are deadline, closing"]; "unknown key")]
#[test_case("\n[drian]\n", 2, &["[drian]", "[control], [drain], [site], [state], [recovery]"]; "unknown table")]
#[test_case("drain = 1\n", 1, &["drain is a table"]; "no table")]
#[test_case("[drain]\npace = 0\n", 2, &["drain.pace", "0.1 to"]; "out of range")]
#[test_case("[drain]\npace = \"5\"\n", 2, &["drain.pace", "no number"]; "text for a number")]
#[test_case("[drain]\n\ndeadline = \"5 s\"\n", 3, &["drain.deadline", "\"5 s\"", "as in"]; "a time with a blank")]
#[test_case("[drain]\ndeadline = 5\n", 2, &["drain.deadline", "no time"]; "a time without unit")]
#[test_case("[drain]\nback = \"3h\"\n", 2, &["drain.back", "3600s"]; "too long")]
#[test_case("[control]\nsocket = \"a.sock\"\n", 2, &["control.socket", "absolute"]; "a relative path")]
#[test_case("[control]\nsocket = \"/a\"\npeers = 100\n", 3, &["control.peers", "1 to 64"]; "too many peers")]
#[test_case("[control]\npeers = 3\n", 1, &["control.socket is missing"]; "peers without a socket")]
#[test_case("[site]\nwatch = 1\n", 2, &["site.watch", "true nor false"]; "a number for a flag")]
#[test_case("[site]\nlook = \"10ms\"\n", 2, &["site.look", "0.2s to 60s"]; "looks too often")]
#[test_case("[site]\nwait = \"1s\"\n", 2, &["site.wait", "watch, look, hold, hold_most, settle, pace, by_worth"]; "unknown key of places")]
#[test_case("[state]\nfolder = \"state\"\n", 2, &["state.folder", "absolute path"]; "a relative folder")]
#[test_case("[state]\nevery = \"1s\"\n", 1, &["state.folder is missing"]; "a pace without a folder")]
#[test_case("[state]\nfolder = \"/s\"\nevery = \"1ms\"\n", 3, &["state.every", "0.2s to"]; "saves too often")]
#[test_case("[recovery]\nlook = \"5s\"\n", 2, &["recovery.look", "0s to 1s"]; "a door shut too long")]
#[test_case("[recovery]\nstages = \"yes\"\n", 2, &["recovery.stages", "true nor false"]; "text for a flag")]
#[test_case("[drain]\npace = \n", 2, &[]; "not TOML")]
fn what_is_wrong_is_told_with_its_line_its_key_and_what_is_allowed(
    text: &str,
    line: usize,
    says: &[&str],
) {
    let problems = OperatorConfig::read(text).unwrap_err();
    assert_eq!(problems[0].line, line, "{problems:?}");
    assert!(
        says.iter().all(|word| problems[0].what.contains(word)),
        "{problems:?}"
    );
}

#[test]
fn all_that_is_wrong_is_told_at_once() {
    let text = "[drain]\npace = 0\nquiet = \"x\"\nodd = 1\n[nothing]\n[control]\nsocket = 5\n";
    let lines: Vec<usize> = OperatorConfig::read(text)
        .unwrap_err()
        .iter()
        .map(|p| p.line)
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
#[test_case("1e400s", None; "beyond all numbers")]
fn times_have_a_unit(text: &str, ms: Option<u64>) {
    assert_eq!(parse_span(text), ms.map(Duration::from_millis));
}
