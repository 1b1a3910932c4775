//! The command line. Errors are written to standard error, results to standard output.
//!
//! Exit codes: 0 the rules held, 1 a rule was broken, 2 bad input, 3 a run was void or failed.

mod compare;
mod drain_measurement;
mod error;
mod outcome;
mod play;
mod program;
mod scale;
mod shrink;
mod summaries;

use asterramp_testbed::plain_proxy::{self, InjectedFault, Policy};
use clap::{Parser, Subcommand};
use error::CommandError;
use outcome::CommandOutcome;
use std::process::ExitCode;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};

/// Time that background tasks have to end before the process exits.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(500);

/// A stand-in world on loopback around asterramp: hosts, clients, discovery, faults, and a judge of the rules.
///
/// Exit codes: 0 the rules held, 1 a rule was broken, 2 bad input, 3 void (the rig ran late, or something of
/// its own failed).
#[derive(Parser)]
#[command(version)]
struct CommandLine {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Half a minute with three proxies and nine hosts: a hang, a drain, a proxy's death.
    Demo(play::PlayArgs),
    /// Plays a scenario once.
    Run(play::RunArgs),
    /// Plays a scenario by two programs in turn on the same seeds, and tells the difference.
    Compare(compare::CompareArgs),
    /// Measures how one proxy and many bear size.
    Scale(scale::ScaleArgs),
    /// Measures how a proxy is emptied: a drain on request beside SIGTERM, and a roll.
    Empty(drain_measurement::DrainArgs),
    /// Cuts a failing draw of faults down to the fewest with which a rule still breaks, and writes them as a scenario.
    Shrink(shrink::ShrinkArgs),
    /// Sums the logs of a fleet: how often each reason code came, by time and by server.
    Logs(summaries::LogsArgs),
    /// Sums the bench's records of drawn days: what each kind scored, and which draw goes with the loss.
    Journal(summaries::JournalArgs),
    /// A plain proxy that knows nothing of load, for comparison only; configured as the platform does.
    PlainProxy {
        policy: Policy,
        /// Breaks one rule on purpose.
        #[arg(long = "break", value_name = "BREAKS")]
        fault: Option<InjectedFault>,
    },
}

/// Parses the command line and executes its command.
pub(crate) fn run() -> ExitCode {
    let command = CommandLine::parse().command;
    start_log();
    match execute_until_interrupted(command) {
        Ok(outcome) => outcome.exit_code(),
        Err(error) => {
            eprintln!("asterramp-testbed: {error}");
            error.exit_code()
        }
    }
}

fn start_log() {
    tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_target(false)
        .without_time()
        .with_max_level(tracing::Level::INFO)
        .init();
}

fn execute_until_interrupted(command: Command) -> Result<CommandOutcome, CommandError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(CommandError::System)?;
    // The plain proxy handles SIGTERM itself, and shuts down gracefully.
    let handles_signals = matches!(command, Command::PlainProxy { .. });
    let result = runtime.block_on(async {
        tokio::select! {
            result = execute(command) => result,
            // Dropping the run kills its proxies.
            () = interrupted(), if !handles_signals => Err(CommandError::Interrupted),
        }
    });
    // Dropped handles kill the child processes; other tasks get a limited time to end.
    runtime.shutdown_timeout(SHUTDOWN_TIMEOUT);
    result
}

/// Waits for SIGTERM or SIGINT.
async fn interrupted() {
    let Ok(mut terminate) = signal(SignalKind::terminate()) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
}

async fn execute(command: Command) -> Result<CommandOutcome, CommandError> {
    match command {
        Command::Demo(args) => play::demo(&args).await,
        Command::Run(args) => play::run_file(&args).await,
        Command::Compare(args) => compare::compare(&args).await,
        Command::Scale(args) => scale::scale(&args).await,
        Command::Empty(args) => drain_measurement::measure(&args).await,
        Command::Shrink(args) => shrink::shrink(&args).await,
        Command::Logs(args) => summaries::logs(&args),
        Command::Journal(args) => summaries::journal(&args),
        Command::PlainProxy { policy, fault } => {
            plain_proxy::serve(policy, fault).await?;
            Ok(CommandOutcome::RulesHeld)
        }
    }
}
