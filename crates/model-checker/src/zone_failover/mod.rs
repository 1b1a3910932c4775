//! Model of zone failover: every order of what one proxy may observe of two zones with three servers and one with two.
//!
//! [`ZoneFailover`](asterramp_zone_failover::ZoneFailover), the production code, decides; whether each server responds
//! is modelled here.
//!
//! | module | content |
//! | --- | --- |
//! | `action` | actions, and the situations from which exploration starts |
//! | `model` | the servers, the proxy's observations of them, and the safety properties |
//! | `liveness` | properties of what follows from a state without further faults |
//! | `settings` | bounds of the model, and settings of the production code |
//! | `violation` | violated properties |

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

/// Explores every order of up to `depth` actions after those that lead to `situation`.
pub fn explore(situation: ZoneSituation, depth: usize) -> ExplorationOf<ZoneFailoverModel> {
    let initial = ZoneFailoverModel::new();
    explore_after(initial, &situation.actions(), Limits::to_depth(depth))
}

/// As [`explore`], with a fault injected into the production code.
#[cfg(feature = "injected-faults")]
pub fn explore_with_fault(
    situation: ZoneSituation,
    depth: usize,
    injected_fault: asterramp_zone_failover::InjectedFault,
) -> ExplorationOf<ZoneFailoverModel> {
    let initial = ZoneFailoverModel::with_fault(injected_fault);
    explore_after(initial, &situation.actions(), Limits::to_depth(depth))
}
