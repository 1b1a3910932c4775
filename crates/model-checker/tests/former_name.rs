//! The program can still be started under its former name.

use std::process::{Command, Output};

fn help_of(program: &str) -> Output {
    Command::new(program)
        .arg("--help")
        .output()
        .expect("the program starts")
}

#[test]
fn the_former_name_runs_the_program_with_its_arguments() {
    let former = help_of(env!("CARGO_BIN_EXE_asterramp-check"));
    let present = help_of(env!("CARGO_BIN_EXE_asterramp-model-checker"));
    assert!(former.status.success());
    assert!(!present.stdout.is_empty());
    assert_eq!(former.stdout, present.stdout);
}
