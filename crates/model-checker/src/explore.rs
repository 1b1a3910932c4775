//! Breadth first over all worlds that steps can reach, so that the trace to a breach is the shortest.

use crate::properties::Breach;
use crate::shape::Shape;
use crate::step::{Move, Step};
use crate::world::World;
use rayon::prelude::*;
use std::collections::HashSet;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

#[derive(Clone, Debug)]
pub struct Found {
    pub breach: Breach,
    pub moves: Vec<Move>,
}

#[derive(Clone, Debug, Default)]
pub struct Explored {
    pub states: u64,
    /// Steps made, those that led to states already known among them.
    pub steps: u64,
    pub depth: usize,
    pub took: Duration,
    /// States at the edge of the bounds that were not gone on from: their number, for what limit.
    pub left_out: u64,
    pub found: Option<Found>,
    /// Stopped at a limit before all was seen.
    pub stopped: bool,
}

/// Where to stop, whatever is left.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub states: u64,
    /// Worlds of one level, which stand in memory at once, some 3 KiB each.
    pub front: usize,
    pub depth: usize,
    pub time: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            states: 40_000_000,
            front: 2_000_000,
            depth: 200,
            time: Duration::from_secs(600),
        }
    }
}

/// States of a level that are held whole at once, in parts of this size; a level's worlds are the bulk of memory.
const PART: usize = 1 << 14;
const SHARDS: usize = 256;

/// Whose state a world was reached from, by its place in the level before.
type Parent = (u32, Move);

struct Visited(Vec<Mutex<HashSet<u128>>>);

impl Visited {
    fn new() -> Visited {
        Visited((0..SHARDS).map(|_| Mutex::default()).collect())
    }

    fn first(&self, digest: u128) -> bool {
        let shard = &self.0[(digest >> 64) as usize % SHARDS];
        shard
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
            .insert(digest)
    }
}

/// Chances that a step is played with: more where a placement is drawn anew.
fn chances(step: Step) -> u8 {
    match step {
        Step::Arrives(_) => 4,
        Step::Connected(_)
        | Step::Written(_)
        | Step::Sigterm
        | Step::Leaves(_)
        | Step::Speaks(_) => 1,
        _ => 2,
    }
}

pub fn explore(shape: &Shape, limits: Limits) -> Explored {
    let (began, visited, steps) = (Instant::now(), Visited::new(), AtomicU64::new(0));
    let mut explored = Explored {
        states: 1,
        ..Explored::default()
    };
    let mut level = vec![World::new(shape)];
    visited.first(level[0].digest());
    let mut parents: Vec<Vec<Parent>> = vec![Vec::new()];
    while !level.is_empty() && explored.found.is_none() {
        let full =
            explored.stopped || explored.states >= limits.states || began.elapsed() > limits.time;
        if full || explored.depth >= limits.depth {
            (explored.left_out, explored.stopped) = (level.len() as u64, true);
            break;
        }
        let mut next: Vec<World> = Vec::new();
        let mut froms: Vec<Parent> = Vec::new();
        for (part, worlds) in level.chunks(PART).enumerate() {
            let reached: Vec<Result<(World, Parent), (Breach, Parent)>> = worlds
                .par_iter()
                .enumerate()
                .flat_map_iter(|(nth, world)| {
                    let from = (part * PART + nth) as u32;
                    follow(shape, world, from, &visited, &steps)
                })
                .collect();
            for reached in reached {
                match reached {
                    Ok((world, parent)) => {
                        next.push(world);
                        froms.push(parent);
                    }
                    Err((breach, parent)) if explored.found.is_none() => {
                        let moves = trace(&parents, parent);
                        explored.found = Some(Found { breach, moves });
                    }
                    Err(_) => {}
                }
            }
            let full =
                explored.states + next.len() as u64 >= limits.states || next.len() >= limits.front;
            if explored.found.is_some() || full {
                explored.stopped |= full;
                break;
            }
        }
        explored.states += next.len() as u64;
        explored.depth += usize::from(!next.is_empty());
        level = next;
        parents.push(froms);
    }
    (explored.steps, explored.took) = (steps.into_inner(), began.elapsed());
    explored
}

/// All that one step leads to and nobody has been at.
fn follow(
    shape: &Shape,
    world: &World,
    from: u32,
    visited: &Visited,
    count: &AtomicU64,
) -> Vec<Result<(World, Parent), (Breach, Parent)>> {
    let (mut out, mut steps) = (Vec::new(), Vec::new());
    if world.over(shape) {
        return out;
    }
    world.steps(shape, &mut steps);
    for step in steps {
        for chance in 0..chances(step) {
            let what = Move { step, chance };
            let mut next = world.clone();
            count.fetch_add(1, Ordering::Relaxed);
            match next.make(shape, what) {
                Err(breach) => out.push(Err((breach, (from, what)))),
                Ok(()) if visited.first(next.digest()) => out.push(Ok((next, (from, what)))),
                Ok(()) => {}
            }
        }
    }
    out
}

/// The moves that lead to a state, from its parent back to the start.
fn trace(parents: &[Vec<Parent>], last: Parent) -> Vec<Move> {
    let mut moves = vec![last.1];
    let mut at = last.0;
    for level in parents[1..].iter().rev() {
        let (parent, what) = level[at as usize];
        moves.push(what);
        at = parent;
    }
    moves.reverse();
    moves
}
