//! Starts the proxy, or speaks to one that runs.

use asterramp_proxy::program::command::perform;
use std::process::ExitCode;

fn main() -> ExitCode {
    perform()
}
