//! Two contenders for a lease, their store and two receivers of orders, in every order of delays, losses, repeated and late
//! messages, pauses at any point, expiries and restarts at small size.
//!
//! [`LeaseContender`](asterramp_leader_lease::LeaseContender) and [`FencingGuard`](asterramp_leader_lease::FencingGuard), the
//! code that serves, decide; the store, the network and the clocks are modelled here. A pause of a process is any number of
//! other actions between two of its own.
//!
//! | module | what it holds |
//! | --- | --- |
//! | `action` | what may happen |
//! | `situation` | the situations from which it is explored |
//! | `contender`, `receiver`, `store` | the processes, and what is in flight from and to them |
//! | `model` | all of them together |
//! | `possible_actions` | what may happen next |
//! | `clocks` | the true time and everybody's clock |
//! | `settings` | bounds of the model, and settings of the code that decides |
//! | `factory` | creates the code that decides, with an injected fault if one is wanted |
//! | `reference` | what fingerprints are relative to |
//! | `violation` | the properties that may not hold |

mod action;
mod clocks;
mod contender;
mod factory;
mod model;
mod possible_actions;
mod receiver;
mod reference;
mod settings;
mod situation;
mod store;
mod violation;

pub use action::{LeaseAction, Link};
pub use model::LeaderLeaseModel;
pub use situation::LeaseSituation;
pub use violation::LeaseViolation;

use crate::explorer::{ExplorationOf, Limits, explore_after};
use crate::model::Model;

impl Model for LeaderLeaseModel {
    type Action = LeaseAction;
    type Violation = LeaseViolation;
    type Fingerprint = String;

    fn fingerprint(&self) -> String {
        self.fingerprint_text()
    }

    fn actions(&self) -> Vec<LeaseAction> {
        self.possible_actions()
    }

    fn apply(&mut self, action: LeaseAction) -> Result<(), LeaseViolation> {
        self.apply_and_check(action)
    }
}

/// Explores every order of up to `depth` actions behind a situation.
pub fn explore(situation: LeaseSituation, depth: usize) -> ExplorationOf<LeaderLeaseModel> {
    let initial = LeaderLeaseModel::new();
    explore_after(initial, &situation.actions(), Limits::to_depth(depth))
}

/// The same with a fault in the code that decides.
#[cfg(feature = "injected-faults")]
pub fn explore_with_fault(
    situation: LeaseSituation,
    depth: usize,
    injected_fault: asterramp_leader_lease::InjectedFault,
) -> ExplorationOf<LeaderLeaseModel> {
    let initial = LeaderLeaseModel::with_fault(injected_fault);
    explore_after(initial, &situation.actions(), Limits::to_depth(depth))
}
