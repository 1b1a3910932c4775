//! The program `asterramp-model-checker`.

mod cli;
mod commands;
mod report;

use clap::Parser;
use cli::CommandLine;
use std::process::ExitCode;

/// Exit code for bad arguments, an unreadable or malformed file, or a fault that this build does not contain.
const EXIT_BAD_INPUT: u8 = 2;

fn main() -> ExitCode {
    match commands::run(CommandLine::parse().command) {
        Ok(verdict) => verdict.into(),
        Err(error) => {
            eprintln!("asterramp-model-checker: {error}");
            ExitCode::from(EXIT_BAD_INPUT)
        }
    }
}
