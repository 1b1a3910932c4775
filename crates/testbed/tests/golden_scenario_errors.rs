//! The error lines and exit codes for invalid scenario files stay as they were when the program was called `asterramp-rig`.
//! The files under `golden/scenario_errors/` were written by such a build and never change; the only difference allowed is
//! the name of the program.

use std::fmt::Write;
use std::path::Path;
use std::process::Command;

const FORMER_NAME: &str = "asterramp-rig";
const PRESENT_NAME: &str = "asterramp-testbed";
const SCENARIO_FILE: &str = "scenario.toml";

fn golden(name: &str) -> String {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/scenario_errors");
    std::fs::read_to_string(folder.join(name)).unwrap()
}

/// Replaces each `\n` of a text from the golden file by a line break.
fn unescaped(text: &str) -> String {
    text.replace("\\n", "\n")
}

/// The base scenario with the edits of a case: the first occurrence of each `from` is replaced by the `to` in the next line.
fn edited(base: &str, case: &str) -> String {
    let mut text = base.to_owned();
    let mut lines = case.lines();
    while let Some(line) = lines.next() {
        let Some(from) = line.strip_prefix("from: ") else {
            continue;
        };
        let to = lines
            .next()
            .and_then(|line| line.strip_prefix("to: "))
            .unwrap();
        let from = unescaped(from);
        assert!(text.contains(&from), "{case}: {from:?} is not in the base");
        text = text.replacen(&from, &unescaped(to), 1);
    }
    text
}

/// Runs a scenario and returns its exit code and output in the format of the golden file.
fn outcome(folder: &Path, scenario: &str) -> String {
    std::fs::write(folder.join(SCENARIO_FILE), scenario).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_asterramp-testbed"))
        .args(["run", SCENARIO_FILE])
        .current_dir(folder)
        .output()
        .unwrap();
    let mut text = format!("exit: {}\n", output.status.code().unwrap());
    for (name, bytes) in [("err", output.stderr), ("out", output.stdout)] {
        for line in String::from_utf8(bytes).unwrap().lines() {
            writeln!(text, "{name}: {line}").unwrap();
        }
    }
    text
}

#[test]
fn the_error_lines_for_invalid_scenarios_are_unchanged() {
    let folder = std::env::temp_dir().join(format!("asterramp-errors-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let base = golden("base.toml");
    let cases = golden("cases.txt");
    let mut count = 0;
    for case in cases.split("\n\n") {
        let (_, expected) = case.split_once("exit: ").unwrap();
        let expected = format!("exit: {}\n", expected.trim_end());
        let actual = outcome(&folder, &edited(&base, case));
        assert_eq!(
            actual,
            expected.replace(FORMER_NAME, PRESENT_NAME),
            "{case}"
        );
        count += 1;
    }
    std::fs::remove_dir_all(folder).unwrap();
    assert_eq!(count, 86, "the number of cases");
}
