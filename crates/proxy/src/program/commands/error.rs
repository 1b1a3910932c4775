//! Why a command fails. The texts are printed on standard error behind the program's name.

use crate::program::drain_progress::DrainProgressError;
use crate::program::leader_lease::StoreRequestError;
use crate::program::roll::RollError;
use crate::program::run::ServeError;
use crate::program::state::StateCommandError;
use asterramp_admin_protocol::AdminClientError;

/// Why a command fails.
#[derive(Debug, thiserror::Error)]
pub(super) enum CommandError {
    /// A request to a proxy's admin socket failed or was rejected.
    #[error(transparent)]
    Client(#[from] AdminClientError),
    /// The proxy could not start, or stopped with an error.
    #[error(transparent)]
    Serve(#[from] ServeError),
    /// A drained proxy did not become empty.
    #[error(transparent)]
    Drain(#[from] DrainProgressError),
    /// A roll, or a request about one, failed.
    #[error(transparent)]
    Roll(#[from] RollError),
    /// The store could not be reached.
    #[error(transparent)]
    Store(#[from] StoreRequestError),
    /// The errors in the checked files, one line each.
    #[error("{}", .0.join("\n"))]
    InvalidFiles(Vec<String>),
    /// `--store` is given without `--name`.
    #[error("roll: --store wants a --name for the roll")]
    RollWithoutName,
    /// A status could not be encoded as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The snapshots on disk could not be shown, checked or removed.
    #[error(transparent)]
    State(#[from] StateCommandError),
}

impl CommandError {
    /// The lines for standard error: one for each error in the checked files, otherwise a single one.
    pub(super) fn lines(&self) -> Vec<String> {
        match self {
            CommandError::InvalidFiles(problems) => problems.clone(),
            error => vec![error.to_string()],
        }
    }
}
