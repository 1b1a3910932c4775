//! Random walks through worlds far larger than can be explored.

use crate::placement_model::PlacementCounterexample;
use crate::shape::Shape;
use crate::step::{Move, Step};
use crate::world::World;
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use rayon::prelude::*;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

#[derive(Clone, Debug, Default)]
pub struct Walked {
    pub walks: u64,
    pub steps: u64,
    /// Walks that ended with every session over, and dials that they made.
    pub whole: u64,
    pub found: Option<(u64, PlacementCounterexample)>,
}

const LONGEST: usize = 3_000;

/// One walk, the same for the same seed.
pub fn walk(shape: &Shape, seed: u64) -> (usize, bool, Option<PlacementCounterexample>) {
    let mut chance = Xoshiro256PlusPlus::seed_from_u64(seed);
    let (mut world, mut steps, mut moves) = (World::new(shape), Vec::new(), Vec::new());
    // Some walks are in a hurry, some dwell on what may happen between two deadlines.
    let hurry = 0.02 + 0.3 * chance.random::<f64>();
    while moves.len() < LONGEST && !world.over(shape) {
        world.steps(shape, &mut steps);
        let due = steps.last() == Some(&Step::Due) && chance.random::<f64>() < hurry;
        let Some(last) = steps.len().checked_sub(1) else {
            break;
        };
        let at = if due {
            last
        } else {
            chance.random_range(0..=last)
        };
        // SIGTERM ends a walk, and would end most of them at once.
        let early = steps[at] == Step::Sigterm && chance.random::<f64>() > 0.02;
        let step = if early { steps[last] } else { steps[at] };
        let what = Move {
            step,
            chance: chance.random_range(0..4),
        };
        moves.push(what);
        if let Err(breach) = world.make(shape, what) {
            let found = PlacementCounterexample {
                violation: breach,
                actions: moves,
            };
            return (found.actions.len(), false, Some(found));
        }
    }
    (moves.len(), world.over(shape), None)
}

/// Walks from a seed on, on all cores, for so long or until a property breaks; the first seed's that did.
pub fn walks(shape: &Shape, seed: u64, time: Duration) -> Walked {
    let (began, steps, whole) = (Instant::now(), AtomicU64::new(0), AtomicU64::new(0));
    let mut walked = Walked::default();
    while began.elapsed() < time && walked.found.is_none() {
        let from = seed + walked.walks;
        let round = 256;
        let found = (from..from + round).into_par_iter().filter_map(|seed| {
            let (made, over, found) = walk(shape, seed);
            steps.fetch_add(made as u64, Ordering::Relaxed);
            whole.fetch_add(u64::from(over), Ordering::Relaxed);
            found.map(|found| (seed, found))
        });
        walked.found = found.min_by_key(|found| found.0);
        walked.walks += round;
    }
    (walked.steps, walked.whole) = (steps.into_inner(), whole.into_inner());
    walked
}
