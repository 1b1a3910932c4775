//! The addresses of a run's proxies: where each listens, where operators call it, and its admin socket.

use crate::scenario::Scenario;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU8, AtomicU32, Ordering};

/// Port at which the other proxies ask one; no other process listens there.
const PEER_PORT: u16 = 9_000;
/// The first of the ports that are given out, below those that Linux gives out itself.
const FIRST_PORT: u32 = 20_000;
/// How many ports are given out before the first again.
const PORTS: u32 = 10_000;
/// Second byte of the first run's addresses.
const FIRST_RUN: u8 = 60;
/// How many runs side by side have addresses apart.
const RUNS_APART: u8 = 120;
/// Addresses that are used of a block of 256.
const ADDRESSES_OF_A_BLOCK: u32 = 250;
/// Sets the operators' addresses apart from those of clients, in the third byte.
const OPERATOR_BIT: u8 = 0x80;

/// Where a proxy stands and listens.
#[derive(Clone, Copy, Debug)]
pub struct ProxyAddress {
    /// Its zone.
    pub zone: u8,
    /// Where it listens for clients.
    pub listen: SocketAddr,
}

/// An address for each proxy, with an IP of its own.
pub fn addresses(scenario: &Scenario) -> Vec<ProxyAddress> {
    static RUNS: AtomicU8 = AtomicU8::new(0);
    // Runs side by side have addresses apart.
    let run = FIRST_RUN + RUNS.fetch_add(1, Ordering::Relaxed) % RUNS_APART;
    let zones = scenario.zones.len();
    let address = |number: u32| {
        let (block, host) = (number / ADDRESSES_OF_A_BLOCK, number % ADDRESSES_OF_A_BLOCK);
        let ip = [127, run, block as u8, 1 + host as u8];
        ProxyAddress {
            zone: (number as usize % zones) as u8,
            listen: SocketAddr::from((ip, unused_port())),
        }
    };
    (0..scenario.proxies.count).map(address).collect()
}

/// Where a proxy's admin socket is: a socket's path may be no longer than some hundred bytes, so it stands in no folder of
/// the user's choice.
pub(crate) fn admin_socket(run: u32, proxy: u16) -> PathBuf {
    std::env::temp_dir().join(format!(
        "asterramp-rig-{}-{run}-{proxy}.sock",
        std::process::id()
    ))
}

/// The file by which a roll asks for a restart.
pub(super) fn restart_request(admin_socket: &Path) -> PathBuf {
    admin_socket.with_extension("restart")
}

/// Where operators call a process of a proxy; another address for each process.
pub(super) fn new_operator_address(listen: SocketAddr) -> SocketAddr {
    SocketAddr::new(operator_ip(listen), unused_port())
}

/// Where the other proxies ask one; the address that operators call too.
pub(super) fn peer_address(listen: SocketAddr) -> SocketAddr {
    SocketAddr::new(operator_ip(listen), PEER_PORT)
}

/// An address that nothing else has, so that no port is taken between its choice and its use.
fn operator_ip(listen: SocketAddr) -> IpAddr {
    match listen.ip() {
        IpAddr::V4(ip) => {
            let [a, b, c, d] = ip.octets();
            IpAddr::from([a, b, c ^ OPERATOR_BIT, d])
        }
        other => other,
    }
}

/// A port below those that Linux hands out, another one each time.
///
/// It isn't found by binding and closing a socket: a process that is forked meanwhile holds that socket until its `exec`,
/// and the proxy would find its address in use.
fn unused_port() -> u16 {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let nth = NEXT
        .fetch_add(1, Ordering::Relaxed)
        .wrapping_add(std::process::id());
    (FIRST_PORT + nth % PORTS) as u16
}
