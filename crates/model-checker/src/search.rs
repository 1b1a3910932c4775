//! Plays all orders of steps up to a depth, breadth first.

use std::collections::HashSet;
use std::fmt::Debug;

/// A world that can be copied and gone on from in several ways.
pub trait Played: Clone {
    type Step: Copy + Debug;

    /// Two worlds of one key go on alike.
    fn key(&self) -> String;
    fn steps(&self) -> Vec<Self::Step>;
    fn make(&mut self, step: Self::Step);
    /// What does not hold, if anything.
    fn wrong(&self) -> Option<String>;
}

#[derive(Clone, Debug)]
pub struct Explored<S> {
    pub states: usize,
    pub steps: usize,
    pub depth: usize,
    /// What broke, and the shortest way there.
    pub found: Option<(String, Vec<S>)>,
}

/// Plays all orders of up to `depth` steps behind some that have happened; a world that was met before is not gone on from.
pub fn explore<W: Played>(mut first: W, before: &[W::Step], depth: usize) -> Explored<W::Step> {
    let mut explored = Explored {
        states: 0,
        steps: 0,
        depth: 0,
        found: None,
    };
    before.iter().for_each(|step| first.make(*step));
    let mut seen = HashSet::from([first.key()]);
    let mut level = vec![(first, before.to_vec())];
    for _ in 0..=depth {
        let mut next = Vec::new();
        for (world, way) in &level {
            if let Some(what) = world.wrong() {
                explored.found = Some((what, way.clone()));
                return explored;
            }
            if explored.depth == depth {
                continue;
            }
            for step in world.steps() {
                explored.steps += 1;
                let mut after = world.clone();
                after.make(step);
                if seen.insert(after.key()) {
                    next.push((
                        after,
                        way.iter().copied().chain([step]).collect::<Vec<W::Step>>(),
                    ));
                }
            }
        }
        explored.states += level.len();
        explored.depth += usize::from(!next.is_empty());
        level = next;
    }
    explored
}
