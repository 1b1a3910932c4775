//! Which network paths of a run lead through relays, so that the planned faults of links can affect them.

use crate::link_ends::LinkEnds;
use crate::plan::Plan;
use crate::proxy_process::ProxyAddress;
use crate::scenario::{LinkKind, Scenario};
use crate::sockets::BoundListener;
use std::net::SocketAddr;

/// The paths that need a relay according to the plan, each with the address to which its relay connects.
pub(super) fn relayed_paths(
    scenario: &Scenario,
    plan: &Plan,
    hosts: &[BoundListener],
    proxies: &[ProxyAddress],
) -> Vec<(LinkEnds, SocketAddr)> {
    let zones = scenario.zones.len() as u8;
    let mut paths = Vec::new();
    for (proxy, address) in (0..).zip(proxies) {
        if plan.needs_relays(LinkKind::ProxyHost) {
            let to_hosts = (0..).zip(hosts);
            paths.extend(
                to_hosts.map(|(host, bound)| (LinkEnds::Proxy(proxy, host), bound.address)),
            );
        }
        if plan.needs_relays(LinkKind::ClientProxy) {
            let from_zones = (0..zones).map(|zone| LinkEnds::Clients(zone, proxy));
            paths.extend(from_zones.map(|ends| (ends, address.listen)));
        }
    }
    paths
}
