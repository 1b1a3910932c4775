//! Faults of links between processes, and of the border of a zone.

use crate::event_log::Event;
use crate::link::LinkFaults;
use crate::run::zones::{zone_of_proxy, zones_of_ends};
use crate::scenario::FaultKind;
use crate::testbed::Testbed;

/// Begins or ends a fault at the links that it strikes, and at the discovery agents that hear nothing beyond a border.
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
        cut_agents_off(testbed, &fault.targets, begins);
    }
}

/// Counts one fault more or less that cuts the agents of these zones off.
fn cut_agents_off(testbed: &Testbed, zones: &[u16], begins: bool) {
    testbed.discovery.cut_off_agents.send_modify(|faults| {
        for (proxy, faults) in (0..).zip(faults) {
            let zone = zone_of_proxy(&testbed.context, proxy);
            if zones.contains(&u16::from(zone)) {
                *faults = if begins {
                    *faults + 1
                } else {
                    faults.saturating_sub(1)
                };
            }
        }
    });
}
