//! The command `asterramp roll`: with `--store` it runs a guarded roll, otherwise an unguarded one.

use super::error::CommandError;
use super::{parse_duration_option, parse_roll_name};
use crate::program::roll::{self, RollOptions};
use clap::Args;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

#[derive(Args)]
pub(super) struct RollArgs {
    /// The admin socket of each proxy, in order.
    #[arg(
        long = "control",
        value_name = "CONTROL",
        required = true,
        num_args = 1
    )]
    admin_sockets: Vec<PathBuf>,
    /// By when a proxy is to be empty, from the start of its drain.
    #[arg(long, value_parser = parse_duration_option, default_value = "60s")]
    deadline: Duration,
    /// Run by the shell once a proxy is empty, with its socket in ASTERRAMP_CONTROL; without it somebody else
    /// restarts it.
    #[arg(long = "restart", value_name = "RESTART")]
    restart_command: Option<String>,
    /// How long a restart may take, and how long until it carries its share.
    #[arg(long = "patience", value_name = "PATIENCE", value_parser = parse_duration_option, default_value = "120s")]
    step_timeout: Duration,
    /// A member of the store that elects one leader at a time; without any, nothing keeps a second roll away.
    #[arg(long, num_args = 1)]
    store: Vec<SocketAddr>,
    /// The roll's name at the store: a process with the same name takes up the same roll where it stands.
    #[arg(long, requires = "store", value_parser = parse_roll_name)]
    name: Option<String>,
    /// Time without a sign of the leader after which the store elects another.
    #[arg(long = "session", value_name = "SESSION", value_parser = parse_duration_option, default_value = "6s")]
    session_timeout: Duration,
    /// What a restarted proxy holds to carry its share, as a part of what the others hold on average.
    #[arg(long = "share", value_name = "SHARE", default_value_t = 0.3)]
    min_session_share: f64,
}

/// Runs the roll, guarded if a store is named.
pub(super) fn roll(args: RollArgs) -> Result<(), CommandError> {
    let options = RollOptions {
        admin_sockets: args.admin_sockets,
        drain_deadline: args.deadline,
        restart_command: args.restart_command,
        step_timeout: args.step_timeout,
        min_session_share: args.min_session_share,
    };
    match args.name {
        _ if args.store.is_empty() => roll::roll_without_lease(&options)?,
        Some(name) => roll::roll_with_lease(&options, &name, args.store, args.session_timeout)?,
        None => return Err(CommandError::RollWithoutName),
    }
    Ok(())
}
