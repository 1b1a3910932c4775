//! Breadth first over all worlds that steps can reach, so that the trace to a violation is the shortest.

use crate::action::{Action, Choice};
use crate::properties::Violation;
use crate::shape::Shape;
use crate::world::World;
use rayon::prelude::*;
use std::collections::HashSet;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

#[derive(Clone, Debug)]
pub struct PlacementCounterexample {
    pub violation: Violation,
    pub actions: Vec<Choice>,
}

#[derive(Clone, Debug, Default)]
pub struct PlacementExploration {
    pub states: u64,
    /// Steps made, those that led to states already known among them.
    pub steps: u64,
    pub depth: usize,
    pub elapsed: Duration,
    /// States at the edge of the bounds that were not gone on from: their number, for what limit.
    pub unexpanded: u64,
    pub counterexample: Option<PlacementCounterexample>,
    /// Stopped at a limit before all was seen.
    pub is_truncated: bool,
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
type Parent = (u32, Choice);

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
fn chances(step: Action) -> u8 {
    match step {
        Action::SessionArrives(_) => 4,
        Action::DialConnected(_)
        | Action::RequestWritten(_)
        | Action::Sigterm
        | Action::ClientLeaves(_)
        | Action::ClientSpeaks(_) => 1,
        _ => 2,
    }
}

pub fn explore(shape: &Shape, limits: Limits) -> PlacementExploration {
    let (began, visited, steps) = (Instant::now(), Visited::new(), AtomicU64::new(0));
    let mut explored = PlacementExploration {
        states: 1,
        ..PlacementExploration::default()
    };
    let mut level = vec![World::new(shape)];
    visited.first(level[0].fingerprint());
    let mut parents: Vec<Vec<Parent>> = vec![Vec::new()];
    while !level.is_empty() && explored.counterexample.is_none() {
        let full = explored.is_truncated
            || explored.states >= limits.states
            || began.elapsed() > limits.time;
        if full || explored.depth >= limits.depth {
            (explored.unexpanded, explored.is_truncated) = (level.len() as u64, true);
            break;
        }
        let mut next: Vec<World> = Vec::new();
        let mut froms: Vec<Parent> = Vec::new();
        for (part, worlds) in level.chunks(PART).enumerate() {
            let reached: Vec<Result<(World, Parent), (Violation, Parent)>> = worlds
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
                    Err((violation, parent)) if explored.counterexample.is_none() => {
                        let actions = trace(&parents, parent);
                        explored.counterexample =
                            Some(PlacementCounterexample { violation, actions });
                    }
                    Err(_) => {}
                }
            }
            let full =
                explored.states + next.len() as u64 >= limits.states || next.len() >= limits.front;
            if explored.counterexample.is_some() || full {
                explored.is_truncated |= full;
                break;
            }
        }
        explored.states += next.len() as u64;
        explored.depth += usize::from(!next.is_empty());
        level = next;
        parents.push(froms);
    }
    (explored.steps, explored.elapsed) = (steps.into_inner(), began.elapsed());
    explored
}

/// All that one step leads to and nobody has been at.
fn follow(
    shape: &Shape,
    world: &World,
    from: u32,
    visited: &Visited,
    count: &AtomicU64,
) -> Vec<Result<(World, Parent), (Violation, Parent)>> {
    let (mut out, mut steps) = (Vec::new(), Vec::new());
    if world.is_finished(shape) {
        return out;
    }
    world.actions(shape, &mut steps);
    for step in steps {
        for chance in 0..chances(step) {
            let what = Choice {
                action: step,
                random_range: chance,
            };
            let mut next = world.clone();
            count.fetch_add(1, Ordering::Relaxed);
            match next.apply(shape, what) {
                Err(violation) => out.push(Err((violation, (from, what)))),
                Ok(()) if visited.first(next.fingerprint()) => out.push(Ok((next, (from, what)))),
                Ok(()) => {}
            }
        }
    }
    out
}

/// The moves that lead to a state, from its parent back to the start.
fn trace(parents: &[Vec<Parent>], last: Parent) -> Vec<Choice> {
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
