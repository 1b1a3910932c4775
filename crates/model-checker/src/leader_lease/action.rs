//! What may happen to the contenders, their store and the receivers.

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

/// Something that may happen. Contenders and receivers are numbered from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// A contender puts its node into the queue at the store.
    JoinQueue(usize),
    /// A contender asks the store who is first in the queue.
    SendStoreRequest(usize),
    /// The store reads that request and renews the session.
    HandleStoreRequest(usize),
    /// The store's answer reaches the contender.
    ReceiveStoreAnswer(usize),
    /// A contender's connection to the store breaks, and its request or the answer is lost.
    BreakStoreConnection(usize),
    /// The store ends a session that was not renewed in time.
    ExpireSession(usize),
    /// The store restarts without its sessions.
    LoseAllSessions,
    /// A contender learns that its session has expired.
    LearnOfExpiry(usize),
    /// A leader gives the lead up.
    Resign(usize),
    /// A contender dies, and another process of the same name starts.
    RestartContender(usize),
    /// A contender asks a receiver for its clock.
    RequestClock(Link),
    /// The receiver reads its clock for the contender.
    ReadClock(Link),
    /// That reading reaches the contender.
    ReceiveClock(Link),
    /// A contender makes an order by the reading.
    CreateOrder(Link, OrderPurpose),
    /// It sends the order, which may be some time later.
    SendOrder(Link),
    /// The order of this number among those in flight reaches its receiver. It may do so again.
    DeliverOrder(usize),
    /// A receiver restarts.
    RestartReceiver {
        /// The receiver's number.
        receiver: usize,
        /// Whether it still has the term that it kept on disk.
        has_disk: bool,
    },
    /// The clock goes on by one tick of the model.
    TimePasses,
}

impl fmt::Display for Link {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}, {}", self.contender, self.receiver)
    }
}

impl fmt::Display for LeaseAction {
    /// The action as counterexamples name it.
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
                let only_announces = *purpose == OrderPurpose::AnnounceTerm;
                write!(formatter, "Orders({link}, {only_announces})")
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
