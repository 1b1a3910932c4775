//! The commands `demo` and `run`: run one scenario once and report on it.

use super::error::CommandError;
use super::outcome::CommandOutcome;
use super::program;
use asterramp_testbed::plain_proxy::{InjectedFault, Policy};
use asterramp_testbed::report::Report;
use asterramp_testbed::run::{RunOptions, run, unique_output_folder};
use asterramp_testbed::scenario::Scenario;
use clap::Args;
use std::path::PathBuf;

/// The scenario of the command `demo`.
const DEMO: &str = include_str!("../../scenarios/demo.toml");

#[derive(Args)]
pub(super) struct PlayArgs {
    /// What chance is drawn from; the scenario's own if absent.
    #[arg(long)]
    pub(super) seed: Option<u64>,
    /// Adds faults drawn from this number.
    #[arg(long)]
    pub(super) chaos: Option<u64>,
    /// The proxy's program; the one built beside this if absent.
    #[arg(long)]
    pub(super) proxy: Option<PathBuf>,
    /// Plays with a plain proxy instead.
    #[arg(long, conflicts_with = "proxy")]
    pub(super) baseline: Option<Policy>,
    /// What the plain proxy does wrong.
    #[arg(long = "break", value_name = "BREAKS", requires = "baseline")]
    pub(super) fault: Option<InjectedFault>,
    /// Writes report.json, plots and the proxies' logs into this folder.
    #[arg(long)]
    report: Option<PathBuf>,
    /// Prints the report as JSON instead of the table.
    #[arg(long)]
    json: bool,
}

#[derive(Args)]
pub(super) struct RunArgs {
    /// A scenario's file.
    scenario: PathBuf,
    #[command(flatten)]
    play: PlayArgs,
}

/// Runs the built-in scenario.
pub(super) async fn demo(args: &PlayArgs) -> Result<CommandOutcome, CommandError> {
    play(Scenario::read(DEMO)?, args).await
}

/// Runs the scenario of a file.
pub(super) async fn run_file(args: &RunArgs) -> Result<CommandOutcome, CommandError> {
    play(Scenario::open(&args.scenario)?, &args.play).await
}

async fn play(scenario: Scenario, args: &PlayArgs) -> Result<CommandOutcome, CommandError> {
    let seed = args.seed.unwrap_or(scenario.seed);
    let program = program::selected_program(args)?;
    let program_name = program.name.clone();
    let folder = args.report.clone().unwrap_or_else(unique_output_folder);
    let options = RunOptions {
        seed,
        chaos: args.chaos,
        program,
        folder: folder.clone(),
        progress: true,
    };
    let result = run(scenario, &options).await;
    if args.report.is_none() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    let outcome = result?;
    let report = Report::from_run(&outcome, &program_name, seed, args.chaos);
    if args.report.is_some() {
        report.write(&folder, &outcome)?;
    }
    if args.json {
        let json = serde_json::to_string_pretty(&report).unwrap_or_default();
        println!("{json}");
    } else {
        print!("{}", report.table());
    }
    Ok(if report.void {
        CommandOutcome::Void
    } else {
        CommandOutcome::of_rules(report.rules_held)
    })
}
