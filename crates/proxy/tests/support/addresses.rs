//! Addresses that nothing else here listens on.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};

/// Where the ports begin. Those from 32,768 on are the ones that Linux hands out.
const FIRST_PORT: u32 = 20_000;
const PORTS: u32 = 10_000;

/// An address to listen on, with an IP of its own for each harness and a port that nothing else here is given.
///
/// The port isn't found by binding and closing a socket: a process that another test forks meanwhile holds that socket
/// until its `exec`, and the proxy would find its address in use. Ports from 20,000 on are below those that Linux hands out.
pub(crate) fn free_address(harness: u32) -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let nth = NEXT
        .fetch_add(1, Ordering::Relaxed)
        .wrapping_add(std::process::id());
    let ip = [
        127,
        (harness / 60_000) as u8,
        (1 + harness / 250 % 240) as u8,
        (1 + harness % 250) as u8,
    ];
    SocketAddr::from((ip, (FIRST_PORT + nth % PORTS) as u16))
}
