//! State, actions and safety properties of the hot-restart model.

use super::process::{ConnectionSet, Message, Process, connection_set};
use crate::model::Model;
use asterramp_hot_restart::{
    HotRestartEffect, HotRestartInput, HotRestartState, MAX_PENDING_OFFERS, SendOutcome,
};
use std::fmt;
use thiserror::Error;

/// Connections that are open when the successor connects: one more than `LINK_CAPACITY`, so that the link can be full.
const CONNECTION_COUNT: u8 = 3;
const ALL_CONNECTIONS: ConnectionSet = (1 << CONNECTION_COUNT) - 1;
const _: () = assert!(CONNECTION_COUNT as usize <= MAX_PENDING_OFFERS);
/// Most invalid messages that the two processes together send in one run; bounds the number of states.
const MAX_INVALID_MESSAGES: u8 = 1;

/// An action of one of the two processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum HotRestartAction {
    /// The predecessor offers its served connection with the lowest number to the successor.
    Offer,
    /// The predecessor reads the next message, or the end of the link.
    PredecessorReads,
    /// The successor reads the next message, or the end of the link.
    SuccessorReads,
    /// A successor of another build sends an invalid message.
    SuccessorSendsInvalid,
    /// A predecessor of another build sends an invalid message.
    PredecessorSendsInvalid,
    /// The predecessor process terminates.
    PredecessorDies,
    /// The successor process terminates.
    SuccessorDies,
}

impl HotRestartAction {
    /// All actions.
    pub const ALL: [HotRestartAction; 7] = [
        HotRestartAction::Offer,
        HotRestartAction::PredecessorReads,
        HotRestartAction::SuccessorReads,
        HotRestartAction::SuccessorSendsInvalid,
        HotRestartAction::PredecessorSendsInvalid,
        HotRestartAction::PredecessorDies,
        HotRestartAction::SuccessorDies,
    ];

    /// Actions that occur without a crash or an invalid message.
    const FAULT_FREE: [HotRestartAction; 3] = [
        HotRestartAction::Offer,
        HotRestartAction::PredecessorReads,
        HotRestartAction::SuccessorReads,
    ];
}

impl fmt::Display for HotRestartAction {
    /// Formats the action as counterexamples print it: the variant's name.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{self:?}")
    }
}

/// A violated property of hot restarts. The value is a bit set of connections, bit `n` for connection `n`.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum HotRestartViolation {
    /// Both processes serve these connections, that is, read from and write to them.
    #[error("both touch connections {0:#b}")]
    ServedTwice(u8),
    /// A process serves these connections without holding their descriptors.
    #[error("connections {0:#b} are touched and not held")]
    ServedWithoutDescriptor(u8),
    /// These connections are served by no running process, though they did not end with the process that owned them.
    #[error("connections {0:#b} are nobody's")]
    ConnectionsLost(u8),
}

/// State of the model: a predecessor, its successor and the connections.
#[derive(Clone, Debug)]
pub struct HotRestartModel {
    predecessor: Process,
    successor: Process,
    /// Connections that ended with the process that owned them.
    ended: ConnectionSet,
    invalid_messages_left: u8,
}

impl Default for HotRestartModel {
    fn default() -> Self {
        HotRestartModel::new()
    }
}

impl HotRestartModel {
    /// The initial state: the successor has just connected, and the predecessor serves all connections.
    pub fn new() -> HotRestartModel {
        HotRestartModel {
            predecessor: Process::new(HotRestartState::HandingOver, ALL_CONNECTIONS),
            successor: Process::new(HotRestartState::TakingOver, 0),
            ended: 0,
            invalid_messages_left: MAX_INVALID_MESSAGES,
        }
    }

    fn is_possible(&self, action: HotRestartAction) -> bool {
        let predecessor = &self.predecessor;
        let successor = &self.successor;
        let both_linked = predecessor.is_linked && successor.is_linked;
        match action {
            HotRestartAction::Offer => predecessor.can_offer(),
            HotRestartAction::PredecessorReads => predecessor.can_read(successor),
            HotRestartAction::SuccessorReads => successor.can_read(predecessor),
            HotRestartAction::SuccessorSendsInvalid => {
                self.invalid_messages_left > 0 && successor.is_alive && both_linked
            }
            HotRestartAction::PredecessorSendsInvalid => {
                self.invalid_messages_left > 0 && predecessor.is_alive && both_linked
            }
            HotRestartAction::PredecessorDies => predecessor.is_alive,
            HotRestartAction::SuccessorDies => successor.is_alive,
        }
    }

    fn perform(&mut self, action: HotRestartAction) {
        match action {
            HotRestartAction::Offer => self.offer(),
            HotRestartAction::PredecessorReads => self.predecessor_reads(),
            HotRestartAction::SuccessorReads => self.successor_reads(),
            HotRestartAction::SuccessorSendsInvalid => {
                self.invalid_messages_left -= 1;
                let _ = self.successor.send(&mut self.predecessor, Message::Invalid);
            }
            HotRestartAction::PredecessorSendsInvalid => {
                self.invalid_messages_left -= 1;
                let _ = self.predecessor.send(&mut self.successor, Message::Invalid);
            }
            HotRestartAction::PredecessorDies => {
                self.ended |= self.predecessor.served;
                self.predecessor.die();
            }
            HotRestartAction::SuccessorDies => {
                // The successor owns the connections that the predecessor has released, even if it has not read the
                // messages about them yet.
                self.ended |= self.successor.served | !self.predecessor.descriptors;
                self.successor.die();
            }
        }
        // With the successor's end of the link closed, no process can read what is still in the link: connections that
        // the successor does not serve end when the predecessor terminates.
        if !self.predecessor.is_alive && !self.successor.is_linked {
            self.ended |= !self.successor.served;
        }
    }

