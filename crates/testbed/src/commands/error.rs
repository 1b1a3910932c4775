//! Errors of the commands. Their texts are written to standard error after the program's name.

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

/// Exit code of a command with invalid input.
const EXIT_BAD_INPUT: u8 = 2;

/// Why a command fails.
#[derive(Debug, thiserror::Error)]
pub(super) enum CommandError {
    /// A scenario file cannot be read or is invalid.
    #[error(transparent)]
    ScenarioFile(#[from] ScenarioFileError),
    /// The built-in scenario is invalid.
    #[error(transparent)]
    Scenario(#[from] ScenarioError),
    /// A file cannot be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// No proxy program is given, and none is found beside this program.
    #[error("no asterramp beside this program; build it, or name it by --proxy")]
    NoProxyProgram,
    /// The path given as a proxy program is not a file.
    #[error("--proxy: {} is no file", .0.display())]
    NotAProgram(PathBuf),
    /// The number of programs to compare is not two.
    #[error("--proxy: two are compared, A and B")]
    NotTwoPrograms,
    /// Logs cannot be summarized.
    #[error(transparent)]
    Logs(#[from] LogSummaryError),
    /// Records of simulated days cannot be summarized.
    #[error(transparent)]
    Journal(#[from] JournalError),
    /// The plain proxy cannot serve.
    #[error(transparent)]
    PlainProxy(#[from] PlainProxyError),
    /// A run failed without a result.
    #[error(transparent)]
    Run(#[from] RunError),
    /// Too few pairs of runs were not void.
    #[error("{void} of {runs} pairs were void; too few are left")]
    TooFewPairs {
        /// Pairs that were void.
        void: u64,
        /// Pairs that were asked for.
        runs: u64,
    },
    /// No rule is broken with all faults, so there is nothing to shrink.
    #[error("no rule breaks with all of its faults")]
    NoRuleBreaks,
    /// A report or a plot cannot be written.
    #[error(transparent)]
    Report(#[from] WriteError),
    /// The scenario with fewer faults cannot be written as TOML, or not be read again.
    #[error(transparent)]
    Shrink(#[from] ShrinkError),
    /// A file cannot be written.
    #[error("{}: {source}", path.display())]
    Unwritable {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// The command was ended by SIGTERM or SIGINT.
    #[error("interrupted")]
    Interrupted,
    /// The runtime could not be started, or the path of this program is not known.
    #[error("{0}")]
    System(#[source] io::Error),
}

impl CommandError {
    /// The exit code: 2 for invalid input, otherwise 3.
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
