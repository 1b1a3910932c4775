//! The command line. Without a command the program serves, as the platform starts it.
//!
//! Exit codes: 0 on success, 1 if a command fails, 2 (clap's) if the command line itself is wrong.

mod drain;
mod error;
mod fleet;
mod roll;
mod serve;
mod status;
mod validate;

use super::state::{StateCommand, run_state_command};
use asterramp_operator_config::parse_duration;
use clap::{Args, CommandFactory, Parser, Subcommand};
use error::CommandError;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Longest name of a roll, in bytes. The name is part of a node's path at the store.
const MAX_ROLL_NAME_BYTES: usize = 64;

/// A proxy for long-lived connections. Without a command it serves by the configuration that LB_CONFIG names.
///
/// Exit codes: 0 done, 1 rejected, failed or not done in time, 2 the command line is wrong.
#[derive(Parser)]
#[command(name = "asterramp", version)]
struct CommandLine {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Serve until told to shut down.
    Serve {
        #[command(flatten)]
        files: serve::StartFiles,
    },
    /// Check both files and report everything that is wrong with them.
    Validate {
        #[command(flatten)]
        files: serve::StartFiles,
    },
    /// Show a proxy's status.
    Status {
        #[command(flatten)]
        socket: AdminSocketArg,
        /// As JSON, on one line.
        #[arg(long)]
        json: bool,
        /// Again every second, until interrupted.
        #[arg(long)]
        watch: bool,
    },
    /// Drain a proxy: it takes no new sessions from the front and migrates its clients.
    Drain {
        #[command(flatten)]
        socket: AdminSocketArg,
        #[command(flatten)]
        options: drain::DrainOptions,
    },
    /// Cancel a drain: the proxy serves again.
    Undrain {
        #[command(flatten)]
        socket: AdminSocketArg,
    },
    /// Restart proxies one after the other: drain one, wait for its restart, wait until it carries its share.
    Roll(roll::RollArgs),
    /// Look after a roll under a leader, from anywhere.
    Fleet {
        #[command(subcommand)]
        command: fleet::FleetCommand,
    },
    /// Look at the snapshots that proxies keep on disk for their next start.
    State {
        #[command(subcommand)]
        command: StateCommand,
    },
    /// Print completions for a shell.
    Completions { shell: clap_complete::Shell },
}

#[derive(Args)]
struct AdminSocketArg {
    /// The proxy's admin socket.
    #[arg(long = "control", value_name = "CONTROL")]
    path: PathBuf,
}

/// Runs the command of the process's command line; errors are printed on standard error.
pub fn run() -> ExitCode {
    let serve = Command::Serve {
        files: serve::StartFiles::default(),
    };
    let command = CommandLine::parse().command.unwrap_or(serve);
    match execute(command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            for line in error.lines() {
                eprintln!("asterramp: {line}");
            }
            ExitCode::FAILURE
        }
    }
}

/// Runs one command.
fn execute(command: Command) -> Result<(), CommandError> {
    match command {
        Command::Serve { files } => serve::serve(&files),
        Command::Validate { files } => validate::validate(&files),
        Command::Status {
            socket,
            json,
            watch,
        } => status::status(&socket.path, json, watch),
        Command::Drain { socket, options } => drain::drain(&socket.path, &options),
        Command::Undrain { socket } => drain::undrain(&socket.path),
        Command::Roll(args) => roll::roll(args),
        Command::Fleet { command } => fleet::fleet(command),
        Command::State { command } => Ok(run_state_command(command)?),
        Command::Completions { shell } => {
            print_completions(shell);
            Ok(())
        }
    }
}

/// Prints a completion script on standard output.
fn print_completions(shell: clap_complete::Shell) {
    let mut command_line = CommandLine::command();
    clap_complete::generate(
        shell,
        &mut command_line,
        "asterramp",
        &mut std::io::stdout(),
    );
}

/// Parses a duration option. clap prints the error together with the option's name.
fn parse_duration_option(text: &str) -> Result<Duration, InvalidDuration> {
    parse_duration(text).ok_or_else(|| InvalidDuration(text.to_string()))
}

/// A duration option that cannot be parsed.
#[derive(Debug, thiserror::Error)]
#[error("{0:?} is no time; allowed are a number and ms, s, m or h")]
struct InvalidDuration(String);

/// Parses the name of a roll.
fn parse_roll_name(text: &str) -> Result<String, InvalidRollName> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-';
    let is_valid = (1..=MAX_ROLL_NAME_BYTES).contains(&text.len()) && text.bytes().all(is_allowed);
    if is_valid {
        Ok(text.to_string())
    } else {
        Err(InvalidRollName(text.to_string()))
    }
}

/// A roll's name that is empty, longer than [`MAX_ROLL_NAME_BYTES`] or contains other characters.
#[derive(Debug, thiserror::Error)]
#[error("{0:?} is no name; allowed are letters, digits and -")]
struct InvalidRollName(String);
