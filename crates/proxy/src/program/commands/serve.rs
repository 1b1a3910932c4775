//! The command `asterramp serve`, and the files that it reads.

use super::error::CommandError;
use crate::program::run::run;
use clap::Args;
use std::path::PathBuf;

/// Environment variable that names the platform's configuration if the command line does not.
const CONFIG_VARIABLE: &str = "LB_CONFIG";
/// Environment variable that names the operator's file if the command line does not.
const OPERATOR_VARIABLE: &str = "ASTERRAMP_OPERATOR";

#[derive(Args, Default)]
pub(super) struct StartFiles {
    /// The platform's configuration; LB_CONFIG if absent.
    #[arg(long)]
    config: Option<PathBuf>,
    /// The operator's file; ASTERRAMP_OPERATOR if absent. Without either, nothing optional is on.
    #[arg(long)]
    operator: Option<PathBuf>,
}

impl StartFiles {
    /// Path of the platform's configuration; `None` if neither the command line nor the variable names it.
    pub(super) fn config_path(&self) -> Option<String> {
        path_or_variable(self.config.as_ref(), CONFIG_VARIABLE)
    }

    /// Path of the operator's file; `None` if neither the command line nor the variable names it.
    pub(super) fn operator_path(&self) -> Option<String> {
        path_or_variable(self.operator.as_ref(), OPERATOR_VARIABLE)
    }
}

/// Serves until the proxy is shut down.
pub(super) fn serve(files: &StartFiles) -> Result<(), CommandError> {
    let config = files.config_path();
    let operator = files.operator_path();
    run(config.as_deref(), operator.as_deref())?;
    Ok(())
}

/// The path of an option, or the value of an environment variable if the option is absent.
fn path_or_variable(option: Option<&PathBuf>, variable: &str) -> Option<String> {
    match option {
        Some(path) => Some(path.to_string_lossy().into_owned()),
        None => std::env::var(variable).ok(),
    }
}
