//! Socket operations that several actors need: listen again at a former address, drop connection attempts, detect the
//! peer's end without reading, and reset.

use rustix::event::{PollFd, PollFlags, Timespec};
use rustix::fd::AsFd;
use rustix::net::sockopt;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::timeout;

/// How many connections may wait to be accepted: the kernel's usual limit for a listening socket.
const LISTEN_BACKLOG: u16 = 1024;

/// A listener with its actual address.
#[derive(Debug)]
pub struct BoundListener {
    /// The address, with the port that was assigned.
    pub address: SocketAddr,
    /// The listening socket.
    pub listener: TcpListener,
}

impl BoundListener {
    /// Listens at an address; port 0 stands for any free port.
    pub async fn bind(address: SocketAddr) -> std::io::Result<BoundListener> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        Ok(BoundListener { address, listener })
    }
}

/// Listens again at an address whose listener was closed; `None` while the address cannot be bound.
pub(crate) fn listen_again(address: SocketAddr) -> Option<TcpListener> {
    let socket = TcpSocket::new_v4().ok()?;
    socket.set_reuseaddr(true).ok()?;
    socket.bind(address).ok()?;
    socket.listen(u32::from(LISTEN_BACKLOG)).ok()
}

/// Makes the kernel drop all further connection attempts, as if the machine were cut off: the listener's queue is
/// shortened to a single slot, which is then filled by two connection attempts of at most `attempt_timeout` each. The
/// caller must keep the result until [`accept_new_connections`].
pub(crate) async fn drop_new_connections(
    listener: &TcpListener,
    address: SocketAddr,
    attempt_timeout: Duration,
) -> BacklogFillingConnections {
    let _ = rustix::net::listen(listener, 0);
    let connect = || timeout(attempt_timeout, TcpStream::connect(address));
    let (first, second) = (connect().await, connect().await);
    BacklogFillingConnections {
        _connections: [first, second].map(|attempt| attempt.ok().and_then(Result::ok)),
    }
}

/// The connections that keep a listener's queue full until this value is dropped.
#[derive(Debug)]
pub(crate) struct BacklogFillingConnections {
    _connections: [Option<TcpStream>; 2],
}

/// Ends the effect of [`drop_new_connections`] by restoring the length of the queue.
pub(crate) fn accept_new_connections(listener: &TcpListener) {
    let _ = rustix::net::listen(listener, i32::from(LISTEN_BACKLOG));
}

/// Whether the peer has closed or reset a connection, as the kernel knows without a read.
pub(crate) fn peer_has_ended(connection: impl AsFd) -> bool {
    let mut polled = [PollFd::new(&connection, PollFlags::RDHUP)];
    let result = rustix::event::poll(&mut polled, Some(&Timespec::default()));
    result.is_ok() && !polled[0].revents().is_empty()
}

/// Ends a connection with a reset (RST).
pub(crate) fn reset(write_half: OwnedWriteHalf) {
    let _ = sockopt::set_socket_linger(write_half.as_ref(), Some(Duration::ZERO));
    // Dropping the half would first shut the sending side down with a FIN.
    write_half.forget();
}
