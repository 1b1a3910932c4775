//! What several actors do to their sockets: listen again at a former address, look for the peer's end, reset.

use rustix::event::{PollFd, PollFlags, Timespec};
use rustix::fd::AsFd;
use rustix::net::sockopt;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::timeout;

/// Connections that may wait to be accepted, as the kernel's usual limit for a listening socket.
const LISTEN_BACKLOG: u16 = 1024;

/// A listener with the address that it was given.
#[derive(Debug)]
pub struct BoundListener {
    /// Where it is reached.
    pub address: SocketAddr,
    /// The listening socket.
    pub listener: TcpListener,
}

impl BoundListener {
    /// Listens at an address; at any free port, if its port is 0.
    pub async fn bind(address: SocketAddr) -> std::io::Result<BoundListener> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        Ok(BoundListener { address, listener })
    }
}

/// Listens again at an address whose listener was closed.
pub(crate) fn listen_again(address: SocketAddr) -> Option<TcpListener> {
    let socket = TcpSocket::new_v4().ok()?;
    socket.set_reuseaddr(true).ok()?;
    socket.bind(address).ok()?;
    socket.listen(u32::from(LISTEN_BACKLOG)).ok()
}

/// Lets the kernel drop all further connection attempts, as a machine that is cut off does: the queue is shortened to its
/// single slot, and that slot is taken. Each attempt to take it waits for at most `attempt_timeout`.
pub(crate) async fn drop_new_connections(
    listener: &TcpListener,
    address: SocketAddr,
    attempt_timeout: Duration,
) -> FilledQueue {
    let _ = rustix::net::listen(listener, 0);
    let fill = || timeout(attempt_timeout, TcpStream::connect(address));
    let (first, second) = (fill().await, fill().await);
    FilledQueue {
        _held: [first, second].map(|attempt| attempt.ok().and_then(Result::ok)),
    }
}

/// The connections that keep a listener's queue full, for as long as it lives.
#[derive(Debug)]
pub(crate) struct FilledQueue {
    _held: [Option<TcpStream>; 2],
}

/// Ends what [`drop_new_connections`] began. Connections that fill the queue must be held until then.
pub(crate) fn accept_new_connections(listener: &TcpListener) {
    let _ = rustix::net::listen(listener, i32::from(LISTEN_BACKLOG));
}

/// Whether the other side has ended a connection, though nobody may have read that yet.
pub(crate) fn peer_has_ended(connection: impl AsFd) -> bool {
    let mut polled = [PollFd::new(&connection, PollFlags::RDHUP)];
    let answered = rustix::event::poll(&mut polled, Some(&Timespec::default()));
    answered.is_ok() && !polled[0].revents().is_empty()
}

/// Ends a connection by a reset.
pub(crate) fn reset(write: OwnedWriteHalf) {
    let _ = sockopt::set_socket_linger(write.as_ref(), Some(Duration::ZERO));
    // Dropped, it would end its side in good order first.
    write.forget();
}
