//! What a run gives.

use super::roll::RollError;
use crate::context::RunContext;
use crate::event_log::LoggedEvent;
use crate::judge::Verdict;
use crate::proxy_process::ResourceUsage;
use std::sync::Arc;
use std::time::Duration;

/// What a run gives.
#[derive(Debug)]
pub struct RunOutcome {
    /// The scenario, the plan, and how well clients were served.
    pub context: Arc<RunContext>,
    /// What the actors have seen.
    pub events: Vec<LoggedEvent>,
    /// What the judge makes of it.
    pub verdict: Verdict,
    /// The longest that the testbed itself was late.
    pub testbed_lateness: Duration,
    /// Whether that was so late that the run tells nothing.
    pub is_void: bool,
    /// What each proxy used, second by second.
    pub proxy_usage: Vec<Vec<ResourceUsage>>,
    /// What each host was asked for, second by second, as a multiple of what it could do.
    pub host_loads: Vec<Vec<f32>>,
    /// What became of a roll, where one was asked for: how long it took.
    pub roll_result: Option<Result<Duration, RollError>>,
}
