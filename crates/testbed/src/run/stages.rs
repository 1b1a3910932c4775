//! A run from beginning to end.

use super::capacity::check_capacity;
use super::error::RunError;
use super::faults::play_faults;
use super::observers::{LoadSamples, measure_lateness, sample_loads, show_progress};
use super::operators::{start_metrics_callers, start_status_pollers};
use super::options::RunOptions;
use super::outcome::RunOutcome;
use super::roll::{RollError, roll};
use super::{clients, set_up};
use crate::judge::{JudgeSettings, judge};
use crate::plan::Plan;
use crate::scenario::Scenario;
use std::time::Duration;
use tokio::task::JoinHandle;

/// Plays a scenario once.
pub async fn run(scenario: Scenario, options: &RunOptions) -> Result<RunOutcome, RunError> {
    let plan = Plan::new(&scenario, options.seed, options.chaos);
    check_capacity(&scenario, &plan)?;
    let (testbed, proxies) = set_up::start(scenario, plan, options).await?;
    let context = testbed.context.clone();
    let loads = LoadSamples::default();
    let background = [
        tokio::spawn(measure_lateness(testbed.clone())),
        tokio::spawn(sample_loads(testbed.clone(), loads.clone())),
        tokio::spawn(play_faults(testbed.clone(), proxies.commands.clone())),
    ];
    let mut metrics_callers = start_metrics_callers(&context, &proxies.operator_addresses);
    start_status_pollers(&context);
    context.start_plan();
    if options.progress {
        tokio::spawn(show_progress(testbed.clone()));
    }
    let rolling = context.scenario.proxies.roll_at.map(|at| {
        let program = options.program.clone();
        tokio::spawn(roll(context.clone(), program, at))
    });
    clients::play(&testbed).await;
    let rolled = match rolling {
        Some(rolling) => Some(roll_result(rolling).await),
        None => None,
    };
    metrics_callers.shutdown().await;
    stop(background).await;
    let used = proxies.shut_down().await?;
    let late = context.lateness();
    let records = context.event_log.take();
    let settings = JudgeSettings::new(&context.scenario, &context.plan, late);
    Ok(RunOutcome {
        verdict: judge(&records, &settings),
        is_void: late > context.scenario.platform.max_lateness,
        host_loads: loads.take(),
        context,
        events: records,
        testbed_lateness: late,
        proxy_usage: used,
        roll_result: rolled,
    })
}

async fn roll_result(
    rolling: JoinHandle<Result<Duration, RollError>>,
) -> Result<Duration, RollError> {
    let result = rolling.await;
    result.unwrap_or_else(|error| Err(RollError::Task(error.to_string())))
}

/// Ends tasks that would go on for ever, with the proxies' command senders that they have.
async fn stop(tasks: [JoinHandle<()>; 3]) {
    tasks.iter().for_each(JoinHandle::abort);
    for task in tasks {
        let _ = task.await;
    }
}
