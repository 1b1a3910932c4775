//! The command line.

use clap::{Args, Parser, Subcommand};
use std::path::PathBuf;

/// Explores every order of events in the life of sessions at small size, on the code that serves.
///
/// Exit codes: 0 all properties hold, 1 a counterexample, 2 bad input, 4 stopped at a limit before all was seen.
#[derive(Parser)]
#[command(version)]
pub(crate) struct CommandLine {
    #[command(subcommand)]
    pub(crate) command: Command,
}

/// Each command's alias is its former name.
#[derive(Subcommand)]
pub(crate) enum Command {
    /// Explores the shapes.
    Run(RunArgs),
    /// Injects each known fault and looks for it; needs the feature `injected-faults`.
    #[command(alias = "plants")]
    InjectedFaults {
        /// Only this one.
        #[arg(long, alias = "plant")]
        fault: Option<String>,
    },
    /// Plays two processes of which one replaces the other, and their deaths, in every order.
    #[command(alias = "handover")]
    HotRestart,
    /// Plays what a proxy may meet of three zones, and what it makes of them, in every order up to a depth.
    #[command(alias = "site")]
    ZoneFailover {
        /// Steps of each order.
        #[arg(long, default_value_t = 7, value_parser = clap::value_parser!(u8).range(1..=12))]
        depth: u8,
    },
    /// Plays starts of three proxies after a power loss in every order up to a depth.
    #[command(alias = "recovery")]
    WarmStart {
        /// Steps of each order.
        #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u8).range(1..=12))]
        depth: u8,
    },
    /// Plays two contenders for the lead of a fleet, their store and two receivers in every order up to a depth.
    #[command(alias = "owner")]
    LeaderLease {
        /// Steps of each order.
        #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u8).range(1..=12))]
        depth: u8,
    },
    /// Random walks with twenty sessions and ten servers.
    Walk(WalkArgs),
    /// Plays a trace's file step by step.
    Replay {
        /// The trace.
        file: PathBuf,
        /// Prints it as a test instead.
        #[arg(long)]
        as_test: bool,
    },
}

/// Arguments of `run`.
#[derive(Args)]
pub(crate) struct RunArgs {
    /// Only the small ones.
    #[arg(long)]
    pub(crate) quick: bool,
    /// Only this one.
    #[arg(long)]
    pub(crate) shape: Option<String>,
    /// States after which to stop; each takes some 3 KiB while it is at the front, and 50 bytes behind it.
    #[arg(long, default_value_t = 8_000_000)]
    pub(crate) states: u64,
    /// Seconds for each shape.
    #[arg(long, default_value_t = 240)]
    pub(crate) seconds: u64,
    /// Where a counterexample is written.
    #[arg(long, default_value = "counterexample.txt")]
    pub(crate) save: PathBuf,
}

/// Arguments of `walk`.
#[derive(Args)]
pub(crate) struct WalkArgs {
    /// How long to walk.
    #[arg(long, default_value_t = 10)]
    pub(crate) seconds: u64,
    /// The first walk's; each walk has the next.
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// Where a counterexample is written.
    #[arg(long, default_value = "counterexample.txt")]
    pub(crate) save: PathBuf,
}
