//! Why a command fails. The texts go to standard error after the program's name.

use crate::program::drain_progress::DrainProgressError;
use crate::program::leader_lease::StoreRequestError;
use crate::program::roll::RollError;
use crate::program::run::ServeError;
use crate::program::state::StateCommandError;
use asterramp_admin_protocol::AdminClientError;

/// Why a command fails.
#[derive(Debug, thiserror::Error)]
pub(super) enum CommandError {
    /// A proxy did not do as asked.
    #[error(transparent)]
    Client(#[from] AdminClientError),
    /// The program could not serve.
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
    /// Everything that is wrong with the files that were checked.
    #[error("{}", .0.join("\n"))]
    InvalidFiles(Vec<String>),
    /// A roll under a leader has no name.
    #[error("roll: --store wants a --name for the roll")]
    RollWithoutName,
    /// A status could not become JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// What is on disk could not be shown, checked or removed.
    #[error(transparent)]
    State(#[from] StateCommandError),
}

impl CommandError {
    /// The lines for standard error: one for each file's mistake, or one.
    pub(super) fn lines(&self) -> Vec<String> {
        match self {
            CommandError::InvalidFiles(mistakes) => mistakes.clone(),
            error => vec![error.to_string()],
        }
    }
}
