//! The program `asterramp`: runs the proxy, or a command that inspects or controls running proxies.

use asterramp_proxy::program::commands::run;
use std::process::ExitCode;

fn main() -> ExitCode {
    run()
}
