//! The calls on sockets.

use rustix::fd::{AsFd, OwnedFd};
use rustix::io::{Errno, Result};
use rustix::net::{self, AddressFamily, Shutdown, SocketFlags, SocketType, sockopt};
use std::net::SocketAddr;
use std::time::Duration;

const FLAGS: SocketFlags = SocketFlags::NONBLOCK.union(SocketFlags::CLOEXEC);
const BACKLOG: i32 = 1024;

fn open(to: SocketAddr) -> Result<OwnedFd> {
    let family = if to.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    net::socket_with(family, SocketType::STREAM, FLAGS, None)
}

pub fn listen(at: SocketAddr) -> Result<OwnedFd> {
    let fd = open(at)?;
    sockopt::set_socket_reuseaddr(&fd, true)?;
    net::bind(&fd, &at)?;
    net::listen(&fd, BACKLOG)?;
    Ok(fd)
}

/// A connection that waits, if any does.
pub fn accept(door: impl AsFd) -> Result<Option<OwnedFd>> {
    match net::accept_with(door, FLAGS) {
        Ok(fd) => {
            sockopt::set_tcp_nodelay(&fd, true)?;
            Ok(Some(fd))
        }
        // One that broke while it waited is nobody's trouble.
        Err(Errno::AGAIN | Errno::CONNABORTED | Errno::INTR) => Ok(None),
        Err(e) => Err(e),
    }
}

/// Begins a connection; it is up, or has failed, when it can be written to.
pub fn connect(to: SocketAddr) -> Result<OwnedFd> {
    let fd = open(to)?;
    sockopt::set_tcp_nodelay(&fd, true)?;
    match net::connect(&fd, &to) {
        Ok(()) | Err(Errno::INPROGRESS | Errno::INTR) => Ok(fd),
        Err(e) => Err(e),
    }
}

/// Why a connection broke, if it did.
pub fn fault(fd: impl AsFd) -> Result<()> {
    sockopt::socket_error(fd)?
}

pub fn end_sending(fd: impl AsFd) {
    // It fails only where the connection is gone already.
    let _ = net::shutdown(fd, Shutdown::Write);
}

/// Closes with a reset.
pub fn reset(fd: OwnedFd) {
    let _ = sockopt::set_socket_linger(&fd, Some(Duration::ZERO));
}
