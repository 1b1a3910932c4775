//! The command `asterramp fleet`: shows, pauses, resumes or cancels a guarded roll, through the store.

use super::error::CommandError;
use super::parse_roll_name;
use crate::program::leader_lease::LeaderLease;
use crate::program::roll::{self, RequestedRollState};
use clap::{Args, Subcommand};
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of the session with the store.
const STORE_SESSION_TIMEOUT: Duration = Duration::from_secs(6);
/// Longest wait for the store's first response.
const STORE_CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Args)]
pub(super) struct StoredRollArgs {
    /// A member of the store.
    #[arg(long, required = true, num_args = 1)]
    store: Vec<SocketAddr>,
    /// The roll's name.
    #[arg(long, value_parser = parse_roll_name)]
    name: String,
}

#[derive(Subcommand)]
pub(super) enum FleetCommand {
    /// Show who is the leader and how far the roll is.
    Status(StoredRollArgs),
    /// Begin no further proxy until the roll is resumed.
    Pause(StoredRollArgs),
    /// Go on with a paused roll.
    Resume(StoredRollArgs),
    /// End the roll where it stands; the proxy that is out is finished first.
    Cancel(StoredRollArgs),
}

/// Prints a roll's status, or stores a request to its leader.
pub(super) fn fleet(command: FleetCommand) -> Result<(), CommandError> {
    let (roll, requested_state) = match command {
        FleetCommand::Status(roll) => (roll, None),
        FleetCommand::Pause(roll) => (roll, Some(RequestedRollState::Paused)),
        FleetCommand::Resume(roll) => (roll, Some(RequestedRollState::Running)),
        FleetCommand::Cancel(roll) => (roll, Some(RequestedRollState::Cancelled)),
    };
    let lease = LeaderLease::observe(roll.store, STORE_SESSION_TIMEOUT);
    lease.wait_until_reachable(STORE_CONNECT_TIMEOUT)?;
    let result = match requested_state {
        None => roll::print_roll_status(&roll.name, &lease),
        Some(state) => roll::request_roll_state(&roll.name, &lease, state),
    };
    lease.resign();
    Ok(result?)
}
