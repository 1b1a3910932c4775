//! Selects the program of a run's proxies.

use super::error::CommandError;
use super::play::PlayArgs;
use asterramp_testbed::plain_proxy;
use asterramp_testbed::proxy_process::Program;
use asterramp_testbed::run::find_proxy_program;
use std::path::{Path, PathBuf};

/// The program that the options select: the plain proxy, the one at a path, or the proxy built beside this program.
pub(super) fn selected_program(args: &PlayArgs) -> Result<Program, CommandError> {
    match args.baseline {
        Some(policy) => Ok(plain_proxy::program(&this_program()?, policy, args.fault)),
        None => program_at_path(args.proxy.as_deref()),
    }
}

/// The program at a path, or the proxy built beside this program if `path` is absent.
pub(super) fn program_at_path(path: Option<&Path>) -> Result<Program, CommandError> {
    let this_program = this_program()?;
    let path = path
        .map(Path::to_owned)
        .or_else(|| find_proxy_program(&this_program))
        .ok_or(CommandError::NoProxyProgram)?;
    if !path.is_file() {
        return Err(CommandError::NotAProgram(path));
    }
    let file_name = path.file_name().unwrap_or_default();
    Ok(Program {
        name: file_name.to_string_lossy().into_owned(),
        path,
        args: Vec::new(),
    })
}

fn this_program() -> Result<PathBuf, CommandError> {
    std::env::current_exe().map_err(CommandError::System)
}