    fn offer(&mut self) {
        let predecessor = &mut self.predecessor;
        let connection = predecessor.served.trailing_zeros() as u8;
        let offer_sent = predecessor.send(&mut self.successor, Message::Offer(connection));
        if offer_sent == SendOutcome::Sent {
            predecessor.served &= !connection_set([connection]);
            predecessor.ownership.add_offer(connection);
        }
    }

    fn predecessor_reads(&mut self) {
        let predecessor = &mut self.predecessor;
        let input = match predecessor.inbox.pop_front() {
            Some(Message::OfferAccepted) => HotRestartInput::OfferAcceptedReceived,
            Some(_) => HotRestartInput::PeerFailed,
            None => HotRestartInput::LinkClosed,
        };
        let effect = predecessor.state.apply(input);
        if effect == HotRestartEffect::ReleaseOldestOffer {
            predecessor.release_oldest_offer();
            return;
        }
        // The handover ends. Acceptances that have already arrived are still processed; later ones are not.
        predecessor.is_linked = false;
        for message in std::mem::take(&mut predecessor.inbox) {
            if message == Message::OfferAccepted {
                predecessor.release_oldest_offer();
            }
        }
        let stop_notice = if effect == HotRestartEffect::StopHandover {
            predecessor.send(&mut self.successor, Message::HandoverStopped)
        } else {
            SendOutcome::PeerGone
        };
        let unaccepted = predecessor.ownership.end_handover(stop_notice);
        predecessor.served |= connection_set(unaccepted.resumed);
        predecessor.descriptors &= !connection_set(unaccepted.released);
    }

    fn successor_reads(&mut self) {
        let input = match self.successor.inbox.pop_front() {
            Some(Message::Offer(connection)) => self.successor_receives_offer(connection),
            Some(Message::HandoverStopped) => HotRestartInput::HandoverStoppedReceived,
            Some(_) => HotRestartInput::PeerFailed,
            None => HotRestartInput::LinkClosed,
        };
        let successor = &mut self.successor;
        let effect = successor.state.apply(input);
        if effect == HotRestartEffect::AdoptOffer {
            return;
        }
        let unconfirmed = connection_set(successor.ownership.take_unconfirmed());
        if effect == HotRestartEffect::AdoptUnconfirmed {
            successor.served |= unconfirmed;
        } else {
            successor.descriptors &= !unconfirmed;
        }
        if effect != HotRestartEffect::DiscardUnconfirmed {
            successor.close_link();
        }
    }

    fn successor_receives_offer(&mut self, connection: u8) -> HotRestartInput {
        let successor = &mut self.successor;
        let acceptance_sent = successor.send(&mut self.predecessor, Message::OfferAccepted);
        match successor
            .ownership
            .receive_offer(connection, acceptance_sent)
        {
            Ok(adoptable) => {
                successor.descriptors |= connection_set([connection]);
                successor.served |= connection_set(adoptable);
                HotRestartInput::OfferReceived
            }
            Err(_) => HotRestartInput::PeerFailed,
        }
    }

    /// Checked after each action: no connection is served by both processes, or by one without its descriptor.
    fn check_ownership(&self) -> Result<(), HotRestartViolation> {
        let predecessor = &self.predecessor;
        let successor = &self.successor;
        let served_twice = predecessor.served & successor.served;
        if served_twice != 0 {
            return Err(HotRestartViolation::ServedTwice(served_twice));
        }
        let without_descriptor = (predecessor.served & !predecessor.descriptors)
            | (successor.served & !successor.descriptors);
        if without_descriptor != 0 {
            return Err(HotRestartViolation::ServedWithoutDescriptor(
                without_descriptor,
            ));
        }
        Ok(())
    }

    /// Checked in states without a possible fault-free action, while a process is running: every connection that did
    /// not end with its owner is served.
    fn check_no_connection_lost(&self) -> Result<(), HotRestartViolation> {
        let is_quiescent = !HotRestartAction::FAULT_FREE
            .iter()
            .any(|action| self.is_possible(*action));
        let is_any_process_alive = self.predecessor.is_alive || self.successor.is_alive;
        let owned = self.predecessor.served | self.successor.served;
        let lost = ALL_CONNECTIONS & !(owned | self.ended);
        if is_quiescent && is_any_process_alive && lost != 0 {
            return Err(HotRestartViolation::ConnectionsLost(lost));
        }
        Ok(())
    }
}

impl Model for HotRestartModel {
    type Action = HotRestartAction;
    type Violation = HotRestartViolation;
    type Fingerprint = String;

    /// The Debug text of the whole state; the model is small enough to need no abstraction.
    fn fingerprint(&self) -> String {
        format!("{self:?}")
    }

    fn actions(&self) -> Vec<HotRestartAction> {
        let all = HotRestartAction::ALL.into_iter();
        all.filter(|action| self.is_possible(*action)).collect()
    }

    fn apply(&mut self, action: HotRestartAction) -> Result<(), HotRestartViolation> {
        self.perform(action);
        self.check_ownership()?;
        self.check_no_connection_lost()
    }
}
