//! The steps of a run from start to verdict.

use super::capacity::check_capacity;
use super::clients::run_clients;
use super::error::RunError;
use super::faults::play_faults;
use super::observers::{LoadSamples, measure_lateness, sample_loads, show_progress};
use super::operators::{start_metrics_callers, start_status_pollers};
use super::options::RunOptions;
use super::outcome::RunOutcome;
use super::roll::{RollError, roll};
use super::set_up;
use crate::judge::{JudgeSettings, judge};
use crate::plan::Plan;
use crate::scenario::Scenario;
use std::time::Duration;
use tokio::task::JoinHandle;

/// Runs a scenario once and judges it.
///
/// # Errors
///
/// Those of [`RunError`]; broken rules are no error but part of the outcome's verdict.
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
    let roll_task = context.scenario.proxies.roll_at.map(|at| {
        let program = options.program.clone();
        tokio::spawn(roll(context.clone(), program, at))
    });
    run_clients(&testbed).await;
    let roll_result = match roll_task {
        Some(roll_task) => Some(await_roll(roll_task).await),
        None => None,
    };
    metrics_callers.shutdown().await;
    abort(background).await;
    let proxy_usage = proxies.shut_down().await?;
    let lateness = context.lateness();
    let events = context.event_log.take();
    let settings = JudgeSettings::new(&context.scenario, &context.plan, lateness);
    Ok(RunOutcome {
        verdict: judge(&events, &settings),
        is_void: lateness > context.scenario.platform.max_lateness,
        host_loads: loads.take(),
        context,
        events,
        testbed_lateness: lateness,
        proxy_usage,
        roll_result,
    })
}

async fn await_roll(
    roll_task: JoinHandle<Result<Duration, RollError>>,
) -> Result<Duration, RollError> {
    let result = roll_task.await;
    result.unwrap_or_else(|error| Err(RollError::Task(error.to_string())))
}

/// Aborts tasks that never return, and waits until they have dropped their clones of the proxies' command senders.
async fn abort(tasks: [JoinHandle<()>; 3]) {
    tasks.iter().for_each(JoinHandle::abort);
    for task in tasks {
        let _ = task.await;
    }
}
