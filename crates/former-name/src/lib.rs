//! Keeps the former names of renamed programs working: a program of the former name replaces itself by the one of the
//! present name that is installed beside it.

use std::io;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Command, ExitCode};

/// The exit code of a program that cannot be started, as shells have it.
const EXIT_CANNOT_START: u8 = 127;

/// Replaces this process by the program `present_name` in the same folder, with the same arguments, environment, open
/// files and process id.
///
/// Returns only if that program cannot be started: the reason goes to standard error, and the exit code is 127.
#[must_use]
pub fn exec_renamed_program(present_name: &str) -> ExitCode {
    let program = match path_beside_this_program(present_name) {
        Ok(program) => program,
        Err(error) => return cannot_start(present_name, &error),
    };
    let error = Command::new(program)
        .args(std::env::args_os().skip(1))
        .exec();
    cannot_start(present_name, &error)
}

fn path_beside_this_program(name: &str) -> io::Result<PathBuf> {
    Ok(std::env::current_exe()?.with_file_name(name))
}

fn cannot_start(program: &str, error: &io::Error) -> ExitCode {
    eprintln!("{program}: {error}");
    ExitCode::from(EXIT_CANNOT_START)
}
