//! Faults of individual hosts.

use crate::event_log::HostState;
use crate::host::Host;
use crate::scenario::FaultKind;
use crate::testbed::Testbed;
use std::sync::Arc;
use tokio::time::sleep;

/// Begins or ends a fault at a host.
pub(super) fn apply(testbed: &Arc<Testbed>, host: &Arc<Host>, fault: usize, begins: bool) {
    host.apply_fault(fault, begins);
    let kind = testbed.context.plan.faults[fault].kind;
    if kind == FaultKind::HostStarved && begins {
        tokio::spawn(toggle_speed_limit(testbed.clone(), host.clone(), fault));
    }
    if kind == FaultKind::HostGone && begins {
        let registry = &testbed.discovery;
        registry.set_state(host.number, HostState::Gone, None);
    }
}

/// Slows a host down to the fault's magnitude for half of each of its spans, until the fault ends.
async fn toggle_speed_limit(testbed: Arc<Testbed>, host: Arc<Host>, fault: usize) {
    let fault = &testbed.context.plan.faults[fault];
    let until = fault.until.unwrap_or(testbed.context.scenario.length);
    while testbed.context.now() < until {
        host.limit_speed(Some(fault.magnitude));
        sleep(fault.span / 2).await;
        host.limit_speed(None);
        sleep(fault.span / 2).await;
    }
}
