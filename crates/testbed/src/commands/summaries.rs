//! The commands `logs` and `journal`: summaries of files that earlier runs have written.

use super::error::CommandError;
use super::outcome::CommandOutcome;
use asterramp_testbed::journal::Journal;
use asterramp_testbed::log_summary::LogSummary;
use clap::Args;
use std::path::PathBuf;

#[derive(Args)]
pub(super) struct LogsArgs {
    /// A folder with one file a proxy, each ending in .log.
    folder: PathBuf,
    /// Seconds that a row spans.
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u64).range(1..=3600))]
    span: u64,
}

#[derive(Args)]
pub(super) struct JournalArgs {
    /// The folder of records.
    folder: PathBuf,
    /// Days count whose name holds this.
    #[arg(long, default_value = "+mass")]
    kind: String,
}

/// Prints how often each reason code occurs in the logs of a fleet.
pub(super) fn logs(args: &LogsArgs) -> Result<CommandOutcome, CommandError> {
    let summary = LogSummary::from_folder(&args.folder, args.span)?;
    print!("{}", summary.table());
    Ok(CommandOutcome::RulesHeld)
}

/// Prints the scores of each kind of simulated day.
pub(super) fn journal(args: &JournalArgs) -> Result<CommandOutcome, CommandError> {
    let journal = Journal::from_folder(&args.folder, &args.kind)?;
    print!("{}", journal.table());
    Ok(CommandOutcome::RulesHeld)
}
