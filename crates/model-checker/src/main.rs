//! The program `asterramp-model-checker`.

mod cli;
mod commands;
mod report;

use clap::Parser;
use cli::CommandLine;
use std::process::ExitCode;

/// The exit code for bad input.
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
