//! The command `scale`: measures the cost and latency of proxies at several sizes.

use super::error::CommandError;
use super::outcome::CommandOutcome;
use super::program;
use asterramp_testbed::scale;
use clap::Args;
use std::path::PathBuf;

#[derive(Args)]
pub(super) struct ScaleArgs {
    #[arg(long)]
    proxy: Option<PathBuf>,
    /// Fewer sizes.
    #[arg(long)]
    quick: bool,
    /// Only sizes of this sort.
    #[arg(long, value_parser = ["set-ups", "idle", "lines", "watched", "fleet"])]
    only: Option<String>,
    /// Seconds that each size is played for.
    #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u32).range(3..=120))]
    seconds: u32,
    /// Writes the plots into this folder.
    #[arg(long)]
    report: Option<PathBuf>,
}

/// Measures the sizes one after the other: writes each row to standard error at once, and prints the table at the end.
pub(super) async fn scale(args: &ScaleArgs) -> Result<CommandOutcome, CommandError> {
    let program = program::program_at_path(args.proxy.as_deref())?;
    let mut points = Vec::new();
    for size in scale::sizes(args.quick) {
        // By the end of the name, so that `watched` selects the series `unwatched` too.
        let is_selected = args
            .only
            .as_ref()
            .is_none_or(|series| size.series.ends_with(series.as_str()));
        if !is_selected {
            continue;
        }
        let point = scale::measure(&size, &program, args.seconds).await?;
        let table = scale::table(&[point]);
        eprintln!("{}", table.lines().last().unwrap_or_default());
        points.push(point);
    }
    print!("{}", scale::table(&points));
    if let Some(folder) = &args.report {
        scale::plots(&points, folder)?;
    }
    Ok(CommandOutcome::of_rules(
        points.iter().all(|point| point.rules_held),
    ))
}
