//! Random walks through worlds far larger than can be explored.

use crate::action::{Action, Choice};
use crate::placement_model::PlacementCounterexample;
use crate::shape::Shape;
use crate::system_state::SystemState;
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use rayon::prelude::*;
use std::time::{Duration, Instant};

/// Actions after which a walk ends, whatever is left of it.
const MAX_ACTIONS: usize = 3_000;
/// Seeds that are walked from before the time is looked at again.
const SEEDS_PER_ROUND: u64 = 256;
/// Random ranges that a choice may name.
const RANDOM_RANGES: u8 = 4;
/// The least chance that the next deadline is chosen at once, and how much greater it may be, by the walk's seed: some walks
/// are in a hurry, some dwell on what may happen between two deadlines.
const MIN_HURRY: f64 = 0.02;
const HURRY_SPREAD: f64 = 0.3;
/// The chance that a SIGTERM that was drawn is kept. It ends a walk, and would end most of them at once.
const SIGTERM_CHANCE: f64 = 0.02;

/// One random walk.
#[derive(Clone, Debug)]
pub struct Walk {
    /// How many actions it had.
    pub action_count: usize,
    /// Whether it went on until every session had ended.
    pub is_complete: bool,
    /// What broke a property, if anything.
    pub counterexample: Option<PlacementCounterexample>,
}

/// Many random walks.
#[derive(Clone, Debug, Default)]
pub struct WalkSummary {
    /// How many walks.
    pub walk_count: u64,
    /// Actions of all walks.
    pub action_count: u64,
    /// Walks that went on until every session had ended.
    pub complete_walk_count: u64,
    /// The lowest seed whose walk broke a property, and how.
    pub counterexample: Option<(u64, PlacementCounterexample)>,
}

/// Walks once, the same way for the same seed.
pub fn walk(shape: &Shape, seed: u64) -> Walk {
    let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
    let mut state = SystemState::new(shape);
    let mut possible = Vec::new();
    let mut choices = Vec::new();
    let hurry = MIN_HURRY + HURRY_SPREAD * random.random::<f64>();
    while choices.len() < MAX_ACTIONS && !state.is_finished(shape) {
        state.actions(shape, &mut possible);
        let Some(choice) = choose(&mut random, &possible, hurry) else {
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

/// Draws one of the possible actions. `hurry` is the chance that the next deadline is chosen before all others.
fn choose(random: &mut Xoshiro256PlusPlus, possible: &[Action], hurry: f64) -> Option<Choice> {
    let last_index = possible.len().checked_sub(1)?;
    let last = possible[last_index];
    let hurries = last == Action::NextDeadline && random.random::<f64>() < hurry;
    let drawn = if hurries {
        last
    } else {
        possible[random.random_range(0..=last_index)]
    };
    let ends_early = drawn == Action::Sigterm && random.random::<f64>() > SIGTERM_CHANCE;
    let action = if ends_early { last } else { drawn };
    Some(Choice {
        action,
        random_range: random.random_range(0..RANDOM_RANGES),
    })
}

/// Walks from `first_seed` on, on all cores, until `time` has passed or a property does not hold.
pub fn walk_for(shape: &Shape, first_seed: u64, time: Duration) -> WalkSummary {
    let began = Instant::now();
    let mut summary = WalkSummary::default();
    while began.elapsed() < time && summary.counterexample.is_none() {
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
    /// Adds a walk, whose seed is higher than those of the walks before.
    fn add(&mut self, seed: u64, walk: Walk) {
        self.walk_count += 1;
        self.action_count += walk.action_count as u64;
        self.complete_walk_count += u64::from(walk.is_complete);
        if let Some(counterexample) = walk.counterexample {
            self.counterexample.get_or_insert((seed, counterexample));
        }
    }
}
