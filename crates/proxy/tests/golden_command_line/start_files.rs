//! Exit codes and errors of `serve` and `validate` with valid, invalid and missing files.

use super::configurations::VALID_CONFIGURATION;
use super::support::{assert_golden, temporary_path};
use super::{asterramp, format_output};
use std::path::{Path, PathBuf};

const CONFIG_OPTION: &str = "--config";
const OPERATOR_OPTION: &str = "--operator";
const CONFIG_VARIABLE: &str = "LB_CONFIG";
const OPERATOR_VARIABLE: &str = "ASTERRAMP_OPERATOR";

/// Options of the program or variables of its environment, each with the file that it names.
type NamedFiles<'a> = &'a [(&'a str, &'a Path)];

/// Valid and invalid files for a start; dropping this removes them.
struct StartFiles {
    config: PathBuf,
    bad_config: PathBuf,
    operator: PathBuf,
    bad_operator: PathBuf,
    /// Names `file_at_socket_path` as the admin socket.
    operator_with_taken_socket: PathBuf,
    /// A regular file, which a start must not replace by a socket.
    file_at_socket_path: PathBuf,
}

impl StartFiles {
    /// Writes all files.
    fn write() -> StartFiles {
        let files = StartFiles {
            config: temporary_path("json"),
            bad_config: temporary_path("json"),
            operator: temporary_path("toml"),
            bad_operator: temporary_path("toml"),
            operator_with_taken_socket: temporary_path("toml"),
            file_at_socket_path: temporary_path("sock"),
        };
        let operator_with_taken_socket =
            format!("[control]\nsocket = {:?}\n", files.file_at_socket_path);
        let bad_config = VALID_CONFIGURATION.replace("\"seed\":", "\"sead\":");
        std::fs::write(&files.config, VALID_CONFIGURATION).unwrap();
        std::fs::write(&files.bad_config, bad_config).unwrap();
        std::fs::write(&files.operator, "[drain]\npace = 1\n").unwrap();
        std::fs::write(&files.bad_operator, "[drain]\npase = 1\nquiet = \"x\"\n").unwrap();
        std::fs::write(
            &files.operator_with_taken_socket,
            operator_with_taken_socket,
        )
        .unwrap();
        std::fs::write(&files.file_at_socket_path, "keep me").unwrap();
        files
    }

    /// Each file's path and the placeholder for it in the golden file.
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
            (&self.file_at_socket_path, "<socket>"),
        ]
    }

    /// Runs a command of the program, or the program without a command; returns the title, then exit code and output.
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
        format!("{title}\n{}", format_output(&output, &self.placeholders()))
    }
}

impl Drop for StartFiles {
    fn drop(&mut self) {
        for (path, _) in self.placeholders() {
            let _ = std::fs::remove_file(path);
        }
    }
}

/// Runs `serve` or `validate` with files that are missing or invalid, named by options or by variables. Both commands fail
/// in the same way.
fn record_failing_starts(files: &StartFiles, command: &str) -> String {
    let missing = Path::new("/nowhere/file");
    let (config, bad_config) = (files.config.as_path(), files.bad_config.as_path());
    let bad_operator = files.bad_operator.as_path();
    let cases: [(&str, NamedFiles<'_>, NamedFiles<'_>); 9] = [
        ("nothing", &[], &[]),
        ("no configuration", &[(CONFIG_OPTION, missing)], &[]),
        (
            "no configuration by the variable",
            &[],
            &[(CONFIG_VARIABLE, missing)],
        ),
        ("a bad configuration", &[(CONFIG_OPTION, bad_config)], &[]),
        (
            "the option before the variable",
            &[(CONFIG_OPTION, bad_config)],
            &[(CONFIG_VARIABLE, config)],
        ),
        (
            "a bad operator's file",
            &[(CONFIG_OPTION, config), (OPERATOR_OPTION, bad_operator)],
            &[],
        ),
        (
            "a bad operator's file by the variable",
            &[],
            &[(CONFIG_VARIABLE, config), (OPERATOR_VARIABLE, bad_operator)],
        ),
        (
            "no operator's file",
            &[(CONFIG_OPTION, config), (OPERATOR_OPTION, missing)],
            &[],
        ),
        (
            "both bad",
            &[(CONFIG_OPTION, bad_config), (OPERATOR_OPTION, bad_operator)],
            &[],
        ),
    ];
    cases
        .into_iter()
        .map(|(case, options, variables)| {
            let title = format!("{command}: {case}");
            files.record_start(&title, Some(command), options, variables)
        })
        .collect()
}

#[test]
fn serve_and_validate_report_invalid_files_in_the_same_words() {
    let files = StartFiles::write();
    let config = files.config.as_path();
    let operator_with_taken_socket = files.operator_with_taken_socket.as_path();
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
        &[
            (CONFIG_OPTION, config),
            (OPERATOR_OPTION, operator_with_taken_socket),
        ],
        &[],
    );
    text += &files.record_start(
        "validate: the same is good",
        Some("validate"),
        &[
            (CONFIG_OPTION, config),
            (OPERATOR_OPTION, operator_with_taken_socket),
        ],
        &[],
    );
    text += &files.record_start(
        "validate: both good",
        Some("validate"),
        &[(CONFIG_OPTION, config), (OPERATOR_OPTION, &files.operator)],
        &[],
    );
    let content = std::fs::read_to_string(&files.file_at_socket_path).unwrap();
    assert_eq!(content, "keep me");
    assert_golden("command_line/files.txt", &text);
}
