//! A link between two processes of one machine: whole messages, with descriptors beside them.

use rustix::cmsg_space;
use rustix::fd::{AsFd, BorrowedFd, OwnedFd};
use rustix::io::{Errno, IoSlice, IoSliceMut, Result};
use rustix::net::{
    self, AddressFamily, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, ReturnFlags,
    SendAncillaryBuffer, SendAncillaryMessage, SendFlags, SocketAddrUnix, SocketType,
};
use std::mem::MaybeUninit;
use std::path::Path;

/// Most descriptors that go with a message.
const MOST: usize = 2;

/// Calls the process that listens at a path.
pub fn connect(at: &Path) -> Result<OwnedFd> {
    let fd = net::socket_with(
        AddressFamily::UNIX,
        SocketType::SEQPACKET,
        super::socket::SOCKET_FLAGS,
        None,
    )?;
    net::connect(&fd, &SocketAddrUnix::new(at)?)?;
    Ok(fd)
}

/// Whether the message went; not, where the other end does not keep up.
pub fn send(link: impl AsFd, message: &[u8], with: &[BorrowedFd]) -> Result<bool> {
    let mut space = [MaybeUninit::uninit(); cmsg_space!(ScmRights(MOST))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    if !with.is_empty() && !control.push(SendAncillaryMessage::ScmRights(with)) {
        return Err(Errno::INVAL);
    }
    match net::sendmsg(
        link,
        &[IoSlice::new(message)],
        &mut control,
        SendFlags::NOSIGNAL | SendFlags::DONTWAIT,
    ) {
        Ok(n) if n == message.len() => Ok(true),
        Ok(_) => Err(Errno::MSGSIZE),
        // The kernel keeps only so many descriptors that nobody has read yet.
        Err(Errno::AGAIN | Errno::INTR | Errno::TOOMANYREFS) => Ok(false),
        Err(e) => Err(e),
    }
}

/// Whoever sends from now on hears that it is in vain; what was sent before can be read still.
pub fn shutdown_read(link: impl AsFd) -> Result<()> {
    net::shutdown(link, net::Shutdown::Read)
}

/// The next message, if one is there; an empty one is the link's end. Where the other ended with messages unread, the
/// kernel says so once, before what it said itself, which is read still.
pub fn receive(link: impl AsFd, longest: usize) -> Result<Option<(Vec<u8>, Vec<OwnedFd>)>> {
    let mut space = [MaybeUninit::uninit(); cmsg_space!(ScmRights(MOST))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let mut bytes = vec![0; longest];
    let flags = RecvFlags::DONTWAIT | RecvFlags::CMSG_CLOEXEC;
    let link = link.as_fd();
    let mut got = net::recvmsg(
        link,
        &mut [IoSliceMut::new(&mut bytes)],
        &mut control,
        flags,
    );
    if got.as_ref().err() == Some(&Errno::CONNRESET) {
        got = net::recvmsg(
            link,
            &mut [IoSliceMut::new(&mut bytes)],
            &mut control,
            flags,
        );
    }
    let got = match got {
        Ok(got) => got,
        Err(Errno::AGAIN | Errno::INTR) => return Ok(None),
        Err(e) => return Err(e),
    };
    let mut with = Vec::new();
    for message in control.drain() {
        if let RecvAncillaryMessage::ScmRights(fds) = message {
            with.extend(fds);
        }
    }
    if got
        .flags
        .intersects(ReturnFlags::TRUNC | ReturnFlags::CTRUNC)
    {
        return Err(Errno::MSGSIZE);
    }
    bytes.truncate(got.bytes);
    Ok(Some((bytes, with)))
}
