//! `asterramp roll`: its options, and whether it goes under a leader.

use super::error::CommandError;
use super::{duration, roll_name};
use crate::program::roll::{self, RollOptions};
use clap::Args;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

#[derive(Args)]
pub(super) struct RollArgs {
    /// The admin socket of each proxy, in order.
    #[arg(long, required = true, num_args = 1)]
    control: Vec<PathBuf>,
    /// By when a proxy is to be empty, from the start of its drain.
    #[arg(long, value_parser = duration, default_value = "60s")]
    deadline: Duration,
    /// Run by the shell once a proxy is empty, with its socket in ASTERRAMP_CONTROL; without it somebody else
    /// restarts it.
    #[arg(long)]
    restart: Option<String>,
    /// How long a restart may take, and how long until it carries its share.
    #[arg(long, value_parser = duration, default_value = "120s")]
    patience: Duration,
    /// A member of the store that elects one leader at a time; without any, nothing keeps a second roll away.
    #[arg(long, num_args = 1)]
    store: Vec<SocketAddr>,
    /// The roll's name at the store: a process with the same name takes up the same roll where it stands.
    #[arg(long, requires = "store", value_parser = roll_name)]
    name: Option<String>,
    /// Time without a sign of the leader after which the store elects another.
    #[arg(long, value_parser = duration, default_value = "6s")]
    session: Duration,
    /// What a restarted proxy holds to carry its share, as a part of what the others hold on average.
    #[arg(long, default_value_t = 0.3)]
    share: f64,
}

/// Restarts proxies one after the other.
pub(super) fn roll(args: RollArgs) -> Result<(), CommandError> {
    let options = RollOptions {
        admin_sockets: args.control,
        drain_deadline: args.deadline,
        restart_command: args.restart,
        step_timeout: args.patience,
        min_session_share: args.share,
    };
    match args.name {
        _ if args.store.is_empty() => roll::roll_without_lease(&options)?,
        Some(name) => roll::roll_with_lease(&options, &name, args.store, args.session)?,
        None => return Err(CommandError::RollWithoutName),
    }
    Ok(())
}
