//! Runs `asterramp-model-checker` under its former name, for scripts that still use it.

use std::process::ExitCode;

fn main() -> ExitCode {
    asterramp_former_name::exec_renamed_program("asterramp-model-checker")
}
