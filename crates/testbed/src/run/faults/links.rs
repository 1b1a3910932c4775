//! Faults of links between processes, and of all traffic across the border of a zone.

use crate::event_log::Event;
use crate::link::LinkFaults;
use crate::run::zones::{zone_of_proxy, zones_of_ends};
use crate::scenario::FaultKind;
use crate::testbed::Testbed;

/// Begins or ends a fault at the links that it affects; a cut zone also cuts its proxies' discovery agents off.
pub(super) fn apply(testbed: &Testbed, number: usize, begins: bool) {
    let context = &testbed.context;
    let fault = &context.plan.faults[number];
    let effect = LinkFaults::of_kind(fault.kind, fault.magnitude, fault.span);
    for link in testbed.links.all() {
        if !fault.affects_link(link.ends, |ends| zones_of_ends(context, ends)) {
            continue;
        }
        if begins {
            link.begin_fault(number, effect, fault.half_open);
        } else {
            link.end_fault(number);
        }
        context.event_log.record(Event::WayFails {
            ends: link.ends,
            fails: link.fails(),
        });
    }
    if matches!(fault.kind, FaultKind::PlaceCut | FaultKind::PlaceFlaps) {
        adjust_agent_cut_offs(testbed, &fault.targets, begins);
    }
}

/// Adds or removes one active fault that cuts off the discovery agents of the proxies in these zones; faults may overlap.
fn adjust_agent_cut_offs(testbed: &Testbed, zones: &[u16], begins: bool) {
    testbed
        .discovery
        .cut_off_agents
        .send_modify(|fault_counts| {
            for (proxy, count) in (0..).zip(fault_counts) {
                let zone = zone_of_proxy(&testbed.context, proxy);
                if zones.contains(&u16::from(zone)) {
                    *count = if begins {
                        *count + 1
                    } else {
                        count.saturating_sub(1)
                    };
                }
            }
        });
}
