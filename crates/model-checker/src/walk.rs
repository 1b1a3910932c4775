//! Random walks through a shape that is far too large to be explored.

use crate::action::{Action, Choice};
use crate::placement_model::PlacementCounterexample;
use crate::shape::Shape;
use crate::system_state::SystemState;
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use rayon::prelude::*;
use std::time::{Duration, Instant};

/// Number of actions after which a walk ends even if sessions are left.
const MAX_ACTIONS: usize = 3_000;
/// Number of walks that are run between two checks of the elapsed time.
const SEEDS_PER_ROUND: u64 = 256;
/// Number of random ranges from which that of a choice is drawn.
const RANDOM_RANGE_COUNT: u8 = 4;
/// The lowest probability with which a step takes the next deadline without drawing among all possible actions. Each walk
/// has its own: with a high one the clock advances fast, with a low one many events happen between two deadlines.
const MIN_DEADLINE_PROBABILITY: f64 = 0.02;
/// The width of the range above [`MIN_DEADLINE_PROBABILITY`] from which a walk draws its probability.
const DEADLINE_PROBABILITY_RANGE: f64 = 0.3;
/// The probability that a drawn SIGTERM is kept. SIGTERM ends a walk, and without this limit would end most walks at once.
const SIGTERM_KEEP_PROBABILITY: f64 = 0.02;

/// The result of one random walk.
#[derive(Clone, Debug)]
pub struct Walk {
    /// Number of actions applied.
    pub action_count: usize,
    /// Whether the walk reached a state in which the shape is finished, rather than the limit on actions or a violation.
    pub is_complete: bool,
    /// The violation that ended the walk, if there was one.
    pub counterexample: Option<PlacementCounterexample>,
}

/// The totals of many random walks.
#[derive(Clone, Debug, Default)]
pub struct WalkSummary {
    /// Number of walks.
    pub walk_count: u64,
    /// Number of actions in all walks.
    pub action_count: u64,
    /// Number of walks with [`Walk::is_complete`].
    pub complete_walk_count: u64,
    /// The lowest seed whose walk violated a property, and its counterexample.
    pub counterexample: Option<(u64, PlacementCounterexample)>,
}

/// Runs one random walk; the same seed always gives the same walk.
pub fn walk(shape: &Shape, seed: u64) -> Walk {
    let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
    let mut state = SystemState::new(shape);
    let mut possible = Vec::new();
    let mut choices = Vec::new();
    let deadline_probability =
        MIN_DEADLINE_PROBABILITY + DEADLINE_PROBABILITY_RANGE * random.random::<f64>();
    while choices.len() < MAX_ACTIONS && !state.is_finished(shape) {
        state.actions(shape, &mut possible);
        let Some(choice) = choose(&mut random, &possible, deadline_probability) else {
            break;
        };
        choices.push(choice);
        if let Err(violation) = state.apply(shape, choice) {
            return Walk {
                action_count: choices.len(),
                is_complete: false,
                counterexample: Some(PlacementCounterexample {
                    violation,
                    actions: choices,
                }),
            };
        }
    }
    Walk {
        action_count: choices.len(),
        is_complete: state.is_finished(shape),
        counterexample: None,
    }
}

/// Draws one of the possible actions, of which [`Action::NextDeadline`] is the last if it is possible at all.
/// `deadline_probability` is the probability that it is taken without drawing among all of them.
fn choose(
    random: &mut Xoshiro256PlusPlus,
    possible: &[Action],
    deadline_probability: f64,
) -> Option<Choice> {
    let last_index = possible.len().checked_sub(1)?;
    let last = possible[last_index];
    let takes_deadline =
        last == Action::NextDeadline && random.random::<f64>() < deadline_probability;
    let drawn = if takes_deadline {
        last
    } else {
        possible[random.random_range(0..=last_index)]
    };
    let drops_sigterm =
        drawn == Action::Sigterm && random.random::<f64>() > SIGTERM_KEEP_PROBABILITY;
    let action = if drops_sigterm { last } else { drawn };
    Some(Choice {
        action,
        random_range: random.random_range(0..RANDOM_RANGE_COUNT),
    })
}

/// Runs walks with the seeds from `first_seed` on, on all cores, until `time` has passed or a property does not hold.
pub fn walk_for(shape: &Shape, first_seed: u64, time: Duration) -> WalkSummary {
    let started = Instant::now();
    let mut summary = WalkSummary::default();
    while started.elapsed() < time && summary.counterexample.is_none() {
        let from = first_seed + summary.walk_count;
        let seeds = from..from + SEEDS_PER_ROUND;
        let walks: Vec<(u64, Walk)> = seeds
            .into_par_iter()
            .map(|seed| (seed, walk(shape, seed)))
            .collect();
        for (seed, walk) in walks {
            summary.add(seed, walk);
        }
    }
    summary
}

impl WalkSummary {
    /// Adds a walk. Its seed must be higher than those of the walks added before, so that the counterexample kept is that
    /// of the lowest seed.
    fn add(&mut self, seed: u64, walk: Walk) {
        self.walk_count += 1;
        self.action_count += walk.action_count as u64;
        self.complete_walk_count += u64::from(walk.is_complete);
        if let Some(counterexample) = walk.counterexample {
            self.counterexample.get_or_insert((seed, counterexample));
        }
    }
}
