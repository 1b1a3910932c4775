//! The link to the other process while the event loop runs: accepts it, and receives and sends
//! messages on it.

use super::READABLE;
use crate::routing::{ConnectionRole, ReasonCode, Router};
use crate::transport::{SlotKey, seqpacket, socket};
use asterramp_hot_restart::{
    HotRestartInput, HotRestartMessage, MAX_MESSAGE_BYTES, MAX_PENDING_OFFERS, SendOutcome,
};
use rustix::fd::{AsFd, BorrowedFd, OwnedFd};
use rustix::io::Errno;

/// Most messages that are read in one wake-up, so that a busy link does not delay other
/// connections: enough for all pending offers and as many other messages.
const MAX_MESSAGES_PER_WAKEUP: usize = 2 * MAX_PENDING_OFFERS;

impl Router {
    /// Accepts a process that connects to the hot-restart socket, if it belongs to the same user.
    pub(in crate::routing) fn accept_successor(&mut self) {
        let listener = self
            .hot_restart
            .as_ref()
            .and_then(|hot_restart| hot_restart.listener);
        let Some(listener) = listener.and_then(|key| self.connections.get(key)) else {
            return;
        };
        let Ok(Some(fd)) = socket::accept_unix(&listener.stream) else {
            return;
        };
        if !socket::peer_is_same_user(&fd) {
            return self.log_event(ReasonCode::HotRestartFailed, "caller why=\"another user\"");
        }
        self.hot_restart_peer_connected(fd);
    }

    /// Receives and handles messages on the link, at most [`MAX_MESSAGES_PER_WAKEUP`].
    pub(in crate::routing) fn hot_restart_ready(&mut self, link: SlotKey) {
        for _ in 0..MAX_MESSAGES_PER_WAKEUP {
            let Some(connection) = self.connections.get(link) else {
                return;
            };
            match seqpacket::receive(&connection.stream, MAX_MESSAGE_BYTES) {
                Ok(None) => return,
                Ok(Some(received)) if !received.bytes.is_empty() => {
                    self.handle_hot_restart_bytes(&received.bytes, received.descriptors);
                }
                Ok(Some(_)) => return self.handle_hot_restart_input(HotRestartInput::LinkClosed),
                Err(_) => return self.handle_hot_restart_input(HotRestartInput::PeerFailed),
            }
        }
    }

    fn handle_hot_restart_bytes(&mut self, bytes: &[u8], descriptors: Vec<OwnedFd>) {
        let problem = match HotRestartMessage::decode(bytes) {
            Ok(message) if message.descriptor_count() == descriptors.len() => {
                return self.handle_hot_restart_message(message, descriptors);
            }
            Ok(_) => "descriptors are missing or too many".to_string(),
            Err(error) => error.to_string(),
        };
        self.log_event(
            ReasonCode::HotRestartFailed,
            format!("message why={problem:?}"),
        );
        self.handle_hot_restart_input(HotRestartInput::PeerFailed);
    }

    fn handle_hot_restart_message(
        &mut self,
        message: HotRestartMessage,
        descriptors: Vec<OwnedFd>,
    ) {
        let input = match message {
            HotRestartMessage::SessionOffer(_) | HotRestartMessage::PendingConnectionOffer(_) => {
                return self.receive_offer(message, descriptors);
            }
            HotRestartMessage::Hello => HotRestartInput::HelloReceived,
            HotRestartMessage::Serving => HotRestartInput::ServingReceived,
            HotRestartMessage::OfferAccepted => HotRestartInput::OfferAcceptedReceived,
            HotRestartMessage::HandoverStopped => HotRestartInput::HandoverStoppedReceived,
            HotRestartMessage::SessionIdsRequested => HotRestartInput::SessionIdsRequestReceived,
            HotRestartMessage::OpenSessionIds(ids) => self.record_predecessor_sessions(ids),
            HotRestartMessage::EndedSessionIds(ids) => self.forget_predecessor_sessions(&ids),
            HotRestartMessage::OpenDescriptors(count) => {
                if let Some(hot_restart) = &mut self.hot_restart {
                    hot_restart.peer_descriptors = count as usize;
                }
                HotRestartInput::OpenDescriptorsReceived
            }
            // A successor receives these before its event loop runs, see `InheritedState::request`.
            HotRestartMessage::Endpoints(_) | HotRestartMessage::Listener { .. } => {
                HotRestartInput::PeerFailed
            }
        };
        // Closes the descriptor of an unexpected `Listener` message.
        drop(descriptors);
        self.handle_hot_restart_input(input);
    }

    /// Handles the deadline of the link: the other process did not send the next message in time.
    pub(in crate::routing) fn hot_restart_deadline(&mut self) {
        self.log_event(ReasonCode::HotRestartFailed, "silent");
        self.handle_hot_restart_input(HotRestartInput::PeerFailed);
    }

    /// Sends a message with the descriptors of `connections`.
    pub(super) fn send_hot_restart(
        &mut self,
        message: &HotRestartMessage,
        connections: &[SlotKey],
    ) -> SendOutcome {
        let link = self
            .hot_restart_link()
            .and_then(|key| self.connections.get(key));
        let Some(link) = link else {
            return SendOutcome::PeerGone;
        };
        let mut descriptors: Vec<BorrowedFd<'_>> = Vec::with_capacity(connections.len());
        for key in connections {
            let Some(connection) = self.connections.get(*key) else {
                return SendOutcome::LinkFull;
            };
            descriptors.push(connection.stream.as_fd());
        }
        match seqpacket::send(&link.stream, &message.encode(), &descriptors) {
            Ok(true) => SendOutcome::Sent,
            Err(Errno::PIPE | Errno::CONNRESET | Errno::CONNREFUSED | Errno::NOTCONN) => {
                SendOutcome::PeerGone
            }
            // After any other error the other process may be alive, so it is treated as alive.
            Ok(false) | Err(_) => SendOutcome::LinkFull,
        }
    }

    /// Begins to watch the link to a process that has connected; `None` if it cannot be watched,
    /// and is closed.
    pub(super) fn watch_hot_restart_link(&mut self, fd: OwnedFd) -> Option<SlotKey> {
        let link = self.register(fd, ConnectionRole::HotRestart, READABLE);
        if let Some(hot_restart) = &mut self.hot_restart {
            hot_restart.link = link;
        }
        link
    }
}
