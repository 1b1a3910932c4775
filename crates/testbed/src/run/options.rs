//! The options of a run.

use crate::proxy_process::Program;
use std::path::PathBuf;

/// The inputs of a run apart from its scenario.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// Seed of the plan's random draws.
    pub seed: u64,
    /// Seed of random faults beyond those of the scenario; none are added if absent.
    pub chaos: Option<u64>,
    /// The program that each proxy runs.
    pub program: Program,
    /// Folder of the proxies' logs and configurations; created if missing.
    pub folder: PathBuf,
    /// Whether to write a line of progress to standard error every two seconds.
    pub progress: bool,
}
