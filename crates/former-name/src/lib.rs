//! Keeps the former names of renamed programs working: a program with the former name replaces its process by the
//! program with the current name in the same directory.

use std::io;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Command, ExitCode};

/// The exit code for a program that cannot be started, the same as in shells.
const EXIT_CANNOT_START: u8 = 127;

/// Replaces this process by the program `current_name` in the same directory, with the same arguments, environment,
/// open files and process id.
///
/// Returns only if that program cannot be started. The reason is written to standard error, and the returned exit code
/// is 127.
#[must_use]
pub fn exec_renamed_program(current_name: &str) -> ExitCode {
    let program = match path_in_own_directory(current_name) {
        Ok(program) => program,
        Err(error) => return report_start_failure(current_name, &error),
    };
    let error = Command::new(program)
        .args(std::env::args_os().skip(1))
        .exec();
    report_start_failure(current_name, &error)
}

fn path_in_own_directory(name: &str) -> io::Result<PathBuf> {
    Ok(std::env::current_exe()?.with_file_name(name))
}

fn report_start_failure(program: &str, error: &io::Error) -> ExitCode {
    eprintln!("{program}: {error}");
    ExitCode::from(EXIT_CANNOT_START)
}
