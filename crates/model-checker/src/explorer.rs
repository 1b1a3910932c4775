//! Explores a [`Model`] breadth first, so that a counterexample is a shortest one.
//!
//! The states of a level are expanded in parallel, a batch at a time. Of equal states the one that is first in
//! the order of states and actions is kept, so that every exploration of a model keeps the same states and gives the same
//! counterexample, whichever thread is faster.

use crate::known_states::{KnownStates, VisitNumber};
use crate::model::Model;
use rayon::prelude::*;
use std::time::{Duration, Instant};

/// Number of states that are expanded before their successors are merged: enough to keep all cores busy, and few enough
/// that the duplicates among the successors take little memory compared with the level.
const BATCH_SIZE: usize = 1 << 11;
/// Lowest bits of a [`VisitNumber`], which hold the index of the action among those of its state.
const ACTION_BITS: u32 = 16;
/// Next bits of a [`VisitNumber`], which hold the index of the state in its batch. The batch number has the remaining bits.
const STATE_BITS: u32 = 16;

/// Limits of an exploration; at the first that is reached it stops and is marked as truncated.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Number of distinct states.
    pub max_states: u64,
    /// Number of states in one level, all of which are in memory at once; a state of the placement model takes some 3 KiB.
    pub max_level_size: usize,
    /// Number of actions between the initial state and any other.
    pub max_depth: usize,
    /// Time after which no further level is begun; it does not interrupt a level that was begun.
    pub max_time: Duration,
}

impl Limits {
    /// No limit, for a model with few states.
    pub const NONE: Limits = Limits {
        max_states: u64::MAX,
        max_level_size: usize::MAX,
        max_depth: usize::MAX,
        max_time: Duration::MAX,
    };

    /// Limits only the number of actions between the initial state and any other.
    pub fn to_depth(depth: usize) -> Limits {
        Limits {
            max_depth: depth,
            ..Limits::NONE
        }
    }
}

impl Default for Limits {
    /// Limits for a model with many states.
    fn default() -> Self {
        Limits {
            max_states: 40_000_000,
            max_level_size: 2_000_000,
            max_depth: 200,
            max_time: Duration::from_secs(600),
        }
    }
}

/// A violation and a shortest sequence of actions that leads to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Counterexample<A, V> {
    /// The property that does not hold.
    pub violation: V,
    /// All actions from the initial state to the violation.
    pub actions: Vec<A>,
}

/// The result of an exploration.
#[derive(Clone, Debug)]
pub struct Exploration<A, V> {
    /// Number of distinct states, the initial one included.
    pub states: u64,
    /// Number of actions applied, including those that led to a known state.
    pub steps: u64,
    /// The largest number of actions between the initial state and a state that was found.
    pub depth: usize,
    /// Duration of the exploration.
    pub elapsed: Duration,
    /// Whether a limit was reached before all states were seen.
    pub is_truncated: bool,
    /// Number of states in the last level if a limit kept it from being expanded, or 0.
    pub unexpanded: u64,
    /// The first violation, if there is one. The batch in which it is found is still expanded completely.
    pub counterexample: Option<Counterexample<A, V>>,
}

/// The result of exploring the model `M`.
pub type ExplorationOf<M> = Exploration<<M as Model>::Action, <M as Model>::Violation>;

/// A counterexample of the model `M`.
type CounterexampleOf<M> = Counterexample<<M as Model>::Action, <M as Model>::Violation>;

/// The transition by which a state was first reached.
#[derive(Clone, Copy, Debug)]
struct IncomingTransition<A> {
    /// Index of the predecessor state in its level, which is the level before.
    predecessor: u32,
    action: A,
}

/// A state that an action led to, with the number of that visit.
struct VisitedState<M: Model> {
    state: M,
    fingerprint: M::Fingerprint,
    visit: VisitNumber,
}

/// The outcome of an action that led to a violation or to a state that was not known at the time.
struct Successor<M: Model> {
    transition: IncomingTransition<M::Action>,
    outcome: Result<VisitedState<M>, M::Violation>,
}

