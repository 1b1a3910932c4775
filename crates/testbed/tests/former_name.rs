//! The program also runs under its former name, `asterramp-rig`.

use std::process::{Command, Output};

fn help_output(program: &str) -> Output {
    Command::new(program)
        .arg("--help")
        .output()
        .expect("the program starts")
}

#[test]
fn the_former_name_runs_the_program_with_its_arguments() {
    let former = help_output(env!("CARGO_BIN_EXE_asterramp-rig"));
    let present = help_output(env!("CARGO_BIN_EXE_asterramp-testbed"));
    assert!(former.status.success());
    assert!(!present.stdout.is_empty());
    assert_eq!(former.stdout, present.stdout);
}
