//! `walk`: runs random walks and reports the first violation.

use super::counterexample::save_counterexample;
use super::error::CommandError;
use crate::cli::WalkArgs;
use crate::report::Verdict;
use asterramp_model_checker::shape::WALK;
use asterramp_model_checker::trace::Trace;
use asterramp_model_checker::walk::{WalkSummary, walk_for};
use std::time::Duration;

pub(super) fn walk(args: &WalkArgs) -> Result<Verdict, CommandError> {
    let WalkSummary {
        walk_count,
        action_count,
        complete_walk_count,
        counterexample,
    } = walk_for(&WALK, args.seed, Duration::from_secs(args.seconds));
    let first_seed = args.seed;
    println!(
        "{walk_count} walks from seed {first_seed}, {action_count} steps, {complete_walk_count} to the end of every session"
    );
    let Some((seed, found)) = counterexample else {
        return Ok(Verdict::Holds);
    };
    println!("seed {seed}");
    let trace = Trace::new(&WALK, None, &found.violation, &found.actions);
    save_counterexample(&trace, &args.save)
}
