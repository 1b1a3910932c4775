//! Sessions and their placement as a [`Model`]: a [`World`] within the bounds of a [`Shape`].

use crate::explorer::{self, Counterexample, Exploration, Limits};
use crate::model::Model;
use crate::properties::Breach;
use crate::shape::Shape;
use crate::step::{Move, Step};
use crate::world::World;

/// Ranges of random numbers that are explored of an arrival, whose placement is drawn among all servers.
const RANGES_OF_ARRIVAL: u8 = 4;
/// Ranges that are explored of other actions by which a session may be placed.
const RANGES_OF_PLACEMENT: u8 = 2;
/// Ranges that are explored of actions that place no session.
const RANGES_WITHOUT_PLACEMENT: u8 = 1;

/// A violation of the placement model, with a shortest way to it.
pub type PlacementCounterexample = Counterexample<Move, Breach>;

/// What an exploration of the placement model has seen.
pub type PlacementExploration = Exploration<Move, Breach>;

/// A world and its bounds.
#[derive(Clone, Debug)]
pub struct PlacementModel {
    shape: &'static Shape,
    world: World,
}

impl PlacementModel {
    /// The world with which a shape begins.
    pub fn new(shape: &'static Shape) -> PlacementModel {
        PlacementModel {
            shape,
            world: World::new(shape),
        }
    }
}

/// How many ranges of random numbers an action is explored with.
fn random_ranges(step: Step) -> u8 {
    match step {
        Step::Arrives(_) => RANGES_OF_ARRIVAL,
        Step::Connected(_)
        | Step::Written(_)
        | Step::Sigterm
        | Step::Leaves(_)
        | Step::Speaks(_) => RANGES_WITHOUT_PLACEMENT,
        _ => RANGES_OF_PLACEMENT,
    }
}

impl Model for PlacementModel {
    type Action = Move;
    type Violation = Breach;
    type Fingerprint = u128;

    fn fingerprint(&self) -> u128 {
        self.world.digest()
    }

    fn is_finished(&self) -> bool {
        self.world.over(self.shape)
    }

    fn actions(&self) -> Vec<Move> {
        let mut steps = Vec::new();
        self.world.steps(self.shape, &mut steps);
        let with_ranges = |step| (0..random_ranges(step)).map(move |chance| Move { step, chance });
        steps.into_iter().flat_map(with_ranges).collect()
    }

    fn apply(&mut self, action: Move) -> Result<(), Breach> {
        self.world.make(self.shape, action)
    }
}

/// Explores a shape until a property does not hold, all states have been seen or a limit is reached.
pub fn explore(shape: &'static Shape, limits: Limits) -> PlacementExploration {
    explorer::explore(PlacementModel::new(shape), limits)
}
