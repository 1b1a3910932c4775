//! The stub store's program can still be started under its former name.

use std::process::{Command, Output};

/// An address that can't be bound to, so that the program exits with an error.
const BAD_ADDRESS: &str = "not-an-address";

fn output_of(program: &str) -> Output {
    Command::new(program)
        .arg(BAD_ADDRESS)
        .output()
        .expect("the program starts")
}

#[test]
fn the_former_name_runs_the_program_with_its_arguments() {
    let former = output_of(env!("CARGO_BIN_EXE_asterramp-store"));
    let present = output_of(env!("CARGO_BIN_EXE_asterramp-zookeeper-stub"));
    assert!(String::from_utf8_lossy(&present.stderr).contains(BAD_ADDRESS));
    assert_eq!(former.stderr, present.stderr);
    assert_eq!(former.status, present.status);
}
