//! Starts with good, bad and missing files.

use super::configurations::GOOD_CONFIGURATION;
use super::support::{assert_golden, temporary_path};
use super::{asterramp, shown};
use std::path::{Path, PathBuf};

const CONFIG: &str = "--config";
const OPERATOR: &str = "--operator";
const CONFIG_VARIABLE: &str = "LB_CONFIG";
const OPERATOR_VARIABLE: &str = "ASTERRAMP_OPERATOR";

/// Options of the program, or variables of its environment, that name files.
type NamedFiles<'a> = &'a [(&'a str, &'a Path)];

/// Good and bad files for a start; they are removed with the test.
struct StartFiles {
    config: PathBuf,
    bad_config: PathBuf,
    operator: PathBuf,
    bad_operator: PathBuf,
    /// Names the plain file below as the path of the admin socket.
    operator_with_taken_socket: PathBuf,
    plain_file: PathBuf,
}

impl StartFiles {
    fn write() -> StartFiles {
        let files = StartFiles {
            config: temporary_path("json"),
            bad_config: temporary_path("json"),
            operator: temporary_path("toml"),
            bad_operator: temporary_path("toml"),
            operator_with_taken_socket: temporary_path("toml"),
            plain_file: temporary_path("sock"),
        };
        let taken = format!("[control]\nsocket = {:?}\n", files.plain_file);
        let bad_config = GOOD_CONFIGURATION.replace("\"seed\":", "\"sead\":");
        std::fs::write(&files.config, GOOD_CONFIGURATION).unwrap();
        std::fs::write(&files.bad_config, bad_config).unwrap();
        std::fs::write(&files.operator, "[drain]\npace = 1\n").unwrap();
        std::fs::write(&files.bad_operator, "[drain]\npase = 1\nquiet = \"x\"\n").unwrap();
        std::fs::write(&files.operator_with_taken_socket, taken).unwrap();
        std::fs::write(&files.plain_file, "keep me").unwrap();
        files
    }

    fn placeholders(&self) -> [(&Path, &str); 6] {
        [
            (&self.config, "<config>"),
            (&self.bad_config, "<bad config>"),
            (&self.operator, "<operator>"),
            (&self.bad_operator, "<bad operator>"),
            (
                &self.operator_with_taken_socket,
                "<operator with a file for a socket>",
            ),
            (&self.plain_file, "<socket>"),
        ]
    }

    /// Runs a command, or the program without one; the title and what came out of the run.
    fn record_start(
        &self,
        title: &str,
        command: Option<&str>,
        options: NamedFiles<'_>,
        variables: NamedFiles<'_>,
    ) -> String {
        let mut process = asterramp(&[]);
        process.args(command);
        for (option, path) in options {
            process.arg(option).arg(path);
        }
        for (variable, path) in variables {
            process.env(variable, path);
        }
        let output = process.output().unwrap();
        format!("{title}\n{}", shown(&output, &self.placeholders()))
    }
}

impl Drop for StartFiles {
    fn drop(&mut self) {
        for (path, _) in self.placeholders() {
            let _ = std::fs::remove_file(path);
        }
    }
}

/// Starts that end the same way with `serve` and `validate`: each file named by an option or by its variable, good, bad
/// and missing.
fn record_failing_starts(files: &StartFiles, command: &str) -> String {
    let missing = Path::new("/nowhere/file");
    let (config, bad_config) = (files.config.as_path(), files.bad_config.as_path());
    let bad_operator = files.bad_operator.as_path();
    let cases: [(&str, NamedFiles<'_>, NamedFiles<'_>); 9] = [
        ("nothing", &[], &[]),
        ("no configuration", &[(CONFIG, missing)], &[]),
        (
            "no configuration by the variable",
            &[],
            &[(CONFIG_VARIABLE, missing)],
        ),
        ("a bad configuration", &[(CONFIG, bad_config)], &[]),
        (
            "the option before the variable",
            &[(CONFIG, bad_config)],
            &[(CONFIG_VARIABLE, config)],
        ),
        (
            "a bad operator's file",
            &[(CONFIG, config), (OPERATOR, bad_operator)],
            &[],
        ),
        (
            "a bad operator's file by the variable",
            &[],
            &[(CONFIG_VARIABLE, config), (OPERATOR_VARIABLE, bad_operator)],
        ),
        (
            "no operator's file",
            &[(CONFIG, config), (OPERATOR, missing)],
            &[],
        ),
        (
            "both bad",
            &[(CONFIG, bad_config), (OPERATOR, bad_operator)],
            &[],
        ),
    ];
    cases
        .into_iter()
        .map(|(name, options, variables)| {
            let title = format!("{command}: {name}");
            files.record_start(&title, Some(command), options, variables)
        })
        .collect()
}

#[test]
fn serve_and_validate_end_the_same_way_where_a_file_is_bad() {
    let files = StartFiles::write();
    let config = files.config.as_path();
    let taken = files.operator_with_taken_socket.as_path();
    let mut text = record_failing_starts(&files, "serve");
    text += &record_failing_starts(&files, "validate");
    text += &files.record_start("no command and nothing", None, &[], &[]);
    text += &files.record_start(
        "no command, a bad operator's file",
        None,
        &[],
        &[
            (CONFIG_VARIABLE, config),
            (OPERATOR_VARIABLE, &files.bad_operator),
        ],
    );
    text += &files.record_start(
        "serve: a file where the control socket is to be",
        Some("serve"),
        &[(CONFIG, config), (OPERATOR, taken)],
        &[],
    );
    text += &files.record_start(
        "validate: the same is good",
        Some("validate"),
        &[(CONFIG, config), (OPERATOR, taken)],
        &[],
    );
    text += &files.record_start(
        "validate: both good",
        Some("validate"),
        &[(CONFIG, config), (OPERATOR, &files.operator)],
        &[],
    );
    let kept = std::fs::read_to_string(&files.plain_file).unwrap();
    assert_eq!(kept, "keep me");
    assert_golden("command_line/files.txt", &text);
}
