//! Compares the command line with an earlier build's: exit codes, error lines, status texts, and the requests that commands
//! send. The files under `golden/command_line/` were written by that build and never change; the Rust names in this
//! program may.

#[path = "../support/mod.rs"]
mod support;

mod admin_commands;
mod configurations;
mod start_files;

use std::path::Path;
use std::process::{Command, Output};
use support::assert_golden;

/// The command that runs `asterramp` without the variables that the caller's environment may set for it.
fn asterramp(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_asterramp"));
    command.args(args);
    for variable in ["LB_CONFIG", "LB_OPERATOR", "ASTERRAMP_OPERATOR", "TMPDIR"] {
        command.env_remove(variable);
    }
    command
}

/// The exit code and the output of a run in the format of the golden files. Each of the paths, which differ between runs, is
/// replaced by its placeholder.
fn format_output(output: &Output, placeholders: &[(&Path, &str)]) -> String {
    let with_placeholders = |bytes: &[u8]| {
        let mut text = String::from_utf8(bytes.to_vec()).unwrap();
        for (path, placeholder) in placeholders {
            text = text.replace(&path.display().to_string(), placeholder);
        }
        text
    };
    let mut text = format!("exit {}\n", output.status.code().unwrap());
    for (name, bytes) in [("out", &output.stdout), ("err", &output.stderr)] {
        for line in with_placeholders(bytes).lines() {
            text += &format!("{name}: {line}\n");
        }
    }
    text
}

/// Commands at admin sockets that don't exist, or at a store's address on which nothing listens.
const UNREACHABLE_COMMANDS: &[&[&str]] = &[
    &["status", "--control", "/nowhere/a.sock"],
    &["status", "--json", "--control", "/nowhere/a.sock"],
    &["status", "--watch", "--control", "/nowhere/a.sock"],
    &["drain", "--control", "/nowhere/a.sock"],
    &["drain", "--wait", "--control", "/nowhere/a.sock"],
    &["undrain", "--control", "/nowhere/a.sock"],
    &["roll", "--control", "/nowhere/a.sock"],
    &[
        "roll",
        "--patience",
        "1ms",
        "--control",
        "/nowhere/a.sock",
        "--control",
        "/nowhere/b.sock",
    ],
    &[
        "roll",
        "--control",
        "/nowhere/a.sock",
        "--store",
        "127.0.0.1:9",
    ],
    &[
        "fleet",
        "status",
        "--store",
        "127.0.0.1:9",
        "--name",
        "june",
    ],
    &["fleet", "pause", "--store", "127.0.0.1:9", "--name", "june"],
];

#[test]
fn commands_without_a_proxy_or_a_store_fail_the_same_way() {
    let mut text = String::new();
    for command in UNREACHABLE_COMMANDS {
        let output = asterramp(command).output().unwrap();
        text += &format!("{}\n{}", command.join(" "), format_output(&output, &[]));
    }
    assert_golden("command_line/nobody.txt", &text);
}

/// Command lines that the parser rejects or handles itself, such as `--version`.
const PARSER_COMMAND_LINES: &[&[&str]] = &[
    &["halt"],
    &["status"],
    &["drain"],
    &["undrain"],
    &["roll"],
    &["fleet"],
    &["fleet", "halt"],
    &["fleet", "status", "--name", "june"],
    &["fleet", "status", "--store", "127.0.0.1:9"],
    &["fleet", "status", "--store", "here", "--name", "june"],
    &["fleet", "cancel", "--store", "127.0.0.1:9", "--name", "a b"],
    &["fleet", "resume", "--store", "127.0.0.1:9", "--name", ""],
    &["drain", "--control", "/a", "--deadline", "5"],
    &["drain", "--control", "/a", "--deadline", "5 s"],
    &["drain", "--control", "/a", "--pace", "fast"],
    &["roll", "--control", "/a", "--patience", "long"],
    &["roll", "--control", "/a", "--name", "june"],
    &["roll", "--control", "/a", "--share", "x"],
    &[
        "roll",
        "--control",
        "/a",
        "--store",
        "127.0.0.1:9",
        "--name",
        "a/b",
    ],
    &["status", "--control", "/a", "--odd"],
    &["serve", "--odd"],
    &["completions"],
    &["completions", "odd"],
    &["state"],
    &["--version"],
];

/// Of the parser's output on standard error only the error itself is compared, since the usage text below it may change.
#[test]
fn a_command_line_that_the_parser_handles_has_the_same_code_and_error() {
    let mut text = String::new();
    for command in PARSER_COMMAND_LINES {
        let output = asterramp(command).output().unwrap();
        let stderr = String::from_utf8(output.stderr).unwrap();
        let first_paragraph = stderr.split("\n\n").next().unwrap_or_default();
        // A command without its subcommand prints its help, which may change.
        let error = if first_paragraph.starts_with("error: ") {
            first_paragraph
        } else {
            "(help)"
        };
        let code = output.status.code().unwrap();
        let stdout = String::from_utf8(output.stdout).unwrap();
        text += &format!("{}\nexit {code}\n{error}\n{stdout}", command.join(" "));
    }
    assert_golden("command_line/usage.txt", &text);
}
