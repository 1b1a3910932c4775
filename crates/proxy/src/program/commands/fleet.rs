//! `asterramp fleet`: looks after a roll under a leader, from anywhere.

use super::error::CommandError;
use super::roll_name;
use crate::program::leader_lease::LeaderLease;
use crate::program::roll::{self, RequestedRollState};
use clap::{Args, Subcommand};
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of the session with the store.
const STORE_SESSION: Duration = Duration::from_secs(6);
/// How long the store may take to answer at all.
const STORE_PATIENCE: Duration = Duration::from_secs(5);

#[derive(Args)]
pub(super) struct RollAtStore {
    /// A member of the store.
    #[arg(long, required = true, num_args = 1)]
    store: Vec<SocketAddr>,
    /// The roll's name.
    #[arg(long, value_parser = roll_name)]
    name: String,
}

#[derive(Subcommand)]
pub(super) enum FleetCommand {
    /// Show who is the leader and how far the roll is.
    Status(RollAtStore),
    /// Begin no further proxy until the roll is resumed.
    Pause(RollAtStore),
    /// Go on with a paused roll.
    Resume(RollAtStore),
    /// End the roll where it stands; the proxy that is out is finished first.
    Cancel(RollAtStore),
}

/// Shows a roll, or asks its leader to pause, go on or end.
pub(super) fn fleet(command: FleetCommand) -> Result<(), CommandError> {
    let (roll, requested) = match command {
        FleetCommand::Status(roll) => (roll, None),
        FleetCommand::Pause(roll) => (roll, Some(RequestedRollState::Paused)),
        FleetCommand::Resume(roll) => (roll, Some(RequestedRollState::Running)),
        FleetCommand::Cancel(roll) => (roll, Some(RequestedRollState::Cancelled)),
    };
    let lease = LeaderLease::observe(roll.store, STORE_SESSION);
    lease.wait_until_reachable(STORE_PATIENCE)?;
    let result = match requested {
        None => roll::print_roll_status(&roll.name, &lease),
        Some(requested) => roll::request_roll_state(&roll.name, &lease, requested),
    };
    lease.resign();
    Ok(result?)
}
