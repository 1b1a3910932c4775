//! The commands `asterramp drain` and `asterramp undrain`.

use super::error::CommandError;
use super::parse_duration_option;
use crate::program::drain_progress::{format_status, wait_until_empty};
use asterramp_admin_protocol::{AdminClient, AdminCommand, AdminRequest};
use clap::Args;
use std::path::Path;
use std::time::Duration;

/// How long `--wait` waits without `--deadline`: the longest drain that a proxy accepts.
const MAX_DRAIN_TIME: Duration = Duration::from_secs(24 * 60 * 60);

#[derive(Args)]
pub(super) struct DrainOptions {
    /// By when it is to be empty, as in 60s; the operator's file says if absent.
    #[arg(long, value_parser = parse_duration_option)]
    deadline: Option<Duration>,
    /// Sessions to migrate per second; by what the endpoints can absorb if absent.
    #[arg(long)]
    pace: Option<f64>,
    /// Show progress until it is empty.
    #[arg(long)]
    wait: bool,
}

/// Starts a drain; with `--wait` prints its progress until the proxy is empty.
pub(super) fn drain(socket: &Path, options: &DrainOptions) -> Result<(), CommandError> {
    let request = AdminRequest {
        deadline_ms: options.deadline.map(|deadline| deadline.as_millis() as u64),
        migrations_per_second: options.pace,
        ..AdminRequest::new(AdminCommand::Drain)
    };
    let mut client = AdminClient::connect(socket)?;
    let status = client.send(&request)?;
    println!("{}", format_status(&status));
    if options.wait {
        let deadline = options.deadline.unwrap_or(MAX_DRAIN_TIME);
        wait_until_empty(&mut client, deadline)?;
    }
    Ok(())
}

/// Cancels a drain.
pub(super) fn undrain(socket: &Path) -> Result<(), CommandError> {
    let mut client = AdminClient::connect(socket)?;
    let status = client.send(&AdminRequest::new(AdminCommand::Undrain))?;
    println!("{}", format_status(&status));
    Ok(())
}
