//! Predecessor and successor of a hot restart and the link between them, in every order of what
//! either does and of their deaths.
//!
//! Who may touch a connection is decided by [`HotRestartState`] and [`ConnectionOwnership`], the
//! code that serves; the rest is a model of the two processes.

use asterramp_hot_restart::{
    ConnectionOwnership, Delivery, HotRestartEffect, HotRestartInput, HotRestartState,
    MAX_PENDING_OFFERS,
};
use std::collections::hash_map::Entry;
use std::collections::{HashMap, VecDeque};

/// Connections that are open when the successor connects: one more than the link holds offers of.
const CONNECTIONS: u8 = 3;
/// Every connection, as bits.
const ALL_CONNECTIONS: u8 = (1 << CONNECTIONS) - 1;
/// Messages that the link holds one way before it is full for its sender.
const LINK_CAPACITY: usize = 2;

/// What the model distinguishes of the messages on the link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Message {
    /// Offers the connection of this number.
    Offer(u8),
    HandoverStopped,
    OfferAccepted,
    /// Out of place for whoever receives it.
    Invalid,
}

/// What one of the two processes does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Step {
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

const STEPS: [Step; 7] = [
    Step::Offer,
    Step::PredecessorReads,
    Step::SuccessorReads,
    Step::SuccessorSendsInvalid,
    Step::PredecessorSendsInvalid,
    Step::PredecessorDies,
    Step::SuccessorDies,
];

#[derive(Clone, Debug)]
struct Process {
    state: HotRestartState,
    ownership: ConnectionOwnership<u8, u8>,
    is_alive: bool,
    is_linked: bool,
    /// Connections that it reads from and writes to, as bits.
    touches: u8,
    /// Connections of which it has descriptors, as bits.
    holds: u8,
    inbox: VecDeque<Message>,
}

#[derive(Clone, Debug)]
struct World {
    predecessor: Process,
    successor: Process,
    /// Connections that ended with the process that owned them, as bits.
    ended: u8,
    /// How many invalid messages may still be sent.
    invalid_messages_left: u8,
}

/// Connections as bits.
fn bits(connections: impl IntoIterator<Item = u8>) -> u8 {
    connections.into_iter().fold(0, |bits, n| bits | 1 << n)
}

impl Process {
    fn new(state: HotRestartState, connections: u8) -> Process {
        Process {
            state,
            ownership: ConnectionOwnership::default(),
            is_alive: true,
            is_linked: true,
            touches: connections,
            holds: connections,
            inbox: VecDeque::new(),
        }
    }

    fn send(&self, to: &mut Process, message: Message) -> Delivery {
        if !to.is_linked {
            return Delivery::PeerGone;
        }
        if to.inbox.len() >= LINK_CAPACITY {
            return Delivery::LinkFull;
        }
        to.inbox.push_back(message);
        Delivery::Sent
    }

    fn die(&mut self) {
        self.is_alive = false;
        self.touches = 0;
        self.holds = 0;
        self.close_link();
    }

    fn close_link(&mut self) {
        self.is_linked = false;
        self.inbox.clear();
    }

    /// Whether there is something to read from `peer`; the end of the link is read too, once what
    /// was sent before it has been.
    fn may_read(&self, peer: &Process) -> bool {
        self.is_alive && self.is_linked && (!self.inbox.is_empty() || !peer.is_linked)
    }
}

impl World {
    fn new() -> World {
        World {
            predecessor: Process::new(HotRestartState::HandingOver, ALL_CONNECTIONS),
            successor: Process::new(HotRestartState::TakingOver, 0),
            ended: 0,
            invalid_messages_left: 1,
        }
    }

    /// Equal for equal worlds.
    fn key(&self) -> String {
        format!("{self:?}")
    }

    fn may(&self, step: Step) -> bool {
        let predecessor = &self.predecessor;
        let successor = &self.successor;
        let both_linked = predecessor.is_linked && successor.is_linked;
        match step {
            Step::Offer => {
                predecessor.is_alive
                    && predecessor.is_linked
                    && predecessor.state == HotRestartState::HandingOver
                    && predecessor.touches != 0
                    && predecessor.ownership.free_offers() > 0
            }
            Step::PredecessorReads => predecessor.may_read(successor),
            Step::SuccessorReads => successor.may_read(predecessor),
            Step::SuccessorSendsInvalid => {
                self.invalid_messages_left > 0 && successor.is_alive && both_linked
            }
            Step::PredecessorSendsInvalid => {
                self.invalid_messages_left > 0 && predecessor.is_alive && both_linked
            }
            Step::PredecessorDies => predecessor.is_alive,
            Step::SuccessorDies => successor.is_alive,
        }
    }

