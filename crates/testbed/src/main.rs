//! The program `asterramp-testbed`; see [`commands`].

mod commands;

use std::process::ExitCode;

fn main() -> ExitCode {
    commands::run()
}
