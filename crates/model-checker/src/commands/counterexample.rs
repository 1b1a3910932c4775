//! Output of the counterexamples that `run` and `walk` find.

use super::error::CommandError;
use crate::report::Verdict;
use asterramp_model_checker::trace::Trace;
use std::path::Path;

/// Prints a counterexample and saves it as `file`, overwriting what the file had.
pub(super) fn save_counterexample(trace: &Trace, file: &Path) -> Result<Verdict, CommandError> {
    println!("{trace}");
    std::fs::write(file, trace.to_string()).map_err(|source| CommandError::File {
        path: file.to_owned(),
        source,
    })?;
    println!("saved as {}", file.display());
    Ok(Verdict::Broken)
}
