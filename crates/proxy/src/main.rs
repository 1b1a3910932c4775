//! Starts the proxy, or speaks to one that runs.
#![allow(
    missing_docs,
    unreachable_pub,
    missing_debug_implementations,
    rust_2018_idioms
)] // Not yet brought to the workspace lints.
#![allow(clippy::too_many_lines, clippy::cognitive_complexity)] // Not yet brought to the workspace lints.

use asterramp_proxy::program::commands::run;
use std::process::ExitCode;

fn main() -> ExitCode {
    run()
}
