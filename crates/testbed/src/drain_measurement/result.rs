//! What one drain did, as a row of a table.

use crate::run::RollError;
use std::time::Duration;

/// How the first of several proxies is drained.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainMethod {
    /// By a request at its admin socket.
    Drain,
    /// By SIGTERM.
    Sigterm,
    /// A roll over five proxies, while a host falls silent.
    Roll,
}

/// What one drain did.
#[derive(Clone, Debug)]
pub struct DrainResult {
    /// How the proxy was drained.
    pub method: DrainMethod,
    /// Sessions that the proxy had.
    pub sessions: u32,
    /// Sessions that were migrated.
    pub migrated: usize,
    /// From the order to the last migration.
    pub took: Duration,
    /// Most migrations in any second.
    pub max_migrated_per_second: usize,
    /// The highest utilization that any host had in any second.
    pub peak_utilization: f64,
    /// Share of the wanted seconds that were well served.
    pub well_served: f64,
    /// The same of the worst ten seconds in a row.
    pub worst_ten_seconds: f64,
    /// From the end of the drain until the proxy was sent a session again.
    pub back_after: Option<Duration>,
    /// How long the roll took, or why it failed; none where there was no roll.
    pub rolled: Option<Result<Duration, RollError>>,
    /// No rule was broken.
    pub rules_held: bool,
    /// How late the testbed was at worst, in milliseconds.
    pub testbed_late_ms: f64,
}

/// The header of the table whose rows [`table_row`] gives.
pub const TABLE_HEADER: &str = "| by | sessions | moved | last after s | most in a second | peak load | well served | \
                        worst 10 s | back after s | rolled in s | rules | rig late ms |";

/// One result as a row of a table in Markdown.
pub fn table_row(result: &DrainResult) -> String {
    let seconds = |span: Duration| format!("{:.2}", span.as_secs_f64());
    let rolled = match &result.rolled {
        None => "-".into(),
        Some(Ok(took)) => seconds(*took),
        Some(Err(error)) => error.to_string(),
    };
    let rules = if result.rules_held { "held" } else { "BROKEN" };
    let cells = [
        format!("{:?}", result.method),
        result.sessions.to_string(),
        result.migrated.to_string(),
        seconds(result.took),
        result.max_migrated_per_second.to_string(),
        format!("{:.2}", result.peak_utilization),
        format!("{:.4}", result.well_served),
        format!("{:.4}", result.worst_ten_seconds),
        result.back_after.map_or("-".into(), seconds),
        rolled,
        rules.to_string(),
        format!("{:.0}", result.testbed_late_ms),
    ];
    format!("| {} |", cells.join(" | "))
}
