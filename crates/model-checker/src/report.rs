//! The commands' printed results and exit codes.

use asterramp_model_checker::explorer::{Counterexample, Exploration};
use asterramp_model_checker::placement_model::PlacementExploration;
use asterramp_model_checker::shape::Shape;
use std::fmt::Display;
use std::process::ExitCode;

/// The result of a command that ran without an error, from best to worst.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Verdict {
    /// All properties hold, or the command had nothing to check.
    Holds,
    /// A limit was reached before all states were seen; all properties hold in those that were.
    Truncated,
    /// A property does not hold, or an injected fault was not found.
    Broken,
}

impl From<Verdict> for ExitCode {
    fn from(verdict: Verdict) -> ExitCode {
        ExitCode::from(match verdict {
            Verdict::Holds => 0,
            Verdict::Broken => 1,
            Verdict::Truncated => 4,
        })
    }
}

/// Which states of a model an exploration covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExplorationScope {
    /// All of it.
    Complete,
    /// All states within the number of steps given on the command line.
    ToDepth,
}

/// Prints the result of exploring one of the smaller models.
pub(crate) fn print_exploration<A: Display, V: Display>(
    exploration: &Exploration<A, V>,
    scope: ExplorationScope,
) -> Verdict {
    let Exploration {
        states,
        steps,
        depth,
        counterexample,
        ..
    } = exploration;
    println!("{states} states, {steps} steps, depth {depth}");
    match counterexample {
        Some(counterexample) => {
            print_counterexample(counterexample);
            Verdict::Broken
        }
        None => {
            println!("{}", all_hold_text(scope));
            Verdict::Holds
        }
    }
}

/// The text for an exploration in which all properties hold.
fn all_hold_text(scope: ExplorationScope) -> &'static str {
    match scope {
        ExplorationScope::Complete => "all seen, all hold",
        ExplorationScope::ToDepth => "all seen to that depth, all hold",
    }
}

fn print_counterexample<A: Display, V: Display>(counterexample: &Counterexample<A, V>) {
    println!("BROKEN: {}", counterexample.violation);
    for (number, action) in (1..).zip(&counterexample.actions) {
        println!("{number:>3}. {action}");
    }
}

/// The line that reports the exploration of a shape.
pub(crate) fn shape_line(shape: &Shape, exploration: &PlacementExploration) -> String {
    let PlacementExploration {
        states,
        depth,
        unexpanded,
        ..
    } = exploration;
    let name = shape.name;
    let seconds = exploration.elapsed.as_secs_f64();
    let rate = exploration.steps as f64 / seconds.max(1e-3) / 1e3;
    let end = match (&exploration.counterexample, exploration.is_truncated) {
        (Some(found), _) => format!("BROKEN after {} steps", found.actions.len()),
        (None, true) => format!("stopped; {unexpanded} states not gone on from"),
        (None, false) => all_hold_text(ExplorationScope::Complete).to_owned(),
    };
    format!(
        "{name:<18} {states:>9} states, depth {depth:>3}, {seconds:>6.1} s, {rate:>6.0}k steps/s  {end}"
    )
}
