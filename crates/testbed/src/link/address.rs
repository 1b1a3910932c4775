//! The addresses of relays, by which a host recognizes a connection that came through one.

use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU8, Ordering};

/// The /16 network of all relays. A host that accepts a connection from there knows that a link, with its delays, lies
/// between it and the dialling side.
const RELAY_NETWORK: [u8; 2] = [127, 40];
/// The last two octets of the address from which relays dial. Third octets below [`FIRST_RUN`] belong to no run.
const DIALLING_ADDRESS: [u8; 2] = [1, 1];
/// The third octet of the listening address of the first run's relays.
const FIRST_RUN: u8 = 2;
/// How many runs of one process have distinct addresses; later runs reuse those of the first.
const RUNS_WITH_OWN_ADDRESS: u8 = 250;

/// Whether a connection from this peer address came through a relay.
pub fn is_relay_address(peer: SocketAddr) -> bool {
    matches!(peer.ip(), IpAddr::V4(ip) if ip.octets()[..2] == RELAY_NETWORK)
}

/// The address at which the relays of the next run listen, with any free port. Parallel runs have distinct addresses,
/// so that a proxy of one run cannot reach a port that another has released.
pub(super) fn next_listen_address() -> SocketAddr {
    static RUNS: AtomicU8 = AtomicU8::new(0);
    let run = FIRST_RUN + RUNS.fetch_add(1, Ordering::Relaxed) % RUNS_WITH_OWN_ADDRESS;
    SocketAddr::from(([RELAY_NETWORK[0], RELAY_NETWORK[1], run, 1], 0))
}

/// The address from which relays dial, with any free port.
pub(super) fn dial_address() -> SocketAddr {
    let [third, fourth] = DIALLING_ADDRESS;
    SocketAddr::from(([RELAY_NETWORK[0], RELAY_NETWORK[1], third, fourth], 0))
}
