//! The command `shrink`: runs a scenario with fewer and fewer faults, and writes the fewest with which a rule still breaks.

use super::error::CommandError;
use super::outcome::CommandOutcome;
use super::play::PlayArgs;
use super::program;
use asterramp_testbed::plan::Plan;
use asterramp_testbed::proxy_process::Program;
use asterramp_testbed::run::run_without_files;
use asterramp_testbed::scenario::{Scenario, ScenarioFault};
use asterramp_testbed::shrink;
use clap::Args;
use std::path::PathBuf;
use tokio::runtime::Handle;

#[derive(Args)]
pub(super) struct ShrinkArgs {
    scenario: PathBuf,
    #[command(flatten)]
    play: PlayArgs,
    /// Runs at most.
    #[arg(long, default_value_t = 40, value_parser = clap::value_parser!(u32).range(1..=1000))]
    tries: u32,
    /// Where the scenario is written.
    #[arg(long, default_value = "shrunk.toml")]
    save: PathBuf,
}

/// Removes faults from a scenario for as long as a rule breaks, and saves it with those that are left.
pub(super) async fn shrink(args: &ShrinkArgs) -> Result<CommandOutcome, CommandError> {
    let path = &args.scenario;
    let text = std::fs::read_to_string(path).map_err(|source| CommandError::Unreadable {
        path: path.clone(),
        source,
    })?;
    let scenario = Scenario::open(path)?;
    let seed = args.play.seed.unwrap_or(scenario.seed);
    let program = program::selected_program(&args.play)?;
    let all_faults = shrink::scenario_faults(&Plan::new(&scenario, seed, args.play.chaos).faults);
    let runtime = Handle::current();
    let breaks = |faults: &[ScenarioFault]| {
        tokio::task::block_in_place(|| {
            runtime.block_on(breaks_a_rule(&scenario, faults, seed, &program))
        })
    };
    if !breaks(&all_faults) {
        return Err(CommandError::NoRuleBreaks);
    }
    let remaining_faults = shrink::minimize(&all_faults, args.tries, breaks);
    let text = shrink::with_faults(&text, &remaining_faults)?;
    std::fs::write(&args.save, text).map_err(|source| CommandError::Unwritable {
        path: args.save.clone(),
        source,
    })?;
    println!(
        "{} of {} faults are left, in {}",
        remaining_faults.len(),
        all_faults.len(),
        args.save.display()
    );
    Ok(CommandOutcome::RulesHeld)
}

/// Whether a run with these faults breaks a rule; a run that is void or fails counts as breaking none.
async fn breaks_a_rule(
    scenario: &Scenario,
    faults: &[ScenarioFault],
    seed: u64,
    program: &Program,
) -> bool {
    let scenario = Scenario {
        faults: faults.to_vec(),
        ..scenario.clone()
    };
    let result = run_without_files(scenario, program, seed, None).await;
    let breaks_rule = result.is_ok_and(|run| !run.is_void && !run.verdict.violations.is_empty());
    let finding = if breaks_rule {
        "a rule breaks"
    } else {
        "rules held, or void"
    };
    eprintln!("{} faults: {finding}", faults.len());
    breaks_rule
}
