//! The zones of a run's processes.

use crate::context::RunContext;
use crate::link_ends::LinkEnds;

/// The zone of a proxy: proxies are assigned to the zones round-robin by their numbers.
pub(super) fn zone_of_proxy(context: &RunContext, proxy: u16) -> u8 {
    (usize::from(proxy) % context.scenario.zones.len()) as u8
}

/// The zones of a link's two ends.
pub(super) fn zones_of_ends(context: &RunContext, ends: LinkEnds) -> (u8, u8) {
    match ends {
        LinkEnds::Proxy(proxy, host) => {
            let host_zone = context.plan.hosts[usize::from(host)].zone;
            (zone_of_proxy(context, proxy), host_zone)
        }
        LinkEnds::Clients(zone, proxy) => (zone, zone_of_proxy(context, proxy)),
    }
}
