//! What a run is made of beside its scenario.

use crate::proxy_process::Program;
use std::path::PathBuf;

/// What a run is made of beside its scenario.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// What chance is drawn from.
    pub seed: u64,
    /// What further faults are drawn from.
    pub chaos: Option<u64>,
    /// The program of the proxies.
    pub program: Program,
    /// Where logs and configurations go.
    pub folder: PathBuf,
    /// Shows a line every two seconds.
    pub progress: bool,
}
