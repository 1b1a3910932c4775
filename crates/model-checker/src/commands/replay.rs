//! `replay`: replays a trace, or prints it as a test.

use super::error::CommandError;
use super::injected_faults;
use crate::report::Verdict;
use asterramp_model_checker::trace::Trace;
use std::path::Path;

pub(super) fn replay(file: &Path, as_test: bool) -> Result<Verdict, CommandError> {
    let trace = read_trace(file)?;
    if as_test {
        print!("{}", trace.as_test());
        return Ok(Verdict::Holds);
    }
    if let Some(name) = &trace.injected_fault {
        injected_faults::inject_by_name(name)?;
    }
    match trace.play(|line| println!("{line}")) {
        Ok(()) => {
            println!("all properties hold");
            Ok(Verdict::Holds)
        }
        Err(violation) => {
            println!("{violation}");
            Ok(Verdict::Broken)
        }
    }
}

fn read_trace(file: &Path) -> Result<Trace, CommandError> {
    let text = std::fs::read_to_string(file).map_err(|source| CommandError::File {
        path: file.to_owned(),
        source,
    })?;
    Trace::read(&text).map_err(|source| CommandError::Trace {
        path: file.to_owned(),
        source,
    })
}
