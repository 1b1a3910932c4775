//! Faults of whole zones, and of everything.

use super::{hosts, links};
use crate::event_log::HostState;
use crate::plan::PlannedFault;
use crate::proxy_process::ProxyCommand;
use crate::run::zones::zone_of_proxy;
use crate::scenario::{FaultKind, RecoveredPart};
use crate::testbed::Testbed;
use std::sync::Arc;
use tokio::sync::mpsc;
use tokio::time::sleep;

/// Begins or ends a fault at whole zones, or at links.
pub(super) async fn apply(
    testbed: &Arc<Testbed>,
    commands: &[mpsc::Sender<ProxyCommand>],
    number: usize,
    begins: bool,
) {
    let fault = &testbed.context.plan.faults[number];
    let strikes_processes = matches!(
        fault.kind,
        FaultKind::PowerCut | FaultKind::PlaceLost | FaultKind::PlaceSilent
    );
    if strikes_processes {
        apply_to_hosts(testbed, number, begins);
        apply_to_proxies(testbed, commands, fault, begins).await;
    }
    if fault.kind == FaultKind::PlaceLost && begins {
        tokio::spawn(report_gone(testbed.clone(), number));
    }
    if fault.kind == FaultKind::PlaceFlaps && begins {
        tokio::spawn(flap(testbed.clone(), number));
    } else {
        links::apply(testbed, number, begins);
    }
}

/// Whether a fault strikes a zone.
fn strikes(fault: &PlannedFault, zone: u8) -> bool {
    let strikes_zone = fault.kind.targets_zones() && fault.targets.contains(&u16::from(zone));
    fault.kind == FaultKind::PowerCut || strikes_zone
}

/// Whether these processes follow the fault: all do when it begins, and those that come back when it ends.
fn follows(fault: &PlannedFault, begins: bool, part: RecoveredPart) -> bool {
    begins || fault.recovered_part == RecoveredPart::All || fault.recovered_part == part
}

fn apply_to_hosts(testbed: &Arc<Testbed>, number: usize, begins: bool) {
    let plan = &testbed.context.plan;
    let fault = &plan.faults[number];
    if !follows(fault, begins, RecoveredPart::Hosts) {
        return;
    }
    for (host, planned) in testbed.hosts.iter().zip(&plan.hosts) {
        if strikes(fault, planned.zone) {
            hosts::apply(testbed, host, number, begins);
        }
    }
}

async fn apply_to_proxies(
    testbed: &Testbed,
    commands: &[mpsc::Sender<ProxyCommand>],
    fault: &PlannedFault,
    begins: bool,
) {
    if !follows(fault, begins, RecoveredPart::Proxies) {
        return;
    }
    let falls_silent = fault.kind == FaultKind::PlaceSilent;
    let command = match (falls_silent, begins) {
        (false, true) => ProxyCommand::Kill,
        (false, false) => ProxyCommand::Start,
        (true, true) => ProxyCommand::Suspend,
        (true, false) => ProxyCommand::Resume,
    };
    for (proxy, sender) in (0..).zip(commands) {
        if strikes(fault, zone_of_proxy(&testbed.context, proxy)) {
            let _ = sender.send(command).await;
        }
    }
}

/// Discovery notices after a while that the hosts of a lost zone are gone.
async fn report_gone(testbed: Arc<Testbed>, number: usize) {
    let plan = &testbed.context.plan;
    let fault = &plan.faults[number];
    testbed.context.sleep_until(fault.at + fault.span).await;
    for (host, planned) in testbed.hosts.iter().zip(&plan.hosts) {
        if fault.targets.contains(&u16::from(planned.zone)) && host.is_down() {
            let registry = &testbed.discovery;
            registry.set_state(host.number, HostState::Gone, None);
        }
    }
}

/// A zone that comes and goes until the fault is over.
async fn flap(testbed: Arc<Testbed>, number: usize) {
    let fault = &testbed.context.plan.faults[number];
    let until = fault.until.unwrap_or(testbed.context.scenario.length);
    while testbed.context.now() < until {
        links::apply(&testbed, number, true);
        sleep(fault.span).await;
        links::apply(&testbed, number, false);
        sleep(fault.span).await;
    }
}
