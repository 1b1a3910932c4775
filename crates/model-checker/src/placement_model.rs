//! Sessions and their placement as a [`Model`]: a [`SystemState`] within the bounds of a [`Shape`].

use crate::action::{Action, Choice};
use crate::explorer::{self, Counterexample, Exploration, Limits};
use crate::model::Model;
use crate::properties::Violation;
use crate::shape::Shape;
use crate::system_state::SystemState;

/// Number of random ranges that an arrival is explored with: its placement is drawn among all servers.
const ARRIVAL_RANGES: u8 = 4;
/// Number of random ranges for other actions by which a session may be placed.
const PLACEMENT_RANGES: u8 = 2;
/// Number of random ranges for actions that place no session.
const NO_PLACEMENT_RANGES: u8 = 1;

/// A violation in the placement model, with a shortest sequence of choices that leads to it.
pub type PlacementCounterexample = Counterexample<Choice, Violation>;

/// The result of an exploration of the placement model.
pub type PlacementExploration = Exploration<Choice, Violation>;

/// A state of the system and the bounds within which it is explored.
#[derive(Clone, Debug)]
pub struct PlacementModel {
    shape: &'static Shape,
    state: SystemState,
}

impl PlacementModel {
    /// The initial state of a shape.
    pub fn new(shape: &'static Shape) -> PlacementModel {
        PlacementModel {
            shape,
            state: SystemState::new(shape),
        }
    }
}

/// The number of random ranges that an action is explored with.
fn random_range_count(action: Action) -> u8 {
    match action {
        Action::SessionArrives(_) => ARRIVAL_RANGES,
        Action::DialConnected(_)
        | Action::RequestWritten(_)
        | Action::Sigterm
        | Action::ClientLeaves(_)
        | Action::ClientSendsEarly(_) => NO_PLACEMENT_RANGES,
        _ => PLACEMENT_RANGES,
    }
}

impl Model for PlacementModel {
    type Action = Choice;
    type Violation = Violation;
    type Fingerprint = u128;

    fn fingerprint(&self) -> u128 {
        self.state.fingerprint()
    }

    fn is_finished(&self) -> bool {
        self.state.is_finished(self.shape)
    }

    fn actions(&self) -> Vec<Choice> {
        let mut actions = Vec::new();
        self.state.actions(self.shape, &mut actions);
        let with_ranges = |action| {
            (0..random_range_count(action)).map(move |random_range| Choice {
                action,
                random_range,
            })
        };
        actions.into_iter().flat_map(with_ranges).collect()
    }

    fn apply(&mut self, choice: Choice) -> Result<(), Violation> {
        self.state.apply(self.shape, choice)
    }
}

/// Explores a shape until a property does not hold, all states have been seen or a limit is reached.
pub fn explore(shape: &'static Shape, limits: Limits) -> PlacementExploration {
    explorer::explore(PlacementModel::new(shape), limits)
}
