//! The help, error lines and exit codes of the command line stay as they were when the program was called `asterramp-rig`.
//! The files under `golden/command_line/` were written by such a build and never change; the only difference allowed is the
//! name of the program.

use std::fmt::Write;
use std::path::{Path, PathBuf};
use std::process::Command;

const FORMER_NAME: &str = "asterramp-rig";
const PRESENT_NAME: &str = "asterramp-testbed";

/// The invalid configuration files of the plain proxy that the cases refer to: name and content.
const CONFIGURATIONS: [(&str, &str); 4] = [
    ("no_json.json", r#"{"listen": "#),
    ("no_address.json", r#"{"listen": "here"}"#),
    ("no_listen.json", "{}"),
    ("foreign.json", r#"{"listen": "192.0.2.1:9"}"#),
];

fn golden(name: &str) -> String {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden");
    std::fs::read_to_string(folder.join(name)).unwrap()
}

/// Creates a folder with the files that the cases refer to.
fn folder_with_files(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("asterramp-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let scenario = golden("scenario_errors/base.toml");
    std::fs::write(folder.join("base.toml"), scenario).unwrap();
    for (name, text) in CONFIGURATIONS {
        std::fs::write(folder.join(name), text).unwrap();
    }
    folder
}

/// Runs the command line of a case and returns its exit code and output in the format of the golden file.
fn run_case(folder: &Path, case: &str) -> String {
    let line = |key: &str| case.lines().find_map(|line| line.strip_prefix(key));
    let arguments = line("args:").unwrap().trim_start();
    let mut command = Command::new(env!("CARGO_BIN_EXE_asterramp-testbed"));
    command
        .args(arguments.split_whitespace())
        .current_dir(folder)
        .env_remove("LB_CONFIG")
        .env_remove("COLUMNS");
    let mut text = format!("args: {arguments}\n");
    if let Some(configuration) = line("LB_CONFIG: ") {
        command.env("LB_CONFIG", configuration);
        writeln!(text, "LB_CONFIG: {configuration}").unwrap();
    }
    let output = command.output().unwrap();
    writeln!(text, "exit: {}", output.status.code().unwrap()).unwrap();
    for (name, bytes) in [("err", output.stderr), ("out", output.stdout)] {
        for line in String::from_utf8(bytes).unwrap().lines() {
            writeln!(text, "{name}: {line}").unwrap();
        }
    }
    text
}

fn assert_cases_match(name: &str, count: usize) {
    let folder = folder_with_files(name);
    let cases = golden(&format!("command_line/{name}.txt"));
    let cases: Vec<&str> = cases.split("\n\n").collect();
    for case in &cases {
        let expected = format!("{}\n", case.trim_end_matches('\n'));
        let actual = run_case(&folder, case);
        assert_eq!(actual, expected.replace(FORMER_NAME, PRESENT_NAME));
    }
    std::fs::remove_dir_all(folder).unwrap();
    assert_eq!(cases.len(), count, "the number of cases");
}

#[test]
fn error_lines_and_exit_codes_are_unchanged() {
    assert_cases_match("errors", 32);
}

#[test]
fn the_help_of_each_command_is_unchanged() {
    assert_cases_match("help", 20);
}
