//! Faults of whole zones, of all processes at once (a power cut), and of links.

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

/// Begins or ends a fault of zones, of all processes or of links; does nothing for other kinds.
pub(super) async fn apply(
    testbed: &Arc<Testbed>,
    commands: &[mpsc::Sender<ProxyCommand>],
    number: usize,
    begins: bool,
) {
    let fault = &testbed.context.plan.faults[number];
    let affects_processes = matches!(
        fault.kind,
        FaultKind::PowerCut | FaultKind::PlaceLost | FaultKind::PlaceSilent
    );
    if affects_processes {
        apply_to_hosts(testbed, number, begins);
        apply_to_proxies(testbed, commands, fault, begins).await;
    }
    if fault.kind == FaultKind::PlaceLost && begins {
        tokio::spawn(delist_hosts(testbed.clone(), number));
    }
    if fault.kind == FaultKind::PlaceFlaps && begins {
        tokio::spawn(flap_links(testbed.clone(), number));
    } else {
        links::apply(testbed, number, begins);
    }
}

/// Whether a fault affects the processes of a zone.
fn affects_zone(fault: &PlannedFault, zone: u8) -> bool {
    let is_target = fault.kind.targets_zones() && fault.targets.contains(&u16::from(zone));
    fault.kind == FaultKind::PowerCut || is_target
}

/// Whether the begin or end of a fault applies to these processes: the begin to all, the end to those that recover.
fn applies_to(fault: &PlannedFault, begins: bool, part: RecoveredPart) -> bool {
    begins || fault.recovered_part == RecoveredPart::All || fault.recovered_part == part
}

fn apply_to_hosts(testbed: &Arc<Testbed>, number: usize, begins: bool) {
    let plan = &testbed.context.plan;
    let fault = &plan.faults[number];
    if !applies_to(fault, begins, RecoveredPart::Hosts) {
        return;
    }
    for (host, planned) in testbed.hosts.iter().zip(&plan.hosts) {
        if affects_zone(fault, planned.zone) {
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
    if !applies_to(fault, begins, RecoveredPart::Proxies) {
        return;
    }
    let is_silent = fault.kind == FaultKind::PlaceSilent;
    let command = match (is_silent, begins) {
        (false, true) => ProxyCommand::Kill,
        (false, false) => ProxyCommand::Start,
        (true, true) => ProxyCommand::Suspend,
        (true, false) => ProxyCommand::Resume,
    };
    for (proxy, sender) in (0..).zip(commands) {
        if affects_zone(fault, zone_of_proxy(&testbed.context, proxy)) {
            let _ = sender.send(command).await;
        }
    }
}

/// Has discovery list the hosts of a lost zone as gone, a span of the fault after its begin, if they are still down.
async fn delist_hosts(testbed: Arc<Testbed>, number: usize) {
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

/// Cuts a zone off and reconnects it in turn, each for a span of the fault, until the fault ends.
async fn flap_links(testbed: Arc<Testbed>, number: usize) {
    let fault = &testbed.context.plan.faults[number];
    let until = fault.until.unwrap_or(testbed.context.scenario.length);
    while testbed.context.now() < until {
        links::apply(&testbed, number, true);
        sleep(fault.span).await;
        links::apply(&testbed, number, false);
        sleep(fault.span).await;
    }
}
