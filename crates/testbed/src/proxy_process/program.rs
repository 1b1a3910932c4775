//! The program that a proxy runs.

use std::path::PathBuf;

/// A program and its arguments. A proxy's process finds its configuration by the environment variable `LB_CONFIG`.
#[derive(Clone, Debug)]
pub struct Program {
    /// The executable file.
    pub path: PathBuf,
    /// Its arguments.
    pub args: Vec<String>,
    /// The name that reports show.
    pub name: String,
}
