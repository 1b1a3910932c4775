//! Actions of the leader-lease model.

use asterramp_leader_lease::OrderPurpose;
use std::fmt;

/// A contender and a receiver that exchange messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Link {
    /// The contender's number.
    pub contender: usize,
    /// The receiver's number.
    pub receiver: usize,
}

/// An action of the model. Contenders and receivers are numbered from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// A contender creates its node in the queue at the store.
    JoinQueue(usize),
    /// A contender asks the store for the head of the queue.
    SendStoreRequest(usize),
    /// The store handles a contender's request, which renews the contender's session.
    HandleStoreRequest(usize),
    /// The store's answer to a contender's request arrives.
    ReceiveStoreAnswer(usize),
    /// A contender's connection to the store breaks, and its request or the answer is lost.
    BreakStoreConnection(usize),
    /// The store ends a session that was not renewed in time.
    ExpireSession(usize),
    /// The store loses all sessions, as by a restart without its data.
    LoseAllSessions,
    /// A contender learns that its session has expired.
    LearnOfExpiry(usize),
    /// A leader resigns: its session ends and its process starts anew.
    Resign(usize),
    /// A contender's process terminates without ending its session, and a new process starts in its place.
    RestartContender(usize),
    /// A contender requests a reading of a receiver's clock.
    RequestClock(Link),
    /// The receiver reads its clock for the contender.
    ReadClock(Link),
    /// The reading of a receiver's clock arrives at the contender.
    ReceiveClock(Link),
    /// A contender creates an order, whose expiry is based on its reading of the receiver's clock.
    CreateOrder(Link, OrderPurpose),
    /// A contender sends an order that it has created, possibly some time before.
    SendOrder(Link),
    /// The order with this index among those in flight arrives at its receiver. It stays in flight, so it may arrive
    /// again.
    DeliverOrder(usize),
    /// A receiver restarts.
    RestartReceiver {
        /// The receiver's number.
        receiver: usize,
        /// Whether the receiver still has its disk, which holds the highest term that it has accepted.
        has_disk: bool,
    },
    /// The true time advances by `TICK`.
    TimePasses,
}

impl fmt::Display for Link {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}, {}", self.contender, self.receiver)
    }
}

impl fmt::Display for LeaseAction {
    /// Formats the action as counterexamples print it. These texts are stable, so they differ from the variants' names.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        use LeaseAction::*;
        match self {
            JoinQueue(contender) => write!(formatter, "Join({contender})"),
            SendStoreRequest(contender) => write!(formatter, "Ask({contender})"),
            HandleStoreRequest(contender) => write!(formatter, "StoreHears({contender})"),
            ReceiveStoreAnswer(contender) => write!(formatter, "Answer({contender})"),
            BreakStoreConnection(contender) => write!(formatter, "Breaks({contender})"),
            ExpireSession(contender) => write!(formatter, "Expires({contender})"),
            LoseAllSessions => formatter.write_str("StoreForgets"),
            LearnOfExpiry(contender) => write!(formatter, "HearsOfIt({contender})"),
            Resign(contender) => write!(formatter, "Leaves({contender})"),
            RestartContender(contender) => write!(formatter, "Dies({contender})"),
            RequestClock(link) => write!(formatter, "Ticket({link})"),
            ReadClock(link) => write!(formatter, "Written({link})"),
            ReceiveClock(link) => write!(formatter, "Comes({link})"),
            CreateOrder(link, purpose) => {
                let is_announcement = *purpose == OrderPurpose::AnnounceTerm;
                write!(formatter, "Orders({link}, {is_announcement})")
            }
            SendOrder(link) => write!(formatter, "Sends({link})"),
            DeliverOrder(number) => write!(formatter, "Reads({number})"),
            RestartReceiver { receiver, has_disk } => {
                write!(formatter, "Restarts({receiver}, {has_disk})")
            }
            TimePasses => formatter.write_str("Passes"),
        }
    }
}