/// The successors of one state.
struct Expansion<M: Model> {
    /// Number of actions applied, including those that led to a known state.
    steps: u64,
    successors: Vec<Successor<M>>,
}

/// Explores every order of actions from `initial` on, until a property does not hold, all states have been seen or a limit
/// is reached.
pub fn explore<M: Model>(initial: M, limits: Limits) -> ExplorationOf<M> {
    explore_after(initial, &[], limits)
}

/// Explores every order of actions after `prefix`. The prefix counts neither towards the states nor towards the depth, but a
/// counterexample begins with it.
pub fn explore_after<M: Model>(
    mut initial: M,
    prefix: &[M::Action],
    limits: Limits,
) -> ExplorationOf<M> {
    let started = Instant::now();
    let violation = run_prefix(&mut initial, prefix);
    let mut explorer = Explorer::new(initial, prefix, limits);
    explorer.result.counterexample = violation;
    while !explorer.level.is_empty() && explorer.result.counterexample.is_none() {
        if explorer.is_limit_reached() || started.elapsed() > limits.max_time {
            explorer.result.unexpanded = explorer.level.len() as u64;
            explorer.result.is_truncated = true;
            break;
        }
        explorer.expand_level();
    }
    explorer.result.elapsed = started.elapsed();
    explorer.result
}

/// Applies `prefix` and checks the state that it leads to. Returns a counterexample if a property does not hold.
fn run_prefix<M: Model>(model: &mut M, prefix: &[M::Action]) -> Option<CounterexampleOf<M>> {
    let counterexample = |violation, length| Counterexample {
        violation,
        actions: prefix[..length].to_vec(),
    };
    for (applied, action) in prefix.iter().enumerate() {
        if let Err(violation) = model.apply(*action) {
            return Some(counterexample(violation, applied + 1));
        }
    }
    let violation = model.check().err()?;
    Some(counterexample(violation, prefix.len()))
}

struct Explorer<'a, M: Model> {
    limits: Limits,
    prefix: &'a [M::Action],
    known: KnownStates<M::Fingerprint>,
    /// Number of batches that were begun. The initial state counts as the first, since its visit number is 0.
    batches_begun: u64,
    /// The states to be expanded next; while a level is being expanded, the new states found so far.
    level: Vec<M>,
    /// How each state of `level` was reached; empty for the initial state.
    level_transitions: Vec<IncomingTransition<M::Action>>,
    /// How the states of each level up to the one being expanded were reached; empty for the first level, which has only
    /// the initial state.
    earlier_transitions: Vec<Vec<IncomingTransition<M::Action>>>,
    result: ExplorationOf<M>,
}

impl<'a, M: Model> Explorer<'a, M> {
    fn new(initial: M, prefix: &'a [M::Action], limits: Limits) -> Self {
        let known = KnownStates::new();
        known.record_visit(initial.fingerprint(), 0);
        Explorer {
            limits,
            prefix,
            known,
            batches_begun: 1,
            level: vec![initial],
            level_transitions: Vec::new(),
            earlier_transitions: Vec::new(),
            result: Exploration {
                states: 1,
                steps: 0,
                depth: 0,
                elapsed: Duration::ZERO,
                is_truncated: false,
                unexpanded: 0,
                counterexample: None,
            },
        }
    }

    fn is_limit_reached(&self) -> bool {
        self.result.is_truncated
            || self.result.states >= self.limits.max_states
            || self.result.depth >= self.limits.max_depth
    }

    /// Replaces the level by those of its successors that were not known yet.
    fn expand_level(&mut self) {
        let expanded = std::mem::take(&mut self.level);
        let expanded_transitions = std::mem::take(&mut self.level_transitions);
        self.earlier_transitions.push(expanded_transitions);
        for (batch_number, batch) in expanded.chunks(BATCH_SIZE).enumerate() {
            for successor in self.expand_batch(batch, batch_number * BATCH_SIZE) {
                self.merge(successor);
            }
            let states = self.result.states + self.level.len() as u64;
            let is_full =
                states >= self.limits.max_states || self.level.len() >= self.limits.max_level_size;
            self.result.is_truncated |= is_full;
            if is_full || self.result.counterexample.is_some() {
                break;
            }
        }
        self.result.states += self.level.len() as u64;
        self.result.depth += usize::from(!self.level.is_empty());
    }

