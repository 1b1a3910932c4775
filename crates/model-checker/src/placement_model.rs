//! Sessions and their placement as a [`Model`]: a [`SystemState`] within the bounds of a [`Shape`].

use crate::action::{Action, Choice};
use crate::explorer::{self, Counterexample, Exploration, Limits};
use crate::model::Model;
use crate::properties::Violation;
use crate::shape::Shape;
use crate::system_state::SystemState;

/// Ranges of random numbers that are explored of an arrival, whose placement is drawn among all servers.
const RANGES_OF_ARRIVAL: u8 = 4;
/// Ranges that are explored of other actions by which a session may be placed.
const RANGES_OF_PLACEMENT: u8 = 2;
/// Ranges that are explored of actions that place no session.
const RANGES_WITHOUT_PLACEMENT: u8 = 1;

/// A violation of the placement model, with a shortest way to it.
pub type PlacementCounterexample = Counterexample<Choice, Violation>;

/// What an exploration of the placement model has seen.
pub type PlacementExploration = Exploration<Choice, Violation>;

/// A world and its bounds.
#[derive(Clone, Debug)]
pub struct PlacementModel {
    shape: &'static Shape,
    state: SystemState,
}

impl PlacementModel {
    /// The world with which a shape begins.
    pub fn new(shape: &'static Shape) -> PlacementModel {
        PlacementModel {
            shape,
            state: SystemState::new(shape),
        }
    }
}

/// How many ranges of random numbers an action is explored with.
fn random_ranges(action: Action) -> u8 {
    match action {
        Action::SessionArrives(_) => RANGES_OF_ARRIVAL,
        Action::DialConnected(_)
        | Action::RequestWritten(_)
        | Action::Sigterm
        | Action::ClientLeaves(_)
        | Action::ClientSendsEarly(_) => RANGES_WITHOUT_PLACEMENT,
        _ => RANGES_OF_PLACEMENT,
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
            (0..random_ranges(action)).map(move |random_range| Choice {
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
