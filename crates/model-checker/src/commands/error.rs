//! Why a command could not do its work.

use asterramp_model_checker::trace::TraceError;
use std::io;
use std::path::PathBuf;

#[derive(Debug, thiserror::Error)]
pub(crate) enum CommandError {
    /// `--shape` names none.
    #[error("--shape: {name:?} is not known")]
    UnknownShape { name: String },
    /// A file could not be read or written.
    #[error("{}: {source}", path.display())]
    File { path: PathBuf, source: io::Error },
    /// A file is no trace.
    #[error("{}: {source}", path.display())]
    Trace { path: PathBuf, source: TraceError },
    /// A trace names an injected fault that there is not.
    #[cfg(feature = "injected-faults")]
    #[error("plant {name:?} is not known")]
    UnknownFault { name: String },
    /// A trace needs an injected fault, which this build has not.
    #[cfg(not(feature = "injected-faults"))]
    #[error("plant {name}: build with --features injected-faults")]
    FaultNotCompiledIn { name: String },
    /// The command needs injected faults, which this build has not.
    #[cfg(not(feature = "injected-faults"))]
    #[error("this build has no injected faults; build it with --features injected-faults")]
    FaultsNotCompiledIn,
}
