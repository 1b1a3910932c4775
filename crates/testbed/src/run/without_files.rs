//! A run whose files are deleted, for callers that need only the outcome.

use super::{RunError, RunOptions, RunOutcome, run, unique_output_folder};
use crate::proxy_process::Program;
use crate::scenario::Scenario;

/// Runs a scenario as [`run`] does, without lines of progress and in a new folder that is deleted afterwards.
///
/// # Errors
///
/// Those of [`run`].
pub async fn run_without_files(
    scenario: Scenario,
    program: &Program,
    seed: u64,
    chaos: Option<u64>,
) -> Result<RunOutcome, RunError> {
    let options = RunOptions {
        seed,
        chaos,
        program: program.clone(),
        folder: unique_output_folder(),
        progress: false,
    };
    let outcome = run(scenario, &options).await;
    let _ = std::fs::remove_dir_all(&options.folder);
    outcome
}
