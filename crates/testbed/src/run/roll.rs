//! The restart of all proxies in turn by their own command `roll`, which asks for each restart by a file.

use crate::context::RunContext;
use crate::proxy_process::{self, Program};
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::process::Command;
use tracing::info;

/// Arguments of the command, without the proxies.
const ROLL_ARGUMENTS: [&str; 9] = [
    "roll",
    "--deadline",
    "4s",
    "--patience",
    "15s",
    "--share",
    "0.2",
    "--restart",
    // The file that `proxy_process::restart_request` names.
    "touch \"${ASTERRAMP_CONTROL%.sock}.restart\"",
];

/// Why a roll did not get through.
#[derive(Clone, Debug, thiserror::Error)]
pub enum RollError {
    /// The command could not be started.
    #[error(transparent)]
    Start(Arc<io::Error>),
    /// The command failed; what it wrote to standard error.
    #[error("{0}")]
    Failed(String),
    /// The task that waited for it failed.
    #[error("{0}")]
    Task(String),
}

/// Restarts all proxies from a time of the plan on; returns how long it took.
pub(super) async fn roll(
    context: Arc<RunContext>,
    program: Program,
    at: Duration,
) -> Result<Duration, RollError> {
    context.sleep_until(at).await;
    let mut command = Command::new(&program.path);
    command.args(ROLL_ARGUMENTS).kill_on_drop(true);
    for proxy in 0..context.scenario.proxies.count {
        let socket = proxy_process::admin_socket(context.run_number, proxy as u16);
        command.arg("--control").arg(socket);
    }
    let output = command.output().await;
    let output = output.map_err(|error| RollError::Start(Arc::new(error)))?;
    let printed = String::from_utf8_lossy(&output.stdout);
    info!(roll = %printed.lines().last().unwrap_or_default());
    if output.status.success() {
        return Ok(context.now().saturating_sub(at));
    }
    let error = String::from_utf8_lossy(&output.stderr);
    Err(RollError::Failed(error.trim().to_owned()))
}
