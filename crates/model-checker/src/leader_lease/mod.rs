//! Model of the leader lease: two contenders, their coordination store and two receivers of orders, in every order of
//! delayed, lost, duplicated and late messages, process pauses, session expiries and restarts.
//!
//! [`LeaseContender`](asterramp_leader_lease::LeaseContender) and
//! [`FencingGuard`](asterramp_leader_lease::FencingGuard), the production code, decide; the store, the network and the
//! clocks are modelled here. A pause of a process is modelled as any number of other actions between two of its own.
//!
//! | module | content |
//! | --- | --- |
//! | `action` | actions |
//! | `situation` | the situations from which exploration starts |
//! | `contender`, `receiver`, `store` | the processes and their messages in flight |
//! | `model` | state of all processes, and the safety properties |
//! | `possible_actions` | the actions that are possible in a state |
//! | `clocks` | the true time, and the clocks of contenders and receivers |
//! | `settings` | bounds of the model, and settings of the production code |
//! | `factory` | creates instances of the production code, optionally with an injected fault |
//! | `reference` | the reference point of times and incarnations in fingerprints |
//! | `violation` | violated properties |

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

/// Explores every order of up to `depth` actions after those that lead to `situation`.
pub fn explore(situation: LeaseSituation, depth: usize) -> ExplorationOf<LeaderLeaseModel> {
    let initial = LeaderLeaseModel::new();
    explore_after(initial, &situation.actions(), Limits::to_depth(depth))
}

/// As [`explore`], with a fault injected into the production code.
#[cfg(feature = "injected-faults")]
pub fn explore_with_fault(
    situation: LeaseSituation,
    depth: usize,
    injected_fault: asterramp_leader_lease::InjectedFault,
) -> ExplorationOf<LeaderLeaseModel> {
    let initial = LeaderLeaseModel::with_fault(injected_fault);
    explore_after(initial, &situation.actions(), Limits::to_depth(depth))
}
