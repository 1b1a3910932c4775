//! Rolling restart of all proxies by the proxy program's command `roll`. Its restart command creates a file for which the
//! proxy's task polls.

use crate::context::RunContext;
use crate::proxy_process::{self, Program};
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::process::Command;
use tracing::info;

/// Arguments of the command, without the proxies' admin sockets.
const ROLL_ARGUMENTS: [&str; 9] = [
    "roll",
    "--deadline",
    "4s",
    "--patience",
    "15s",
    "--share",
    "0.2",
    "--restart",
    // Creates the file at `proxy_process::addresses::restart_request_path`.
    "touch \"${ASTERRAMP_CONTROL%.sock}.restart\"",
];

/// Why a roll failed.
#[derive(Clone, Debug, thiserror::Error)]
pub enum RollError {
    /// The command could not be started.
    #[error(transparent)]
    Start(Arc<io::Error>),
    /// The command exited with a failure; holds what it wrote to standard error.
    #[error("{0}")]
    Failed(String),
    /// The task that waited for the command panicked or was cancelled.
    #[error("{0}")]
    Task(String),
}

/// Rolls all proxies, beginning at this time of the plan, and returns how long that took.
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
    let standard_output = String::from_utf8_lossy(&output.stdout);
    info!(roll = %standard_output.lines().last().unwrap_or_default());
    if output.status.success() {
        return Ok(context.now().saturating_sub(at));
    }
    let error = String::from_utf8_lossy(&output.stderr);
    Err(RollError::Failed(error.trim().to_owned()))
}
