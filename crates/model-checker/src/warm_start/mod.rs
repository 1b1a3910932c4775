//! Model of warm start: three proxies start after a power loss, in every order of starts, responses, failures and
//! restarts.
//!
//! [`WarmStart`](asterramp_warm_start::WarmStart), the production code, decides; endpoints, discovery and the network
//! between them are modelled here. Endpoints 0 and 1 existed before the power loss. Endpoint 2 has replaced endpoint 1
//! at the same address, so at most one of these two is up.
//!
//! | module | content |
//! | --- | --- |
//! | `action` | actions, and the situations from which exploration starts |
//! | `proxy` | one proxy: its decisions, and the information that it has received |
//! | `model` | state of all proxies and endpoints |
//! | `violation` | violated properties |

mod action;
mod model;
mod proxy;
mod violation;

pub use action::{DiscoveryList, DiskState, WarmStartAction, WarmStartSituation};
pub use model::WarmStartModel;
pub use violation::WarmStartViolation;

use crate::explorer::{ExplorationOf, Limits, explore_after};

/// Explores every order of up to `depth` actions after those that lead to `situation`.
pub fn explore(situation: WarmStartSituation, depth: usize) -> ExplorationOf<WarmStartModel> {
    let initial = WarmStartModel::new();
    explore_after(initial, &situation.actions(), Limits::to_depth(depth))
}

/// As [`explore`], with a fault injected into the production code.
#[cfg(feature = "injected-faults")]
pub fn explore_with_fault(
    situation: WarmStartSituation,
    depth: usize,
    injected_fault: asterramp_warm_start::InjectedFault,
) -> ExplorationOf<WarmStartModel> {
    let initial = WarmStartModel::with_fault(injected_fault);
    explore_after(initial, &situation.actions(), Limits::to_depth(depth))
}
