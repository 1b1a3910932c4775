//! Unix sockets of type `SOCK_SEQPACKET`: messages with attached file descriptors between two processes of one
//! machine.

use rustix::cmsg_space;
use rustix::fd::{AsFd, BorrowedFd, OwnedFd};
use rustix::io::{Errno, IoSlice, IoSliceMut, Result};
use rustix::net::{
    self, AddressFamily, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, RecvMsg,
    ReturnFlags, SendAncillaryBuffer, SendAncillaryMessage, SendFlags, SocketAddrUnix, SocketType,
};
use std::mem::MaybeUninit;
use std::path::Path;

/// Most descriptors attached to a message: both ends of a forwarded connection.
const MAX_DESCRIPTORS: usize = 2;

/// A received message.
#[derive(Debug)]
pub struct ReceivedMessage {
    /// The message's bytes; empty if the peer has closed the connection.
    pub bytes: Vec<u8>,
    /// The descriptors attached to it.
    pub descriptors: Vec<OwnedFd>,
}

/// Connects to the process that listens on a path. Fails if no process listens there.
pub fn connect(path: &Path) -> Result<OwnedFd> {
    let fd = net::socket_with(
        AddressFamily::UNIX,
        SocketType::SEQPACKET,
        super::socket::SOCKET_FLAGS,
        None,
    )?;
    net::connect(&fd, &SocketAddrUnix::new(path)?)?;
    Ok(fd)
}

/// Sends a message with at most two descriptors. Returns `false` if the message was not sent because the peer reads
/// too slowly, and has to be sent again later.
pub fn send(socket: impl AsFd, message: &[u8], descriptors: &[BorrowedFd<'_>]) -> Result<bool> {
    let mut space = [MaybeUninit::uninit(); cmsg_space!(ScmRights(MAX_DESCRIPTORS))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    if !descriptors.is_empty() && !control.push(SendAncillaryMessage::ScmRights(descriptors)) {
        return Err(Errno::INVAL);
    }
    match net::sendmsg(
        socket,
        &[IoSlice::new(message)],
        &mut control,
        SendFlags::NOSIGNAL | SendFlags::DONTWAIT,
    ) {
        Ok(sent) if sent == message.len() => Ok(true),
        Ok(_) => Err(Errno::MSGSIZE),
        // TOOMANYREFS: the kernel limits the number of descriptors that are in flight, sent and not received yet.
        Err(Errno::AGAIN | Errno::INTR | Errno::TOOMANYREFS) => Ok(false),
        Err(error) => Err(error),
    }
}

/// Closes the receiving direction: later sends of the peer fail, and messages sent before can still be received.
pub fn shutdown_read(socket: impl AsFd) -> Result<()> {
    net::shutdown(socket, net::Shutdown::Read)
}

/// Receives the next message of up to `max_length` bytes, if there is one. An empty message means that the peer has
/// closed the connection.
///
/// Fails with `MSGSIZE` if the message or its descriptors were truncated. If the peer closed the connection with
/// messages unread, the kernel first reports one reset and then delivers the messages that the peer had sent, so one
/// reset is skipped.
pub fn receive(socket: impl AsFd, max_length: usize) -> Result<Option<ReceivedMessage>> {
    let mut space = [MaybeUninit::uninit(); cmsg_space!(ScmRights(MAX_DESCRIPTORS))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let mut bytes = vec![0; max_length];
    let socket = socket.as_fd();
    let mut received = receive_once(socket, &mut bytes, &mut control);
    if received.as_ref().err() == Some(&Errno::CONNRESET) {
        received = receive_once(socket, &mut bytes, &mut control);
    }
    let received = match received {
        Ok(received) => received,
        Err(Errno::AGAIN | Errno::INTR) => return Ok(None),
        Err(error) => return Err(error),
    };
    let mut descriptors = Vec::new();
    for message in control.drain() {
        if let RecvAncillaryMessage::ScmRights(attached) = message {
            descriptors.extend(attached);
        }
    }
    let truncation_flags = ReturnFlags::TRUNC | ReturnFlags::CTRUNC;
    if received.flags.intersects(truncation_flags) {
        return Err(Errno::MSGSIZE);
    }
    bytes.truncate(received.bytes);
    Ok(Some(ReceivedMessage { bytes, descriptors }))
}

fn receive_once(
    socket: BorrowedFd<'_>,
    bytes: &mut [u8],
    control: &mut RecvAncillaryBuffer<'_>,
) -> Result<RecvMsg> {
    let flags = RecvFlags::DONTWAIT | RecvFlags::CMSG_CLOEXEC;
    net::recvmsg(socket, &mut [IoSliceMut::new(bytes)], control, flags)
}
