//! The calls on sockets.

use rustix::fd::{AsFd, OwnedFd};
use rustix::io::{Errno, Result};
use rustix::net::SocketAddrUnix;
pub use rustix::net::SocketType;
use rustix::net::{self, AddressFamily, Shutdown, SocketFlags, sockopt};
use std::io;
use std::net::SocketAddr;
use std::os::unix::fs::{FileTypeExt, PermissionsExt};
use std::path::Path;
use std::time::Duration;

pub const SOCKET_FLAGS: SocketFlags = SocketFlags::NONBLOCK.union(SocketFlags::CLOEXEC);
/// Connections that may wait at a door.
pub const LISTEN_BACKLOG: i32 = 1024;

fn open(to: SocketAddr) -> Result<OwnedFd> {
    let family = if to.is_ipv4() {
        AddressFamily::INET
    } else {
        AddressFamily::INET6
    };
    net::socket_with(family, SocketType::STREAM, SOCKET_FLAGS, None)
}

/// Listens; `shared` with others of this user that do so too.
pub fn listen(at: SocketAddr, shared: bool) -> Result<OwnedFd> {
    let fd = open(at)?;
    sockopt::set_socket_reuseaddr(&fd, true)?;
    sockopt::set_socket_reuseport(&fd, shared)?;
    net::bind(&fd, &at)?;
    net::listen(&fd, LISTEN_BACKLOG)?;
    Ok(fd)
}

/// A connection that waits, if any does.
pub fn accept(door: impl AsFd) -> Result<Option<OwnedFd>> {
    match net::accept_with(door, SOCKET_FLAGS) {
        Ok(fd) => {
            // It fails only where the connection is gone already, which reading shows.
            let _ = sockopt::set_tcp_nodelay(&fd, true);
            Ok(Some(fd))
        }
        // One that broke while it waited is nobody's trouble.
        Err(Errno::AGAIN | Errno::CONNABORTED | Errno::INTR) => Ok(None),
        Err(e) => Err(e),
    }
}

/// Whether it takes connections in.
pub fn is_listening(fd: impl AsFd) -> bool {
    sockopt::socket_acceptconn(fd).unwrap_or(false)
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
pub fn take_error(fd: impl AsFd) -> Result<()> {
    sockopt::socket_error(fd)?
}

pub fn shutdown_write(fd: impl AsFd) {
    // It fails only where the connection is gone already.
    let _ = net::shutdown(fd, Shutdown::Write);
}

/// Closes with a reset.
pub fn close_with_reset(fd: OwnedFd) {
    let _ = sockopt::set_socket_linger(&fd, Some(Duration::ZERO));
}

/// Listens at a path, for this user alone. A file that nobody listens at any more is taken over; one that somebody
/// listens at, or that is no socket, is left alone.
pub fn listen_unix(at: &Path, kind: SocketType) -> io::Result<OwnedFd> {
    let address = SocketAddrUnix::new(at)?;
    let fd = net::socket_with(AddressFamily::UNIX, kind, SOCKET_FLAGS, None)?;
    if let Ok(found) = std::fs::symlink_metadata(at) {
        if !found.file_type().is_socket() {
            return Err(io::Error::new(
                io::ErrorKind::AlreadyExists,
                "there is a file that is no socket",
            ));
        }
        let asks = net::socket_with(AddressFamily::UNIX, kind, SOCKET_FLAGS, None)?;
        match net::connect(&asks, &address) {
            Err(Errno::CONNREFUSED) => std::fs::remove_file(at)?,
            _ => {
                return Err(io::Error::new(
                    io::ErrorKind::AddrInUse,
                    "somebody listens there",
                ));
            }
        }
    }
    net::bind(&fd, &address)?;
    // Nobody can connect before it listens.
    std::fs::set_permissions(at, std::fs::Permissions::from_mode(0o600))?;
    net::listen(&fd, 32)?;
    Ok(fd)
}

pub fn accept_unix(door: impl AsFd) -> Result<Option<OwnedFd>> {
    match net::accept_with(door, SOCKET_FLAGS) {
        Ok(fd) => Ok(Some(fd)),
        Err(Errno::AGAIN | Errno::CONNABORTED | Errno::INTR) => Ok(None),
        Err(e) => Err(e),
    }
}

/// Whether the other end is a process of this user, or of the machine's.
pub fn peer_is_same_user(fd: impl AsFd) -> bool {
    let own = rustix::process::geteuid();
    sockopt::socket_peercred(fd).is_ok_and(|peer| peer.uid == own || peer.uid.is_root())
}