    fn make(&mut self, step: Step) {
        match step {
            Step::Offer => self.offer(),
            Step::PredecessorReads => self.predecessor_reads(),
            Step::SuccessorReads => self.successor_reads(),
            Step::SuccessorSendsInvalid => {
                self.invalid_messages_left -= 1;
                let _ = self.successor.send(&mut self.predecessor, Message::Invalid);
            }
            Step::PredecessorSendsInvalid => {
                self.invalid_messages_left -= 1;
                let _ = self.predecessor.send(&mut self.successor, Message::Invalid);
            }
            Step::PredecessorDies => {
                self.ended |= self.predecessor.touches;
                self.predecessor.die();
            }
            Step::SuccessorDies => {
                // What the predecessor has released was the successor's, read or not.
                self.ended |= self.successor.touches | !self.predecessor.holds;
                self.successor.die();
            }
        }
        // What is in the link ends with the predecessor too, if nobody is left who may read it.
        if !self.predecessor.is_alive && !self.successor.is_linked {
            self.ended |= !self.successor.touches;
        }
    }

    fn offer(&mut self) {
        let predecessor = &mut self.predecessor;
        let connection = predecessor.touches.trailing_zeros() as u8;
        let delivery = predecessor.send(&mut self.successor, Message::Offer(connection));
        if delivery == Delivery::Sent {
            predecessor.touches &= !bits([connection]);
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
            predecessor.holds &= !bits(predecessor.ownership.accept_oldest());
            return;
        }
        // What was accepted before counts still, and nothing after.
        predecessor.is_linked = false;
        for message in std::mem::take(&mut predecessor.inbox) {
            if message == Message::OfferAccepted {
                predecessor.holds &= !bits(predecessor.ownership.accept_oldest());
            }
        }
        let notice = if effect == HotRestartEffect::StopHandover {
            predecessor.send(&mut self.successor, Message::HandoverStopped)
        } else {
            Delivery::PeerGone
        };
        let end = predecessor.ownership.end_handover(notice);
        predecessor.touches |= bits(end.resumed);
        predecessor.holds &= !bits(end.released);
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
        let unconfirmed = bits(successor.ownership.take_unconfirmed());
        if effect == HotRestartEffect::AdoptUnconfirmed {
            successor.touches |= unconfirmed;
        } else {
            successor.holds &= !unconfirmed;
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
                successor.holds |= bits([connection]);
                successor.touches |= bits(adoptable);
                HotRestartInput::OfferReceived
            }
            Err(_) => HotRestartInput::PeerFailed,
        }
    }

    /// What must hold after each step.
    fn violation(&self) -> Option<String> {
        let predecessor = &self.predecessor;
        let successor = &self.successor;
        let both = predecessor.touches & successor.touches;
        if both != 0 {
            return Some(format!("both touch connections {both:#b}"));
        }
        let unheld =
            (predecessor.touches & !predecessor.holds) | (successor.touches & !successor.holds);
        (unheld != 0).then(|| format!("connections {unheld:#b} are touched and not held"))
    }

    /// What must hold where nothing is left to do: every connection that did not end with its owner
    /// belongs to a process that lives.
    fn lost_connections(&self) -> Option<String> {
        let is_quiet = [Step::Offer, Step::PredecessorReads, Step::SuccessorReads]
            .iter()
            .all(|step| !self.may(*step));
        let is_anyone_alive = self.predecessor.is_alive || self.successor.is_alive;
        let owned = self.predecessor.touches | self.successor.touches;
        let lost = ALL_CONNECTIONS & !(owned | self.ended);
        (is_quiet && is_anyone_alive && lost != 0)
            .then(|| format!("connections {lost:#b} are nobody's"))
    }
}

/// What an exploration has seen.
#[derive(Clone, Debug, Default)]
pub struct Explored {
    /// Different states of the two processes and the link.
    pub states: usize,
    /// Steps made between them.
    pub steps: usize,
    /// Length of the longest of the shortest ways to a state, in steps.
    pub depth: usize,
    /// A property that does not hold, and the shortest way there.
    pub found: Option<(String, Vec<Step>)>,
}

/// Explores every order of steps, breadth first, until a property does not hold or all states have
/// been seen.
pub fn explore() -> Explored {
    const { assert!(CONNECTIONS as usize <= MAX_PENDING_OFFERS) };
    let mut explored = Explored::default();
    let mut seen: HashMap<String, Vec<Step>> = HashMap::new();
    let mut level = vec![World::new()];
    seen.insert(level[0].key(), Vec::new());
    while !level.is_empty() {
        let mut next = Vec::new();
        for world in &level {
            let way = seen[&world.key()].clone();
            if let Some(what) = world.violation().or_else(|| world.lost_connections()) {
                explored.found = Some((what, way));
                return explored;
            }
            for step in STEPS.into_iter().filter(|step| world.may(*step)) {
                explored.steps += 1;
                let mut after = world.clone();
                after.make(step);
                if let Entry::Vacant(unseen) = seen.entry(after.key()) {
                    unseen.insert(way.iter().copied().chain([step]).collect());
                    next.push(after);
                }
            }
        }
        explored.states += level.len();
        explored.depth += usize::from(!next.is_empty());
        level = next;
    }
    explored
}
