//! Errors of the commands; all of them end the program with the exit code for bad input.

use asterramp_model_checker::trace::TraceError;
use std::io;
use std::path::PathBuf;

#[derive(Debug, thiserror::Error)]
pub(crate) enum CommandError {
    /// No shape has the name that `--shape` gives.
    #[error("--shape: {name:?} is not known")]
    UnknownShape { name: String },
    /// A file could not be read or written.
    #[error("{}: {source}", path.display())]
    File { path: PathBuf, source: io::Error },
    /// A file is not a valid trace.
    #[error("{}: {source}", path.display())]
    Trace { path: PathBuf, source: TraceError },
    /// No injected fault has the name that a trace gives.
    #[cfg(feature = "injected-faults")]
    #[error("plant {name:?} is not known")]
    UnknownFault { name: String },
    /// A trace needs an injected fault, but this build has none compiled in.
    #[cfg(not(feature = "injected-faults"))]
    #[error("plant {name}: build with --features injected-faults")]
    FaultNotCompiledIn { name: String },
    /// The command needs injected faults, but this build has none compiled in.
    #[cfg(not(feature = "injected-faults"))]
    #[error("this build has no injected faults; build it with --features injected-faults")]
    FaultsNotCompiledIn,
}
