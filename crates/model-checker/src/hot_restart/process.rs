//! One of the two processes, and its end of the link.

use asterramp_hot_restart::{ConnectionOwnership, HotRestartState, SendOutcome};
use std::collections::VecDeque;

/// Messages that the link holds one way before it is full for its sender.
const LINK_CAPACITY: usize = 2;

/// Connections, a bit each.
pub(super) type ConnectionSet = u8;

/// The set of these connections.
pub(super) fn connection_set(connections: impl IntoIterator<Item = u8>) -> ConnectionSet {
    connections
        .into_iter()
        .fold(0, |set, number| set | 1 << number)
}

/// What the model distinguishes of the messages on the link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Message {
    /// Offers the connection of this number.
    Offer(u8),
    HandoverStopped,
    OfferAccepted,
    /// Out of place for whoever receives it.
    Invalid,
}

#[derive(Clone, Debug)]
pub(super) struct Process {
    pub(super) state: HotRestartState,
    pub(super) ownership: ConnectionOwnership<u8, u8>,
    pub(super) is_alive: bool,
    pub(super) is_linked: bool,
    /// Connections that it reads from and writes to.
    pub(super) served: ConnectionSet,
    /// Connections of which it has descriptors.
    pub(super) descriptors: ConnectionSet,
    pub(super) inbox: VecDeque<Message>,
}

impl Process {
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

    /// Whether there is something to read from `peer`; the end of the link is read too, once what was sent before it has
    /// been.
    pub(super) fn may_read(&self, peer: &Process) -> bool {
        self.is_alive && self.is_linked && (!self.inbox.is_empty() || !peer.is_linked)
    }

    /// Whether it may offer a connection to its successor.
    pub(super) fn may_offer(&self) -> bool {
        self.is_alive
            && self.is_linked
            && self.state == HotRestartState::HandingOver
            && self.served != 0
            && self.ownership.free_offer_slots() > 0
    }

    /// The successor has accepted the oldest offer, so the connection is not this process's any more.
    pub(super) fn release_oldest_offer(&mut self) {
        self.descriptors &= !connection_set(self.ownership.take_oldest_offer());
    }
}
