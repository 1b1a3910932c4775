//! Model of a hot restart: predecessor, successor and the link between them, explored in every order of their actions
//! and crashes.
//!
//! Which process may use a connection is decided by [`HotRestartState`](asterramp_hot_restart::HotRestartState) and
//! [`ConnectionOwnership`](asterramp_hot_restart::ConnectionOwnership), the production code; the processes, the link
//! and the connections are modelled here.

mod model;
mod process;

pub use model::{HotRestartAction, HotRestartModel, HotRestartViolation};

use crate::explorer::{self, ExplorationOf, Limits};

/// Explores every order of actions until a property is violated or all reachable states have been visited.
pub fn explore() -> ExplorationOf<HotRestartModel> {
    explorer::explore(HotRestartModel::new(), Limits::NONE)
}