    /// Expands a batch and returns its new successors in order; `first_index` is the index of the batch's first state in
    /// its level.
    fn expand_batch(&mut self, batch: &[M], first_index: usize) -> Vec<Successor<M>> {
        let known = &self.known;
        let first_visit = self.batches_begun << (STATE_BITS + ACTION_BITS);
        self.batches_begun += 1;
        let mut expansions: Vec<Expansion<M>> = batch
            .par_iter()
            .enumerate()
            .map(|(offset, state)| {
                let visit = first_visit + ((offset as u64) << ACTION_BITS);
                expand(state, (first_index + offset) as u32, visit, known)
            })
            .collect();
        expansions.par_iter_mut().for_each(|expansion| {
            let is_first = |successor: &Successor<M>| match &successor.outcome {
                Ok(visited) => known.is_earliest_visit(&visited.fingerprint, visited.visit),
                Err(_) => true,
            };
            expansion.successors.retain(is_first);
        });
        self.result.steps += expansions.iter().map(|each| each.steps).sum::<u64>();
        expansions
            .into_iter()
            .flat_map(|expansion| expansion.successors)
            .collect()
    }

    /// Adds a new state to the next level, or makes a counterexample of the first violation.
    fn merge(&mut self, successor: Successor<M>) {
        let Successor {
            transition,
            outcome,
        } = successor;
        match outcome {
            Ok(visited) => {
                self.level.push(visited.state);
                self.level_transitions.push(transition);
            }
            Err(violation) if self.result.counterexample.is_none() => {
                let actions = self.actions_to(transition);
                self.result.counterexample = Some(Counterexample { violation, actions });
            }
            Err(_) => {}
        }
    }

    /// All actions from the initial state up to the one of `last`, which was applied to a state of the level being expanded.
    fn actions_to(&self, last: IncomingTransition<M::Action>) -> Vec<M::Action> {
        let mut reversed = vec![last.action];
        let mut index = last.predecessor;
        for transitions in self.earlier_transitions[1..].iter().rev() {
            let transition = &transitions[index as usize];
            reversed.push(transition.action);
            index = transition.predecessor;
        }
        reversed.reverse();
        [self.prefix, &reversed].concat()
    }
}

/// Applies every possible action to a state. `state_index` is its index in its level, and `first_visit` the visit number of
/// its first action; those of the further actions follow.
fn expand<M: Model>(
    state: &M,
    state_index: u32,
    first_visit: VisitNumber,
    known: &KnownStates<M::Fingerprint>,
) -> Expansion<M> {
    let actions = if state.is_finished() {
        Vec::new()
    } else {
        state.actions()
    };
    let steps = actions.len() as u64;
    let visits = (first_visit..).zip(actions);
    let successors = visits.filter_map(|(visit, action)| {
        let outcome = apply_to_clone(state, action, visit, known)?;
        let transition = IncomingTransition {
            predecessor: state_index,
            action,
        };
        Some(Successor {
            transition,
            outcome,
        })
    });
    Expansion {
        steps,
        successors: successors.collect(),
    }
}

/// Applies an action to a clone of `state`. Returns `None` if it leads to a state that is known from an earlier visit.
fn apply_to_clone<M: Model>(
    state: &M,
    action: M::Action,
    visit: VisitNumber,
    known: &KnownStates<M::Fingerprint>,
) -> Option<Result<VisitedState<M>, M::Violation>> {
    let mut next = state.clone();
    if let Err(violation) = next.apply(action) {
        return Some(Err(violation));
    }
    let fingerprint = next.fingerprint();
    if !known.record_visit(fingerprint.clone(), visit) {
        return None;
    }
    Some(next.check().map(|()| VisitedState {
        state: next,
        fingerprint,
        visit,
    }))
}
