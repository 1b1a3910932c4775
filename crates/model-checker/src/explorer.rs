//! Explores a [`Model`] breadth first, so that the way to a violation is a shortest one.
//!
//! The states of a level are expanded in parallel, a batch at a time. Of equal states the earliest in order is kept, so that
//! two explorations of a model keep the same states and give the same counterexample, whichever thread was faster.

use crate::known_states::{KnownStates, VisitNumber};
use crate::model::Model;
use rayon::prelude::*;
use std::time::{Duration, Instant};

/// States that are expanded before their successors are merged: many enough to keep all cores busy, few enough that the
/// successors that turn out to be equal do not matter beside the level.
const BATCH_SIZE: usize = 1 << 11;
/// Bits of a meeting's number for the action, and for the state in its batch; the batch has the rest.
const ACTION_BITS: u32 = 16;
const STATE_BITS: u32 = 16;

/// Where to stop, whatever is left.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Different states.
    pub max_states: u64,
    /// States of one level, which are in memory at once; a state of the placement model takes some 3 KiB.
    pub max_level_size: usize,
    /// Actions between the start and a state.
    pub max_depth: usize,
    /// Time after which no further level is begun.
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

    /// No limit but the number of actions.
    pub fn to_depth(depth: usize) -> Limits {
        Limits {
            max_depth: depth,
            ..Limits::NONE
        }
    }
}

impl Default for Limits {
    /// Bounds for a model with many states.
    fn default() -> Self {
        Limits {
            max_states: 40_000_000,
            max_level_size: 2_000_000,
            max_depth: 200,
            max_time: Duration::from_secs(600),
        }
    }
}

/// A violation and a shortest way to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Counterexample<A, V> {
    /// The property that does not hold.
    pub violation: V,
    /// What happened until then, from the initial state.
    pub actions: Vec<A>,
}

/// What an exploration has seen.
#[derive(Clone, Debug)]
pub struct Exploration<A, V> {
    /// Different states.
    pub states: u64,
    /// Actions applied, those that led to a known state among them.
    pub steps: u64,
    /// The largest number of actions that a state is away from where the exploration began.
    pub depth: usize,
    /// How long it took.
    pub elapsed: Duration,
    /// Whether it stopped at a limit before all was seen.
    pub is_truncated: bool,
    /// States of the last level, if it was not expanded for a limit.
    pub unexpanded: u64,
    /// The first violation, if there is one. What one batch of states leads to is seen to its end all the same.
    pub counterexample: Option<Counterexample<A, V>>,
}

/// The exploration of a model.
pub type ExplorationOf<M> = Exploration<<M as Model>::Action, <M as Model>::Violation>;

/// The counterexample of a model.
type CounterexampleOf<M> = Counterexample<<M as Model>::Action, <M as Model>::Violation>;

/// How a state was reached.
#[derive(Clone, Copy, Debug)]
struct Origin<A> {
    /// The number, in the level before, of the state that led to it.
    state: u32,
    action: A,
}

/// A state that an action led to.
struct Met<M: Model> {
    state: M,
    fingerprint: M::Fingerprint,
    number: VisitNumber,
}

/// What an action led to, if that was not known at the time.
struct Successor<M: Model> {
    origin: Origin<M::Action>,
    outcome: Result<Met<M>, M::Violation>,
}

/// What the actions of one state led to.
struct Expansion<M: Model> {
    /// Number of actions.
    steps: u64,
    successors: Vec<Successor<M>>,
}

/// Explores every order of actions from `initial` on, until a property does not hold, all states have been seen or a limit
/// is reached.
pub fn explore<M: Model>(initial: M, limits: Limits) -> ExplorationOf<M> {
    explore_after(initial, &[], limits)
}

/// Explores every order of actions behind `prefix`, which counts neither as states nor as depth, but begins the
/// counterexample.
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

