//! The outcome of a run.

use super::roll::RollError;
use crate::context::RunContext;
use crate::event_log::LoggedEvent;
use crate::judge::Verdict;
use crate::proxy_process::ResourceUsage;
use std::sync::Arc;
use std::time::Duration;

/// The outcome of a run that was carried out, whether or not the rules held.
#[derive(Debug)]
pub struct RunOutcome {
    /// The scenario, the plan, and the service score of the clients.
    pub context: Arc<RunContext>,
    /// The event log.
    pub events: Vec<LoggedEvent>,
    /// The judge's verdict over the event log.
    pub verdict: Verdict,
    /// The greatest lateness of the testbed itself.
    pub testbed_lateness: Duration,
    /// Whether the lateness exceeds what the scenario allows; the results are then invalid.
    pub is_void: bool,
    /// The resource usage of each proxy, about once a second.
    pub proxy_usage: Vec<Vec<ResourceUsage>>,
    /// Rows of the hosts' loads, one a second, in each a value for each host, as a multiple of its capacity.
    pub host_loads: Vec<Vec<f32>>,
    /// The duration of the roll or its error; `None` if the scenario has no roll.
    pub roll_result: Option<Result<Duration, RollError>>,
}
