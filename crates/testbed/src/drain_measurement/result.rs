//! The result of one measurement, and its row of the table.

use crate::run::RollError;
use std::time::Duration;

/// The way in which proxies are made to migrate their sessions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainMethod {
    /// The first proxy is drained by a request at its admin socket.
    Drain,
    /// The first proxy is shut down by SIGTERM.
    Sigterm,
    /// All of five proxies are rolled, while a host stops responding.
    Roll,
}

/// The result of one measurement.
#[derive(Clone, Debug)]
pub struct DrainResult {
    /// The method of the drain.
    pub method: DrainMethod,
    /// Standing sessions of each proxy before the drain.
    pub sessions: u32,
    /// Number of sessions that were migrated.
    pub migrated: usize,
    /// Time from the begin of the drain to the last migration; zero if there was none.
    pub last_migration_after: Duration,
    /// The most migrations in any second.
    pub max_migrated_per_second: usize,
    /// The highest utilization of any host in any second, as a multiple of its capacity.
    pub peak_utilization: f64,
    /// Share of the clients' seconds of wanted service that were well served.
    pub well_served: f64,
    /// The share of well-served seconds in the worst ten consecutive seconds.
    pub worst_ten_seconds: f64,
    /// Time from the end of the drain until the proxy was sent a session again; `None` if it was not, and for other
    /// methods than [`DrainMethod::Drain`].
    pub first_session_after: Option<Duration>,
    /// The duration of the roll or its error; `None` for the other methods.
    pub roll_result: Option<Result<Duration, RollError>>,
    /// Whether no rule was broken.
    pub rules_held: bool,
    /// The greatest lateness of the testbed, in milliseconds.
    pub testbed_late_ms: f64,
}

/// The header of the table, whose rows are made by [`table_row`].
pub const TABLE_HEADER: &str = "| by | sessions | moved | last after s | most in a second | peak load | well served | \
                        worst 10 s | back after s | rolled in s | rules | rig late ms |";

/// A result as a row of the Markdown table.
pub fn table_row(result: &DrainResult) -> String {
    let seconds = |span: Duration| format!("{:.2}", span.as_secs_f64());
    let roll_seconds = match &result.roll_result {
        None => "-".into(),
        Some(Ok(duration)) => seconds(*duration),
        Some(Err(error)) => error.to_string(),
    };
    let rules = if result.rules_held { "held" } else { "BROKEN" };
    let cells = [
        format!("{:?}", result.method),
        result.sessions.to_string(),
        result.migrated.to_string(),
        seconds(result.last_migration_after),
        result.max_migrated_per_second.to_string(),
        format!("{:.2}", result.peak_utilization),
        format!("{:.4}", result.well_served),
        format!("{:.4}", result.worst_ten_seconds),
        result.first_session_after.map_or("-".into(), seconds),
        roll_seconds,
        rules.to_string(),
        format!("{:.0}", result.testbed_late_ms),
    ];
    format!("| {} |", cells.join(" | "))
}
