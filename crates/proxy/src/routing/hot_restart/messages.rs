//! The link to the other process while the event loop runs: who connects, what is received, what is
//! sent.

use super::READABLE;
use crate::routing::{ConnectionRole, ReasonCode, Router};
use crate::transport::{SlotKey, seqpacket, socket};
use asterramp_hot_restart::{
    HotRestartInput, HotRestartMessage, MAX_MESSAGE_BYTES, MAX_PENDING_OFFERS, SendOutcome,
};
use rustix::fd::{AsFd, BorrowedFd, OwnedFd};
use rustix::io::Errno;

/// Most messages that one wake-up reads, so that a busy link does not hold up the event loop: all
/// offers that may be pending, and as many others.
const MAX_MESSAGES_PER_WAKEUP: usize = 2 * MAX_PENDING_OFFERS;

impl Router {
    /// Accepts the process that connects to the hot-restart socket.
    pub(in crate::routing) fn accept_successor(&mut self) {
        let listener = self.hot_restart.as_ref().and_then(|found| found.listener);
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

    /// Reads what has come on the link.
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
            HotRestartMessage::OpenDescriptors(count) => {
                if let Some(hot_restart) = &mut self.hot_restart {
                    hot_restart.peer_descriptors = count as usize;
                }
                HotRestartInput::OpenDescriptorsReceived
            }
            // These come before the event loop of a successor, see `InheritedState::request`.
            HotRestartMessage::Endpoints(_) | HotRestartMessage::Listener { .. } => {
                HotRestartInput::PeerFailed
            }
        };
        // A listener that nobody asked for is closed here.
        drop(descriptors);
        self.handle_hot_restart_input(input);
    }

    /// The other process has not sent what it owes in time.
    pub(in crate::routing) fn hot_restart_deadline(&mut self) {
        self.log_event(ReasonCode::HotRestartFailed, "silent");
        self.handle_hot_restart_input(HotRestartInput::PeerFailed);
    }

    /// Sends a message and, along with it, the sockets of these connections.
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
            // Any other failure leaves it open whether the other process lives: as if it did.
            Ok(false) | Err(_) => SendOutcome::LinkFull,
        }
    }

    /// Begins to watch the link to a process that has connected.
    pub(super) fn watch_hot_restart_link(&mut self, fd: OwnedFd) -> Option<SlotKey> {
        let link = self.register(fd, ConnectionRole::HotRestart, READABLE);
        if let Some(hot_restart) = &mut self.hot_restart {
            hot_restart.link = link;
        }
        link
    }
}
