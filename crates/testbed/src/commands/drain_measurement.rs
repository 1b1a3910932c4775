//! The command `empty`: measures how a proxy migrates its sessions in a drain on request, after SIGTERM, or in a roll.

use super::error::CommandError;
use super::outcome::CommandOutcome;
use super::program;
use asterramp_testbed::drain_measurement::{self, DrainMethod};
use clap::Args;
use std::path::PathBuf;

#[derive(Args)]
pub(super) struct DrainArgs {
    #[arg(long)]
    proxy: Option<PathBuf>,
    /// Sessions of the proxy that is emptied.
    #[arg(long, num_args = 1, default_values_t = [300, 2_000])]
    sessions: Vec<u32>,
    /// A roll of five proxies instead.
    #[arg(long)]
    roll: bool,
}

/// Measures each method with each number of sessions, and prints a row for each.
pub(super) async fn measure(args: &DrainArgs) -> Result<CommandOutcome, CommandError> {
    let program = program::program_at_path(args.proxy.as_deref())?;
    let methods: &[DrainMethod] = if args.roll {
        &[DrainMethod::Roll]
    } else {
        &[DrainMethod::Drain, DrainMethod::Sigterm]
    };
    let mut all_held = true;
    println!("{}", drain_measurement::TABLE_HEADER);
    for &sessions in &args.sessions {
        for method in methods {
            let result = drain_measurement::measure(*method, sessions, &program).await?;
            println!("{}", drain_measurement::table_row(&result));
            all_held &= result.rules_held && !matches!(result.roll_result, Some(Err(_)));
        }
    }
    Ok(CommandOutcome::of_rules(all_held))
}
