//! Requests the state that a starting process inherits from its predecessor: the listener for
//! clients and the endpoint list.
//!
//! This runs before the event loop, so it may block: for at most [`STATE_TIMEOUT`], or [`QUEUE_TIMEOUT`] where the
//! predecessor still takes over from its own.

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

/// How long the predecessor may take to send its first message, and everything if that is no announcement; after that
/// the process starts without it.
const STATE_TIMEOUT: Duration = Duration::from_millis(800);
/// How long a predecessor that has sent the announcement may take to send everything: its own predecessor, whose link
/// has to end first, exits within 3.5 s of its SIGTERM.
const QUEUE_TIMEOUT: Duration = Duration::from_secs(4);

/// Why a starting process inherits nothing from a running predecessor. Operators see the texts in
/// the log, so they must not change.
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
    /// The predecessor sent bytes that are not a valid message.
    #[error(transparent)]
    Message(#[from] MessageError),
    /// The address of an endpoint cannot be read.
    #[error(transparent)]
    Endpoint(#[from] UnreadableAddress),
    /// The descriptor is not a listening socket, or is bound to another address than the one
    /// configured for this process.
    #[error("its door is another")]
    WrongListener,
    /// The predecessor sent an unexpected message, or too many endpoints.
    #[error("it says what makes no sense now")]
    UnexpectedMessage,
    /// The predecessor did not send everything within [`STATE_TIMEOUT`] or [`QUEUE_TIMEOUT`].
    #[error("it is too slow")]
    TimedOut,
}

/// State that a starting process has inherited from its predecessor.
#[derive(Debug)]
pub(in crate::routing) struct InheritedState {
    /// The connection to the predecessor.
    pub(in crate::routing) link: OwnedFd,
    /// The listening socket for clients, which both processes have open.
    pub(in crate::routing) listener: OwnedFd,
    /// The predecessor's complete endpoint list.
    pub(in crate::routing) list: EndpointList,
}

/// The messages by which a predecessor passes on its state.
#[derive(Debug)]
struct ReceivedState {
    listener: OwnedFd,
    list: EndpointList,
    /// Whether the predecessor sends the ids of its sessions on request.
    sends_session_ids: bool,
}

impl InheritedState {
    /// Requests the state of the predecessor that listens at `socket_path`. Its listener for
    /// clients must be bound to `listen_address`. `None` where no process listens at `socket_path`.
    pub(in crate::routing) fn request(
        socket_path: &Path,
        listen_address: SocketAddr,
    ) -> Result<Option<InheritedState>, InheritError> {
        let link = match seqpacket::connect(socket_path) {
            Ok(link) => link,
            Err(Errno::NOENT | Errno::CONNREFUSED) => return Ok(None),
            Err(error) => return Err(error.into()),
        };
        if !socket::peer_is_same_user(&link) {
            return Err(InheritError::ForeignUser);
        }
        let connected_at = Instant::now();
        seqpacket::send(&link, &HotRestartMessage::Hello.encode(), &[])?;
        let state = receive_state(&link, listen_address, connected_at)?;
        if state.sends_session_ids {
            let request = HotRestartMessage::SessionIdsRequested.encode();
            seqpacket::send(&link, &request, &[])?;
        }
        Ok(Some(InheritedState {
            link,
            listener: state.listener,
            list: state.list,
        }))
    }
}

/// Receives the endpoint list and then the listener, which must be bound to `listen_address`.
fn receive_state(
    link: &OwnedFd,
    listen_address: SocketAddr,
    connected_at: Instant,
) -> Result<ReceivedState, InheritError> {
    let mut endpoints: Vec<ListedEndpoint> = Vec::new();
    let mut sends_session_ids = false;
    let mut timeout = STATE_TIMEOUT;
    loop {
        let mut received = receive_before(link, connected_at + timeout)?;
        let message = HotRestartMessage::decode(&received.bytes)?;
        if message.is_session_ids_announcement() {
            sends_session_ids = true;
            timeout = QUEUE_TIMEOUT;
        }
        match (message, received.descriptors.pop()) {
            (HotRestartMessage::Endpoints(records), None) if endpoints.len() < MAX_ENDPOINTS => {
                for record in records {
                    endpoints.push(endpoint_from_record(record)?);
                }
            }
            (HotRestartMessage::Listener { list_revision }, Some(listener)) => {
                check_listener(&listener, listen_address)?;
                let list = EndpointList {
                    revision: list_revision,
                    complete: true,
                    endpoints,
                    first_error: None,
                };
                return Ok(ReceivedState {
                    listener,
                    list,
                    sends_session_ids,
                });
            }
            _ => return Err(InheritError::UnexpectedMessage),
        }
    }
}

/// Waits until `deadline` for the next message on the link and its descriptors.
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
            tv_sec: left.as_secs() as i64,
            tv_nsec: left.subsec_nanos().into(),
        };
        match poll(&mut [PollFd::new(link, PollFlags::IN)], Some(&timeout)) {
            Ok(_) | Err(Errno::INTR) => {}
            Err(error) => return Err(error.into()),
        }
    }
}

/// Checks that a descriptor is a listening socket bound to `listen_address`.
fn check_listener(listener: &OwnedFd, listen_address: SocketAddr) -> Result<(), InheritError> {
    let bound_to: Option<SocketAddr> = rustix::net::getsockname(listener)
        .ok()
        .and_then(|address| address.try_into().ok());
    if bound_to != Some(listen_address) || !socket::is_listening(listener) {
        return Err(InheritError::WrongListener);
    }
    Ok(())
}
