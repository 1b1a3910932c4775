//! The addresses of a run's proxies: each one's listener for clients, its admin HTTP address for operators and other
//! proxies, and its admin socket.

use crate::scenario::Scenario;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU8, AtomicU32, Ordering};

/// Port of the admin HTTP address that the other proxies query; outside the range of [`unused_port`].
const PEER_PORT: u16 = 9_000;
/// First port of the range of [`unused_port`], which is below Linux's default range of ephemeral ports.
const FIRST_PORT: u32 = 20_000;
/// Number of ports in the range of [`unused_port`]; they repeat after that.
const PORT_COUNT: u32 = 10_000;
/// Second byte of the IP addresses of this process's first run.
const FIRST_RUN_BYTE: u8 = 60;
/// Runs of this process after which the second byte of the IP addresses repeats; the most concurrent runs.
const RUN_BYTES: u8 = 120;
/// Addresses used of each block of 256, that is, with the same third byte.
const ADDRESSES_PER_BLOCK: u32 = 250;
/// Bit of the third byte by which the IP address of a proxy's admin HTTP server differs from that of its listener.
const OPERATOR_BIT: u8 = 0x80;

/// A proxy's zone, and its address for clients.
#[derive(Clone, Copy, Debug)]
pub struct ProxyAddress {
    /// The number of its zone in the scenario.
    pub zone: u8,
    /// The address at which it listens for clients.
    pub listen: SocketAddr,
}

/// An address for each proxy of a scenario; each has its own IP address, which no other run of this process uses.
pub fn addresses(scenario: &Scenario) -> Vec<ProxyAddress> {
    static RUNS: AtomicU8 = AtomicU8::new(0);
    // Tests play several runs at once, so each gets addresses of its own.
    let run_byte = FIRST_RUN_BYTE + RUNS.fetch_add(1, Ordering::Relaxed) % RUN_BYTES;
    let zones = scenario.zones.len();
    let address = |number: u32| {
        let (block, host) = (number / ADDRESSES_PER_BLOCK, number % ADDRESSES_PER_BLOCK);
        let ip = [127, run_byte, block as u8, 1 + host as u8];
        ProxyAddress {
            zone: (number as usize % zones) as u8,
            listen: SocketAddr::from((ip, unused_port())),
        }
    };
    (0..scenario.proxies.count).map(address).collect()
}

/// The path of a proxy's admin socket. It is in the system's temporary folder rather than the run's output folder, as the
/// path of a socket is limited to about a hundred bytes.
pub(crate) fn admin_socket(run: u32, proxy: u16) -> PathBuf {
    std::env::temp_dir().join(format!(
        "asterramp-rig-{}-{run}-{proxy}.sock",
        std::process::id()
    ))
}

/// The path of the file whose presence requests a restart of a proxy; the restart command of a roll creates it.
pub(super) fn restart_request_path(admin_socket: &Path) -> PathBuf {
    admin_socket.with_extension("restart")
}

/// An admin HTTP address for a process of a proxy, with another port for each process.
pub(super) fn new_operator_address(listen: SocketAddr) -> SocketAddr {
    SocketAddr::new(operator_ip(listen), unused_port())
}

/// The admin HTTP address of a proxy that the other proxies know in advance; operators use it too.
pub(super) fn peer_address(listen: SocketAddr) -> SocketAddr {
    SocketAddr::new(operator_ip(listen), PEER_PORT)
}

/// The IP address of a proxy's admin HTTP server. Nothing else uses it, so no port of it is taken between choice and use.
fn operator_ip(listen: SocketAddr) -> IpAddr {
    match listen.ip() {
        IpAddr::V4(ip) => {
            let [a, b, c, d] = ip.octets();
            IpAddr::from([a, b, c ^ OPERATOR_BIT, d])
        }
        other => other,
    }
}

/// A port below Linux's ephemeral range, another one at each call.
///
/// It is not found by binding and closing a socket: a process that is forked in between would hold that socket until its
/// `exec`, and the proxy would find the address in use.
fn unused_port() -> u16 {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let sequence = NEXT
        .fetch_add(1, Ordering::Relaxed)
        .wrapping_add(std::process::id());
    (FIRST_PORT + sequence % PORT_COUNT) as u16
}
