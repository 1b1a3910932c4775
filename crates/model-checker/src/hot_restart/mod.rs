//! Predecessor and successor of a hot restart and the link between them, in every order of what either does and of their
//! deaths.
//!
//! Who may use a connection is decided by [`HotRestartState`](asterramp_hot_restart::HotRestartState) and
//! [`ConnectionOwnership`](asterramp_hot_restart::ConnectionOwnership), the code that serves; the rest is a model of the two
//! processes.

mod model;
mod process;

pub use model::{HotRestartAction, HotRestartModel, HotRestartViolation};

use crate::explorer::{self, ExplorationOf, Limits};

/// Explores every order of actions until a property does not hold or all states have been seen.
pub fn explore() -> ExplorationOf<HotRestartModel> {
    explorer::explore(HotRestartModel::new(), Limits::NONE)
}
