//! Which connections of a run go through stand-ins for the network, so that faults can strike them.

use crate::link_ends::LinkEnds;
use crate::plan::Plan;
use crate::proxy_process::ProxyAddress;
use crate::scenario::{LinkKind, Scenario};
use crate::sockets::BoundListener;
use std::net::SocketAddr;

/// The links that the plan's faults strike, and what each leads to.
pub(super) fn linked_pairs(
    scenario: &Scenario,
    plan: &Plan,
    hosts: &[BoundListener],
    proxies: &[ProxyAddress],
) -> Vec<(LinkEnds, SocketAddr)> {
    let zones = scenario.zones.len() as u8;
    let mut pairs = Vec::new();
    for (proxy, address) in (0..).zip(proxies) {
        if plan.needs_relays(LinkKind::ProxyHost) {
            let to_hosts = (0..).zip(hosts);
            pairs.extend(
                to_hosts.map(|(host, bound)| (LinkEnds::Proxy(proxy, host), bound.address)),
            );
        }
        if plan.needs_relays(LinkKind::ClientProxy) {
            let from_zones = (0..zones).map(|zone| LinkEnds::Clients(zone, proxy));
            pairs.extend(from_zones.map(|ends| (ends, address.listen)));
        }
    }
    pairs
}
