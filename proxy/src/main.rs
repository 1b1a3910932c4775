//! Starts the proxy.

use asterramp_proxy::program::run::run;
use std::process::ExitCode;

fn main() -> ExitCode {
    match run(std::env::var("LB_CONFIG").ok().as_deref()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("asterramp: {what}");
            ExitCode::FAILURE
        }
    }
}
