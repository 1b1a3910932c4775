//! Loopback addresses for listeners, each given to one listener only.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};

/// Lowest port that is given out.
const FIRST_PORT: u32 = 20_000;
/// Number of ports that are given out. They stay below 32,768, where the ephemeral ports of Linux begin.
const PORT_COUNT: u32 = 10_000;

/// An address to listen on. The IP address follows from `listener_number`; the port differs from call to call.
///
/// The port isn't found by binding and closing a socket: a process that another test forks meanwhile holds that socket
/// until its `exec`, and the proxy would find its address in use.
pub(crate) fn free_address(listener_number: u32) -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let port_offset = NEXT
        .fetch_add(1, Ordering::Relaxed)
        .wrapping_add(std::process::id());
    let ip = [
        127,
        (listener_number / 60_000) as u8,
        (1 + listener_number / 250 % 240) as u8,
        (1 + listener_number % 250) as u8,
    ];
    SocketAddr::from((ip, (FIRST_PORT + port_offset % PORT_COUNT) as u16))
}
