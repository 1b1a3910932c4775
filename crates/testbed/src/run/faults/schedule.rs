//! Begins and ends the plan's faults at their times.

use super::{discovery_and_clients, hosts, proxies, zones};
use crate::event_log::Event;
use crate::plan::PlannedFault;
use crate::proxy_process::ProxyCommand;
use crate::testbed::Testbed;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tracing::info;

/// The begin or the end of a fault. Transitions at the same time are ordered by the faults' numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct FaultTransition {
    at: Duration,
    /// The fault's number in the plan.
    fault: usize,
    /// Whether the fault begins, or else ends.
    begins: bool,
}

/// Begins and ends each fault at its time; never returns, and keeps the proxies' command senders until it is aborted.
pub(in crate::run) async fn play_faults(
    testbed: Arc<Testbed>,
    commands: Vec<mpsc::Sender<ProxyCommand>>,
) {
    for transition in transitions(&testbed.context.plan.faults) {
        testbed.context.sleep_until(transition.at).await;
        apply_transition(&testbed, &commands, transition).await;
    }
    std::future::pending::<()>().await;
}

fn transitions(faults: &[PlannedFault]) -> Vec<FaultTransition> {
    let mut transitions = Vec::new();
    for (number, fault) in faults.iter().enumerate() {
        let transition = |at, begins| FaultTransition {
            at,
            fault: number,
            begins,
        };
        transitions.push(transition(fault.at, true));
        transitions.extend(fault.until.map(|until| transition(until, false)));
    }
    transitions.sort_unstable();
    transitions
}

async fn apply_transition(
    testbed: &Arc<Testbed>,
    commands: &[mpsc::Sender<ProxyCommand>],
    transition: FaultTransition,
) {
    let FaultTransition { fault, begins, .. } = transition;
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
