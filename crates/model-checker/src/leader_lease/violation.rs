//! Violations of the properties of leases and orders.

use asterramp_leader_lease::Term;
use thiserror::Error;

/// A violated property of leases and orders.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LeaseViolation {
    /// A contender creates an order though its session has ended.
    #[error("candidate {contender} orders, and the store has ended its session")]
    OrderWithoutSession {
        /// The contender's number.
        contender: usize,
    },
    /// An order expires later than the session under which it was created.
    #[error("an order of candidate {contender} outlives its session")]
    OrderOutlivesSession {
        /// The contender's number.
        contender: usize,
    },
    /// A contender creates a command though it is not at the head of the queue.
    #[error("candidate {contender} orders, and is not first")]
    OrderWithoutLead {
        /// The contender's number.
        contender: usize,
    },
    /// A contender has learned that its session has expired, and still counts itself as queued or leader.
    #[error("candidate {contender} goes on though its session has lapsed")]
    ExpiryIgnored {
        /// The contender's number.
        contender: usize,
    },
    /// A receiver accepts an order for an earlier process of the receiver.
    #[error("receiver {receiver} takes an order for the process before it")]
    OtherIncarnationAccepted {
        /// The receiver's number.
        receiver: usize,
    },
    /// A receiver accepts an order at or after its expiry.
    #[error("receiver {receiver} takes an order after its end")]
    ExpiredOrderAccepted {
        /// The receiver's number.
        receiver: usize,
    },
    /// A receiver accepts an order with a lower term than one that it has accepted before.
    #[error("receiver {receiver} takes one of {term} after one of {accepted}")]
    StaleTermAccepted {
        /// The receiver's number.
        receiver: usize,
        /// The order's term.
        term: Term,
        /// The highest term that the receiver has accepted.
        accepted: Term,
    },
    /// A receiver accepts an order though a contender with a later term is or was leader.
    #[error("receiver {receiver} takes one of {term}, and {later} has begun")]
    FormerLeaderAccepted {
        /// The receiver's number.
        receiver: usize,
        /// The order's term.
        term: Term,
        /// The later leader's term.
        later: Term,
    },
    /// The highest term that a receiver's guard holds is lower than one that the receiver has accepted.
    #[error("receiver {receiver} forgets the term that it heard")]
    TermForgotten {
        /// The receiver's number.
        receiver: usize,
    },
}
