//! The former name of `asterramp-testbed`, for scripts that still use it.

use std::process::ExitCode;

fn main() -> ExitCode {
    asterramp_former_name::exec_renamed_program("asterramp-testbed")
}
