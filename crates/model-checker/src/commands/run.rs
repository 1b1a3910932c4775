//! `run`: explores the shapes exhaustively.

use super::counterexample::save_counterexample;
use super::error::CommandError;
use crate::cli::RunArgs;
use crate::report::{Verdict, shape_line};
use asterramp_model_checker::explorer::Limits;
use asterramp_model_checker::placement_model::explore;
use asterramp_model_checker::shape::{SHAPES, Shape};
use asterramp_model_checker::trace::Trace;
use std::time::Duration;

/// Explores the shapes that `args` selects, until one of them has a violation.
pub(super) fn run(args: &RunArgs) -> Result<Verdict, CommandError> {
    let limits = Limits {
        max_states: args.states,
        max_time: Duration::from_secs(args.seconds),
        ..Limits::default()
    };
    let mut verdict = Verdict::Holds;
    for shape in selected_shapes(args)? {
        let exploration = explore(shape, limits);
        println!("{}", shape_line(shape, &exploration));
        if let Some(found) = &exploration.counterexample {
            let trace = Trace::new(shape, None, &found.violation, &found.actions);
            return save_counterexample(&trace, &args.save);
        }
        if exploration.is_truncated {
            verdict = Verdict::Truncated;
        }
    }
    Ok(verdict)
}

/// The shape that `--shape` names, the quick shapes, or all. The shape of random walks is a known name, but selects nothing.
fn selected_shapes(args: &RunArgs) -> Result<Vec<&'static Shape>, CommandError> {
    let Some(name) = &args.shape else {
        let shapes = SHAPES.iter();
        return Ok(shapes
            .filter(|shape| shape.is_quick || !args.quick)
            .collect());
    };
    if Shape::find(name).is_none() {
        return Err(CommandError::UnknownShape { name: name.clone() });
    }
    let shapes = SHAPES.iter();
    Ok(shapes.filter(|shape| shape.name == name).collect())
}
