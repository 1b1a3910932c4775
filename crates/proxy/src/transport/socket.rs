//! The system calls on TCP and Unix stream sockets. Every socket is non-blocking and closed on exec.

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

/// Flags of every socket that the proxy opens or accepts.
pub(super) const SOCKET_FLAGS: SocketFlags = SocketFlags::NONBLOCK.union(SocketFlags::CLOEXEC);
/// Most connections that may wait to be accepted at a TCP listener.
pub const LISTEN_BACKLOG: i32 = 1024;
/// Most connections that may wait to be accepted at a Unix listener, to which only processes of this machine connect.
const UNIX_LISTEN_BACKLOG: i32 = 32;
/// File mode of a Unix listener's socket: read and write for its owner only.
const UNIX_SOCKET_MODE: u32 = 0o600;

fn open_tcp(address: SocketAddr) -> Result<OwnedFd> {
    let family = if address.is_ipv4() {
        AddressFamily::INET
    } else {
        AddressFamily::INET6
    };
    net::socket_with(family, SocketType::STREAM, SOCKET_FLAGS, None)
}

/// Listens on a TCP address; with `reuse_port`, other processes of this user may listen on it at the same time.
pub fn listen(address: SocketAddr, reuse_port: bool) -> Result<OwnedFd> {
    let fd = open_tcp(address)?;
    sockopt::set_socket_reuseaddr(&fd, true)?;
    sockopt::set_socket_reuseport(&fd, reuse_port)?;
    net::bind(&fd, &address)?;
    net::listen(&fd, LISTEN_BACKLOG)?;
    Ok(fd)
}

/// Accepts a pending connection at a TCP listener, if there is one, and sets `TCP_NODELAY`. Fails if the process has no
/// free file descriptor.
pub fn accept(listener: impl AsFd) -> Result<Option<OwnedFd>> {
    let accepted = accept_unix(listener)?;
    if let Some(fd) = &accepted {
        // This fails only if the connection is already closed, which the next read reports.
        let _ = sockopt::set_tcp_nodelay(fd, true);
    }
    Ok(accepted)
}

/// Whether the socket is a listener.
pub fn is_listening(fd: impl AsFd) -> bool {
    sockopt::socket_acceptconn(fd).unwrap_or(false)
}

/// Starts to connect. The connection is established, or has failed, once the socket becomes writable.
pub fn connect(address: SocketAddr) -> Result<OwnedFd> {
    let fd = open_tcp(address)?;
    sockopt::set_tcp_nodelay(&fd, true)?;
    match net::connect(&fd, &address) {
        Ok(()) | Err(Errno::INPROGRESS | Errno::INTR) => Ok(fd),
        Err(error) => Err(error),
    }
}

/// Reads and clears the socket's pending error (`SO_ERROR`), with which its connection failed.
pub fn take_error(fd: impl AsFd) -> Result<()> {
    sockopt::socket_error(fd)?
}

/// Closes the sending direction, so that the peer reads an end of file.
pub fn shutdown_write(fd: impl AsFd) {
    // This fails only if the connection is already closed.
    let _ = net::shutdown(fd, Shutdown::Write);
}

/// Closes a connection with a reset.
pub fn close_with_reset(fd: OwnedFd) {
    let _ = sockopt::set_socket_linger(&fd, Some(Duration::ZERO));
}

/// Listens on a path with a socket that only this user may connect to.
///
/// A socket file on which no process listens is replaced. Fails with `AddrInUse` if a process listens on it, and with
/// `AlreadyExists` if there is a file that is not a socket.
pub fn listen_unix(path: &Path, kind: SocketType) -> io::Result<OwnedFd> {
    let address = SocketAddrUnix::new(path)?;
    let fd = net::socket_with(AddressFamily::UNIX, kind, SOCKET_FLAGS, None)?;
    remove_abandoned_socket(path, &address, kind)?;
    net::bind(&fd, &address)?;
    // Connections are possible only after `listen`, so the permissions apply to every one.
    std::fs::set_permissions(path, std::fs::Permissions::from_mode(UNIX_SOCKET_MODE))?;
    net::listen(&fd, UNIX_LISTEN_BACKLOG)?;
    Ok(fd)
}

/// Removes a socket file on which no process listens, left by a process that did not clean up.
fn remove_abandoned_socket(
    path: &Path,
    address: &SocketAddrUnix,
    kind: SocketType,
) -> io::Result<()> {
    let Ok(metadata) = std::fs::symlink_metadata(path) else {
        return Ok(());
    };
    if !metadata.file_type().is_socket() {
        return Err(io::Error::new(
            io::ErrorKind::AlreadyExists,
            "there is a file that is no socket",
        ));
    }
    let probe = net::socket_with(AddressFamily::UNIX, kind, SOCKET_FLAGS, None)?;
    match net::connect(&probe, address) {
        Err(Errno::CONNREFUSED) => std::fs::remove_file(path),
        _ => Err(io::Error::new(
            io::ErrorKind::AddrInUse,
            "somebody listens there",
        )),
    }
}

/// Accepts a pending connection at a Unix listener, if there is one. Fails if the process has no free file descriptor.
pub fn accept_unix(listener: impl AsFd) -> Result<Option<OwnedFd>> {
    match net::accept_with(listener, SOCKET_FLAGS) {
        Ok(fd) => Ok(Some(fd)),
        // A connection that was aborted while it was pending needs no handling.
        Err(Errno::AGAIN | Errno::CONNABORTED | Errno::INTR) => Ok(None),
        Err(error) => Err(error),
    }
}

/// Whether the peer of a Unix socket is a process of this user or of root.
pub fn peer_is_same_user(fd: impl AsFd) -> bool {
    let own = rustix::process::geteuid();
    sockopt::socket_peercred(fd).is_ok_and(|peer| peer.uid == own || peer.uid.is_root())
}
