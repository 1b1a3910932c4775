//! The program of a proxy.

use std::path::PathBuf;

/// How a proxy is started: a program and its arguments. It finds its configuration as the platform says.
#[derive(Clone, Debug)]
pub struct Program {
    /// The executable file.
    pub path: PathBuf,
    /// Its arguments.
    pub args: Vec<String>,
    /// Shown in reports.
    pub name: String,
}
