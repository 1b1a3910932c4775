//! Zone failover in every order of what a proxy may observe, at small size: two zones with three servers and one with two.
//!
//! [`ZoneFailover`](asterramp_zone_failover::ZoneFailover), the code that serves, decides; which servers really respond is
//! modelled here.
//!
//! | module | what it holds |
//! | --- | --- |
//! | `action` | what may happen, and the situations from which it is explored |
//! | `model` | the servers, and what a proxy has observed of them |
//! | `liveness` | what must come of every state if it is left alone |
//! | `settings` | bounds of the model, and settings of the code that decides |
//! | `violation` | the properties that may not hold |

mod action;
mod liveness;
mod model;
mod settings;
mod violation;

pub use action::{ZoneAction, ZoneSituation};
pub use model::ZoneFailoverModel;
pub use violation::ZoneViolation;

use crate::explorer::{ExplorationOf, Limits, explore_after};
use crate::model::Model;

impl Model for ZoneFailoverModel {
    type Action = ZoneAction;
    type Violation = ZoneViolation;
    type Fingerprint = String;

    fn fingerprint(&self) -> String {
        self.fingerprint_text()
    }

    fn actions(&self) -> Vec<ZoneAction> {
        self.possible_actions()
    }

    fn apply(&mut self, action: ZoneAction) -> Result<(), ZoneViolation> {
        self.apply_and_check(action)
    }

    fn check(&self) -> Result<(), ZoneViolation> {
        liveness::check_recovery(self)?;
        liveness::check_loss_detected(self)
    }
}

/// Explores every order of up to `depth` actions behind a situation.
pub fn explore(situation: ZoneSituation, depth: usize) -> ExplorationOf<ZoneFailoverModel> {
    let initial = ZoneFailoverModel::new();
    explore_after(initial, &situation.actions(), Limits::to_depth(depth))
}

/// The same with a fault in the code that decides.
#[cfg(feature = "injected-faults")]
pub fn explore_with_fault(
    situation: ZoneSituation,
    depth: usize,
    injected_fault: asterramp_zone_failover::InjectedFault,
) -> ExplorationOf<ZoneFailoverModel> {
    let initial = ZoneFailoverModel::with_fault(injected_fault);
    explore_after(initial, &situation.actions(), Limits::to_depth(depth))
}
