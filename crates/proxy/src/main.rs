//! The program `asterramp`: serves, or talks to proxies that do.

use asterramp_proxy::program::commands::run;
use std::process::ExitCode;

fn main() -> ExitCode {
    run()
}
