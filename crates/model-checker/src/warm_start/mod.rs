//! Starts of three proxies after a power loss, in every order of starts, answers, losses and restarts at small size.
//!
//! [`WarmStart`](asterramp_warm_start::WarmStart), the code that serves, decides; endpoints, discovery and the network
//! between them are modelled here. Endpoints 0 and 1 are those from before the power loss; endpoint 2 now has the address of
//! endpoint 1, so one of these two is not there.
//!
//! | module | what it holds |
//! | --- | --- |
//! | `action` | what may happen, and the situations from which it is explored |
//! | `proxy` | one proxy: what was decided in it, and what it has heard |
//! | `model` | the proxies and the endpoints |
//! | `violation` | the properties that may not hold |

mod action;
mod model;
mod proxy;
mod violation;

pub use action::{DiscoveryList, DiskState, WarmStartAction, WarmStartSituation};
pub use model::WarmStartModel;
pub use violation::WarmStartViolation;

use crate::explorer::{ExplorationOf, Limits, explore_after};

/// Explores every order of up to `depth` actions behind a situation.
pub fn explore(situation: WarmStartSituation, depth: usize) -> ExplorationOf<WarmStartModel> {
    let initial = WarmStartModel::new();
    explore_after(initial, &situation.actions(), Limits::to_depth(depth))
}

/// The same with a fault in the code that decides.
#[cfg(feature = "injected-faults")]
pub fn explore_with_fault(
    situation: WarmStartSituation,
    depth: usize,
    injected_fault: asterramp_warm_start::InjectedFault,
) -> ExplorationOf<WarmStartModel> {
    let initial = WarmStartModel::with_fault(injected_fault);
    explore_after(initial, &situation.actions(), Limits::to_depth(depth))
}
