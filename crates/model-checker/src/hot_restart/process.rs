//! One process of the hot-restart model and its end of the link.

use asterramp_hot_restart::{ConnectionOwnership, HotRestartState, SendOutcome};
use std::collections::VecDeque;

/// Most messages queued in one direction of the link; sending another fails with `SendOutcome::LinkFull`.
const LINK_CAPACITY: usize = 2;

/// Set of connections: bit `n` stands for connection `n`.
pub(super) type ConnectionSet = u8;

pub(super) fn connection_set(connections: impl IntoIterator<Item = u8>) -> ConnectionSet {
    connections
        .into_iter()
        .fold(0, |set, connection| set | 1 << connection)
}

/// A message on the link, reduced to what the model distinguishes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Message {
    /// The predecessor offers the connection of this number.
    Offer(u8),
    /// The predecessor ends the handover and resumes connections whose offers were not accepted.
    HandoverStopped,
    /// The successor accepts the oldest pending offer.
    OfferAccepted,
    /// A message that is a protocol error in either direction.
    Invalid,
}

/// State of the predecessor or the successor.
#[derive(Clone, Debug)]
pub(super) struct Process {
    pub(super) state: HotRestartState,
    pub(super) ownership: ConnectionOwnership<u8, u8>,
    pub(super) is_alive: bool,
    /// Whether its end of the link is open.
    pub(super) is_linked: bool,
    /// Connections that the process reads from and writes to.
    pub(super) served: ConnectionSet,
    /// Connections whose descriptors the process holds.
    pub(super) descriptors: ConnectionSet,
    /// Messages that have arrived and are unread, oldest first.
    pub(super) inbox: VecDeque<Message>,
}

impl Process {
    /// A running process that serves `connections`, with an open link.
    pub(super) fn new(state: HotRestartState, connections: ConnectionSet) -> Process {
        Process {
            state,
            ownership: ConnectionOwnership::default(),
            is_alive: true,
            is_linked: true,
            served: connections,
            descriptors: connections,
            inbox: VecDeque::new(),
        }
    }

    pub(super) fn send(&self, to: &mut Process, message: Message) -> SendOutcome {
        if !to.is_linked {
            return SendOutcome::PeerGone;
        }
        if to.inbox.len() >= LINK_CAPACITY {
            return SendOutcome::LinkFull;
        }
        to.inbox.push_back(message);
        SendOutcome::Sent
    }

    pub(super) fn die(&mut self) {
        self.is_alive = false;
        self.served = 0;
        self.descriptors = 0;
        self.close_link();
    }

    pub(super) fn close_link(&mut self) {
        self.is_linked = false;
        self.inbox.clear();
    }

    /// Whether the process can read a message from `peer`, or the end of the link, which follows the last message.
    pub(super) fn can_read(&self, peer: &Process) -> bool {
        self.is_alive && self.is_linked && (!self.inbox.is_empty() || !peer.is_linked)
    }

    /// Whether the process, as predecessor, can offer a connection to its successor.
    pub(super) fn can_offer(&self) -> bool {
        self.is_alive
            && self.is_linked
            && self.state == HotRestartState::HandingOver
            && self.served != 0
            && self.ownership.free_offer_slots() > 0
    }

    /// Closes the descriptor of the oldest pending offer, which the successor has accepted.
    pub(super) fn release_oldest_offer(&mut self) {
        self.descriptors &= !connection_set(self.ownership.take_oldest_offer());
    }
}
