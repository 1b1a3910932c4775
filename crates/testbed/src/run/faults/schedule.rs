//! When faults begin and end.

use super::{discovery_and_clients, hosts, proxies, zones};
use crate::event_log::Event;
use crate::plan::PlannedFault;
use crate::proxy_process::ProxyCommand;
use crate::testbed::Testbed;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tracing::info;

/// A fault begins or ends. Steps at the same time go in the order of the faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct FaultStep {
    at: Duration,
    /// The fault's number in the plan.
    fault: usize,
    begins: bool,
}

/// Begins and ends each fault at its time.
pub(in crate::run) async fn play_faults(
    testbed: Arc<Testbed>,
    commands: Vec<mpsc::Sender<ProxyCommand>>,
) {
    for step in steps(&testbed.context.plan.faults) {
        testbed.context.sleep_until(step.at).await;
        play_step(&testbed, &commands, step).await;
    }
    std::future::pending::<()>().await;
}

fn steps(faults: &[PlannedFault]) -> Vec<FaultStep> {
    let mut steps = Vec::new();
    for (number, fault) in faults.iter().enumerate() {
        let step = |at, begins| FaultStep {
            at,
            fault: number,
            begins,
        };
        steps.push(step(fault.at, true));
        steps.extend(fault.until.map(|until| step(until, false)));
    }
    steps.sort_unstable();
    steps
}

async fn play_step(
    testbed: &Arc<Testbed>,
    commands: &[mpsc::Sender<ProxyCommand>],
    step: FaultStep,
) {
    let FaultStep { fault, begins, .. } = step;
    let planned = &testbed.context.plan.faults[fault];
    let what = format!("{:?} on {:?}", planned.kind, planned.targets);
    info!(fault = %what, begins);
    testbed
        .context
        .event_log
        .record(Event::Fault { what, begins });
    if planned.kind.targets_hosts() {
        for host in &planned.targets {
            hosts::apply(testbed, &testbed.hosts[usize::from(*host)], fault, begins);
        }
    }
    zones::apply(testbed, commands, fault, begins).await;
    if planned.kind.targets_proxies() {
        proxies::apply(commands, planned, begins).await;
    }
    discovery_and_clients::apply(testbed, planned, begins);
}