/// Applies `prefix` and checks the state that it leads to.
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
    /// Batches that were begun. The initial state counts as the first.
    batches: u64,
    /// The states that are expanded next, or that the present level has led to so far.
    level: Vec<M>,
    level_origins: Vec<Origin<M::Action>>,
    /// How the states of each level before were reached; those of the first, which were not, have none.
    earlier_origins: Vec<Vec<Origin<M::Action>>>,
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
            batches: 1,
            level: vec![initial],
            level_origins: Vec::new(),
            earlier_origins: Vec::new(),
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

    /// Replaces the level by the states that it leads to and that are not known yet.
    fn expand_level(&mut self) {
        let expanded = std::mem::take(&mut self.level);
        let expanded_origins = std::mem::take(&mut self.level_origins);
        self.earlier_origins.push(expanded_origins);
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

    /// What the states of a batch lead to, in their order; `first` is the number of the first of them in its level.
    fn expand_batch(&mut self, batch: &[M], first: usize) -> Vec<Successor<M>> {
        let known = &self.known;
        let first_number = self.batches << (STATE_BITS + ACTION_BITS);
        self.batches += 1;
        let mut expansions: Vec<Expansion<M>> = batch
            .par_iter()
            .enumerate()
            .map(|(offset, state)| {
                let number = first_number + ((offset as u64) << ACTION_BITS);
                expand(state, (first + offset) as u32, number, known)
            })
            .collect();
        expansions.par_iter_mut().for_each(|expansion| {
            let is_first = |successor: &Successor<M>| match &successor.outcome {
                Ok(met) => known.is_earliest_visit(&met.fingerprint, met.number),
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

    /// Takes a successor into the next level; keeps the first violation.
    fn merge(&mut self, successor: Successor<M>) {
        let Successor { origin, outcome } = successor;
        match outcome {
            Ok(met) => {
                self.level.push(met.state);
                self.level_origins.push(origin);
            }
            Err(violation) if self.result.counterexample.is_none() => {
                let actions = self.actions_to(origin);
                self.result.counterexample = Some(Counterexample { violation, actions });
            }
            Err(_) => {}
        }
    }

    /// All actions from the initial state to what the last of them led to from the level that is being expanded.
    fn actions_to(&self, last: Origin<M::Action>) -> Vec<M::Action> {
        let mut reversed = vec![last.action];
        let mut state = last.state;
        for origins in self.earlier_origins[1..].iter().rev() {
            let origin = &origins[state as usize];
            reversed.push(origin.action);
            state = origin.state;
        }
        reversed.reverse();
        [self.prefix, &reversed].concat()
    }
}

/// Applies every action to a state. `number` is its own, and `first_meeting` that of its first action.
fn expand<M: Model>(
    state: &M,
    number: u32,
    first_meeting: VisitNumber,
    known: &KnownStates<M::Fingerprint>,
) -> Expansion<M> {
    let actions = if state.is_finished() {
        Vec::new()
    } else {
        state.actions()
    };
    let steps = actions.len() as u64;
    let numbered = (first_meeting..).zip(actions);
    let successors = numbered.filter_map(|(meeting, action)| {
        let outcome = outcome_of(state, action, meeting, known)?;
        let origin = Origin {
            state: number,
            action,
        };
        Some(Successor { origin, outcome })
    });
    Expansion {
        steps,
        successors: successors.collect(),
    }
}

/// What an action leads to; `None` if it is a state that was met before.
fn outcome_of<M: Model>(
    state: &M,
    action: M::Action,
    number: VisitNumber,
    known: &KnownStates<M::Fingerprint>,
) -> Option<Result<Met<M>, M::Violation>> {
    let mut next = state.clone();
    if let Err(violation) = next.apply(action) {
        return Some(Err(violation));
    }
    let fingerprint = next.fingerprint();
    if !known.record_visit(fingerprint.clone(), number) {
        return None;
    }
    Some(next.check().map(|()| Met {
        state: next,
        fingerprint,
        number,
    }))
}
