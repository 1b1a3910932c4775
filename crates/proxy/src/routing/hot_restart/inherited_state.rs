//! What a starting process gets from its predecessor: the clients' listener and the endpoint list.
//!
//! This runs before the event loop, so it may block; the wait is bounded.

use super::endpoint_records::{UnreadableAddress, endpoint_from_record};
use crate::protocol::discovery::{EndpointList, ListedEndpoint};
use crate::routing::endpoints::MAX_ENDPOINTS;
use crate::transport::seqpacket::{self, ReceivedMessage};
use crate::transport::socket;
use asterramp_hot_restart::{HotRestartMessage, MAX_MESSAGE_BYTES, MessageError};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::fd::OwnedFd;
use rustix::io::Errno;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

/// How long the predecessor may take to send everything; after that the process starts without it.
/// Under a second, as the whole of it goes into the nanoseconds of a [`Timespec`].
const STATE_TIMEOUT: Duration = Duration::from_millis(800);

/// Why a starting process inherits nothing from a predecessor that is there. The texts appear in
/// the log and stay as they are.
#[derive(Debug, thiserror::Error)]
pub(in crate::routing) enum InheritError {
    /// A call on the link failed.
    #[error(transparent)]
    Link(#[from] Errno),
    /// The process that listens at the path belongs to another user.
    #[error("another user listens there")]
    ForeignUser,
    /// The predecessor closed the link before it had sent the listener.
    #[error("it hung up")]
    LinkClosed,
    /// The predecessor sent something that is no message.
    #[error(transparent)]
    Message(#[from] MessageError),
    /// The address of an endpoint cannot be read.
    #[error(transparent)]
    Endpoint(#[from] UnreadableAddress),
    /// What was sent does not listen, or listens at another address than this process is to.
    #[error("its door is another")]
    WrongListener,
    /// The predecessor sent a message out of place, or too many endpoints.
    #[error("it says what makes no sense now")]
    UnexpectedMessage,
    /// The predecessor did not send everything within [`STATE_TIMEOUT`].
    #[error("it is too slow")]
    TimedOut,
}

/// What a process that starts has inherited from its predecessor.
#[derive(Debug)]
pub(in crate::routing) struct InheritedState {
    /// The connection to the predecessor.
    pub(in crate::routing) link: OwnedFd,
    /// The socket at which both processes listen for clients.
    pub(in crate::routing) listener: OwnedFd,
    /// The endpoints that the predecessor knows.
    pub(in crate::routing) list: EndpointList,
}

impl InheritedState {
    /// Asks the predecessor that listens at `socket_path` for its listener, which must be bound to
    /// `listen`. `None` where no process listens there.
    pub(in crate::routing) fn request(
        socket_path: &Path,
        listen: SocketAddr,
    ) -> Result<Option<InheritedState>, InheritError> {
        let link = match seqpacket::connect(socket_path) {
            Ok(link) => link,
            Err(Errno::NOENT | Errno::CONNREFUSED) => return Ok(None),
            Err(error) => return Err(error.into()),
        };
        if !socket::peer_is_same_user(&link) {
            return Err(InheritError::ForeignUser);
        }
        let deadline = Instant::now() + STATE_TIMEOUT;
        seqpacket::send(&link, &HotRestartMessage::Hello.encode(), &[])?;
        let (listener, list) = receive_state(&link, listen, deadline)?;
        Ok(Some(InheritedState {
            link,
            listener,
            list,
        }))
    }
}

/// Receives the endpoint list and then the listener, which must be bound to `listen`.
fn receive_state(
    link: &OwnedFd,
    listen: SocketAddr,
    deadline: Instant,
) -> Result<(OwnedFd, EndpointList), InheritError> {
    let mut endpoints: Vec<ListedEndpoint> = Vec::new();
    loop {
        let mut received = receive_before(link, deadline)?;
        let message = HotRestartMessage::decode(&received.bytes)?;
        match (message, received.descriptors.pop()) {
            (HotRestartMessage::Endpoints(records), None) if endpoints.len() < MAX_ENDPOINTS => {
                for record in records {
                    endpoints.push(endpoint_from_record(record)?);
                }
            }
            (HotRestartMessage::Listener { list_revision }, Some(listener)) => {
                check_listener(&listener, listen)?;
                let list = EndpointList {
                    revision: list_revision,
                    complete: true,
                    endpoints,
                    first_error: None,
                };
                return Ok((listener, list));
            }
            _ => return Err(InheritError::UnexpectedMessage),
        }
    }
}

/// The next message on the link and what came along, waiting until `deadline`.
fn receive_before(link: &OwnedFd, deadline: Instant) -> Result<ReceivedMessage, InheritError> {
    loop {
        if let Some(received) = seqpacket::receive(link, MAX_MESSAGE_BYTES)? {
            if received.bytes.is_empty() {
                return Err(InheritError::LinkClosed);
            }
            return Ok(received);
        }
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(InheritError::TimedOut);
        }
        let timeout = Timespec {
            tv_sec: 0,
            tv_nsec: left.subsec_nanos().into(),
        };
        match poll(&mut [PollFd::new(link, PollFlags::IN)], Some(&timeout)) {
            Ok(_) | Err(Errno::INTR) => {}
            Err(error) => return Err(error.into()),
        }
    }
}

fn check_listener(listener: &OwnedFd, listen: SocketAddr) -> Result<(), InheritError> {
    let bound_to: Option<SocketAddr> = rustix::net::getsockname(listener)
        .ok()
        .and_then(|address| address.try_into().ok());
    if bound_to != Some(listen) || !socket::is_listening(listener) {
        return Err(InheritError::WrongListener);
    }
    Ok(())
}
