//! Faults of discovery, and faults that affect a share of all clients.

use crate::context::ClientSignal;
use crate::misbehaving_clients;
use crate::plan::PlannedFault;
use crate::scenario::FaultKind;
use crate::testbed::Testbed;

/// Begins or ends a fault of discovery or of clients; does nothing for other kinds, and at the end of a fault of clients.
pub(super) fn apply(testbed: &Testbed, fault: &PlannedFault, begins: bool) {
    let context = &testbed.context;
    let signals = &context.client_signals;
    let signal = ClientSignal {
        share: fault.magnitude,
        span: fault.span,
    };
    match fault.kind {
        FaultKind::ClientsReconnect if begins => {
            signals.reconnect.send_replace(signal);
        }
        FaultKind::ClientsDeaf if begins => {
            signals.stop_reading.send_replace(signal);
        }
        FaultKind::ClientsBad if begins => {
            misbehaving_clients::start(context, &testbed.front, fault.magnitude as u32);
        }
        kind => apply_to_discovery(testbed, kind, begins),
    }
}

/// Adds or removes one active fault of discovery: faults of a kind may overlap, and last until the last of them ends.
fn apply_to_discovery(testbed: &Testbed, kind: FaultKind, begins: bool) {
    let adjust = |count: &mut u32| {
        *count = if begins {
            *count + 1
        } else {
            count.saturating_sub(1)
        }
    };
    let faults = &testbed.discovery.faults;
    match kind {
        FaultKind::DiscoverySilent | FaultKind::PowerCut => {
            faults.send_modify(|faults| adjust(&mut faults.silent));
        }
        FaultKind::DiscoveryRefuses => faults.send_modify(|faults| adjust(&mut faults.refuses)),
        FaultKind::DiscoveryOlder => {
            faults.send_modify(|faults| adjust(&mut faults.sends_outdated_list))
        }
        FaultKind::DiscoveryBabbles => {
            faults.send_modify(|faults| adjust(&mut faults.sends_garbage))
        }
        _ => {}
    }
}
