//! The addresses of relays, by which a peer knows a connection that came through one.

use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU8, Ordering};

/// The network of all relays: the peer of a connection from there knows that its clock and the dialler's are a link apart.
const NETWORK: [u8; 2] = [127, 40];
/// Where relays dial from. Networks below [`FIRST_RUN`] belong to no run.
const DIALLING_HOST: [u8; 2] = [1, 1];
/// The network of the first run, and how many runs of one process have their own.
const FIRST_RUN: u8 = 2;
const RUNS_APART: u8 = 250;

/// Whether a connection came through a relay.
pub fn is_relay_address(peer: SocketAddr) -> bool {
    matches!(peer.ip(), IpAddr::V4(ip) if ip.octets()[..2] == NETWORK)
}

/// Where the relays of another run listen, at any free port. Runs side by side have addresses apart: a proxy of one must
/// not reach a port that another has given up.
pub(super) fn next_listen_address() -> SocketAddr {
    static RUNS: AtomicU8 = AtomicU8::new(0);
    let run = FIRST_RUN + RUNS.fetch_add(1, Ordering::Relaxed) % RUNS_APART;
    SocketAddr::from(([NETWORK[0], NETWORK[1], run, 1], 0))
}

/// Where relays dial from, at any free port.
pub(super) fn dial_address() -> SocketAddr {
    let [third, fourth] = DIALLING_HOST;
    SocketAddr::from(([NETWORK[0], NETWORK[1], third, fourth], 0))
}
