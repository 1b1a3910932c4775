//! The commands of the command line, one module for each command or group of similar ones.

mod counterexample;
mod error;
mod injected_faults;
mod models;
mod replay;
mod run;
mod walk;

use crate::cli::Command;
use crate::report::Verdict;
use error::CommandError;

/// Runs a command and prints its output.
pub(crate) fn run(command: Command) -> Result<Verdict, CommandError> {
    match command {
        Command::Run(args) => run::run(&args),
        Command::InjectedFaults { fault } => injected_faults::find_faults(fault.as_deref()),
        Command::HotRestart => Ok(models::hot_restart()),
        Command::ZoneFailover { depth } => Ok(models::zone_failover(depth.into())),
        Command::WarmStart { depth } => Ok(models::warm_start(depth.into())),
        Command::LeaderLease { depth } => Ok(models::leader_lease(depth.into())),
        Command::Walk(args) => walk::walk(&args),
        Command::Replay { file, as_test } => replay::replay(&file, as_test),
    }
}
