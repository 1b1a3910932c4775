//! The two processes, and what may happen to them.

use super::process::{ConnectionSet, Message, Process, connection_set};
use crate::model::Model;
use asterramp_hot_restart::{
    HotRestartEffect, HotRestartInput, HotRestartState, MAX_PENDING_OFFERS, SendOutcome,
};
use std::fmt;
use thiserror::Error;

/// Connections that are open when the successor connects: one more than the link holds offers of.
const CONNECTIONS: u8 = 3;
const ALL_CONNECTIONS: ConnectionSet = (1 << CONNECTIONS) - 1;
const _: () = assert!(CONNECTIONS as usize <= MAX_PENDING_OFFERS);
/// Invalid messages that processes of other builds may send.
const INVALID_MESSAGES: u8 = 1;

/// What one of the two processes does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum HotRestartAction {
    /// The predecessor offers a connection.
    Offer,
    /// The predecessor reads the next message, or the end of the link.
    PredecessorReads,
    /// The successor reads the next message, or the end of the link.
    SuccessorReads,
    /// A successor of another build sends an invalid message.
    SuccessorSendsInvalid,
    /// A predecessor of another build sends an invalid message.
    PredecessorSendsInvalid,
    /// The predecessor ends.
    PredecessorDies,
    /// The successor ends.
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

    /// Those that happen by themselves if neither process dies or misbehaves.
    const REGULAR: [HotRestartAction; 3] = [
        HotRestartAction::Offer,
        HotRestartAction::PredecessorReads,
        HotRestartAction::SuccessorReads,
    ];
}

impl fmt::Display for HotRestartAction {
    /// The action as counterexamples name it.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{self:?}")
    }
}

/// A property of hot restarts that does not hold. Connections are a bit each.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum HotRestartViolation {
    /// Both processes read from and write to these connections.
    #[error("both touch connections {0:#b}")]
    ServedTwice(u8),
    /// A process uses these connections without having their descriptors.
    #[error("connections {0:#b} are touched and not held")]
    ServedWithoutDescriptor(u8),
    /// These connections did not end with their owner, and belong to no process that lives.
    #[error("connections {0:#b} are nobody's")]
    ConnectionsLost(u8),
}

/// A predecessor, its successor and the connections.
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
    /// The successor has just connected, and all connections are the predecessor's.
    pub fn new() -> HotRestartModel {
        HotRestartModel {
            predecessor: Process::new(HotRestartState::HandingOver, ALL_CONNECTIONS),
            successor: Process::new(HotRestartState::TakingOver, 0),
            ended: 0,
            invalid_messages_left: INVALID_MESSAGES,
        }
    }

    fn is_possible(&self, action: HotRestartAction) -> bool {
        let predecessor = &self.predecessor;
        let successor = &self.successor;
        let both_linked = predecessor.is_linked && successor.is_linked;
        match action {
            HotRestartAction::Offer => predecessor.may_offer(),
            HotRestartAction::PredecessorReads => predecessor.may_read(successor),
            HotRestartAction::SuccessorReads => successor.may_read(predecessor),
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
                // What the predecessor has released was the successor's, read or not.
                self.ended |= self.successor.served | !self.predecessor.descriptors;
                self.successor.die();
            }
        }
        // What is in the link ends with the predecessor too, if nobody is left who may read it.
        if !self.predecessor.is_alive && !self.successor.is_linked {
            self.ended |= !self.successor.served;
        }
    }

    fn offer(&mut self) {
        let predecessor = &mut self.predecessor;
        let connection = predecessor.served.trailing_zeros() as u8;
        let delivery = predecessor.send(&mut self.successor, Message::Offer(connection));
        if delivery == SendOutcome::Sent {
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
        // What was accepted before counts still, and nothing after.
        predecessor.is_linked = false;
        for message in std::mem::take(&mut predecessor.inbox) {
            if message == Message::OfferAccepted {
                predecessor.release_oldest_offer();
            }
        }
        let notice = if effect == HotRestartEffect::StopHandover {
            predecessor.send(&mut self.successor, Message::HandoverStopped)
        } else {
            SendOutcome::PeerGone
        };
        let end = predecessor.ownership.end_handover(notice);
        predecessor.served |= connection_set(end.resumed);
        predecessor.descriptors &= !connection_set(end.released);
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
        let acceptance = successor.send(&mut self.predecessor, Message::OfferAccepted);
        match successor.ownership.receive_offer(connection, acceptance) {
            Ok(adoptable) => {
                successor.descriptors |= connection_set([connection]);
                successor.served |= connection_set(adoptable);
                HotRestartInput::OfferReceived
            }
            Err(_) => HotRestartInput::PeerFailed,
        }
    }

    /// What must hold after each action.
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

    /// What must hold where nothing is left to do: every connection that did not end with its owner belongs to a process that
    /// lives.
    fn check_no_connection_lost(&self) -> Result<(), HotRestartViolation> {
        let is_quiet = !HotRestartAction::REGULAR
            .iter()
            .any(|action| self.is_possible(*action));
        let is_anyone_alive = self.predecessor.is_alive || self.successor.is_alive;
        let owned = self.predecessor.served | self.successor.served;
        let lost = ALL_CONNECTIONS & !(owned | self.ended);
        if is_quiet && is_anyone_alive && lost != 0 {
            return Err(HotRestartViolation::ConnectionsLost(lost));
        }
        Ok(())
    }
}

impl Model for HotRestartModel {
    type Action = HotRestartAction;
    type Violation = HotRestartViolation;
    type Fingerprint = String;

    /// All of the model, as it has few states.
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
