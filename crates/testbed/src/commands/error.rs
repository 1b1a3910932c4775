//! Why a command fails. The texts go to standard error after the program's name.

use super::outcome::EXIT_VOID;
use asterramp_testbed::journal::JournalError;
use asterramp_testbed::log_summary::LogSummaryError;
use asterramp_testbed::plain_proxy::PlainProxyError;
use asterramp_testbed::report::WriteError;
use asterramp_testbed::run::RunError;
use asterramp_testbed::scenario::{ScenarioError, ScenarioFileError};
use asterramp_testbed::shrink::ShrinkError;
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

/// The exit code of a command that was given what it cannot work with.
const EXIT_BAD_INPUT: u8 = 2;

/// Why a command fails.
#[derive(Debug, thiserror::Error)]
pub(super) enum CommandError {
    /// A scenario file cannot be taken.
    #[error(transparent)]
    ScenarioFile(#[from] ScenarioFileError),
    /// The built-in scenario cannot be taken.
    #[error(transparent)]
    Scenario(#[from] ScenarioError),
    /// A file cannot be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why not.
        source: io::Error,
    },
    /// No program is named, and none is beside this one.
    #[error("no asterramp beside this program; build it, or name it by --proxy")]
    NoProxyProgram,
    /// What is named as a program is no file.
    #[error("--proxy: {} is no file", .0.display())]
    NotAProgram(PathBuf),
    /// One program, or more than two, cannot be compared.
    #[error("--proxy: two are compared, A and B")]
    NotTwoPrograms,
    /// Logs cannot be summed.
    #[error(transparent)]
    Logs(#[from] LogSummaryError),
    /// Records of simulated days cannot be summed.
    #[error(transparent)]
    Journal(#[from] JournalError),
    /// The plain proxy cannot serve.
    #[error(transparent)]
    PlainProxy(#[from] PlainProxyError),
    /// A run tells nothing.
    #[error(transparent)]
    Run(#[from] RunError),
    /// Too many pairs of runs were void.
    #[error("{void} of {runs} pairs were void; too few are left")]
    TooFewPairs {
        /// Pairs that were void.
        void: u64,
        /// Pairs that were asked for.
        runs: u64,
    },
    /// There is nothing to cut down.
    #[error("no rule breaks with all of its faults")]
    NoRuleBreaks,
    /// A report or a plot cannot be written.
    #[error(transparent)]
    Report(#[from] WriteError),
    /// A scenario with fewer faults cannot be made.
    #[error(transparent)]
    Shrink(#[from] ShrinkError),
    /// A file cannot be written.
    #[error("{}: {source}", path.display())]
    Unwritable {
        /// The file.
        path: PathBuf,
        /// Why not.
        source: io::Error,
    },
    /// SIGTERM or SIGINT came.
    #[error("interrupted")]
    Interrupted,
    /// The system does not give what every command needs.
    #[error("{0}")]
    System(#[source] io::Error),
}

impl CommandError {
    /// The exit code that says whose fault it is.
    pub(super) fn exit_code(&self) -> ExitCode {
        let is_bad_input = match self {
            CommandError::ScenarioFile(_)
            | CommandError::Scenario(_)
            | CommandError::Unreadable { .. }
            | CommandError::NoProxyProgram
            | CommandError::NotAProgram(_)
            | CommandError::NotTwoPrograms
            | CommandError::Logs(_)
            | CommandError::Journal(_)
            | CommandError::PlainProxy(_) => true,
            CommandError::Run(error) => error.is_bad_input(),
            CommandError::TooFewPairs { .. }
            | CommandError::NoRuleBreaks
            | CommandError::Report(_)
            | CommandError::Shrink(_)
            | CommandError::Unwritable { .. }
            | CommandError::Interrupted
            | CommandError::System(_) => false,
        };
        ExitCode::from(if is_bad_input {
            EXIT_BAD_INPUT
        } else {
            EXIT_VOID
        })
    }
}
