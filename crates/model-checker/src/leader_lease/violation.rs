//! The properties of leases and orders that may not hold.

use asterramp_leader_lease::Term;
use thiserror::Error;

/// A property of leases and orders that does not hold.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LeaseViolation {
    /// A contender makes an order though it has no session any more.
    #[error("candidate {contender} orders, and the store has ended its session")]
    OrderWithoutSession {
        /// The contender's number.
        contender: usize,
    },
    /// An order counts for longer than the session that it is made under.
    #[error("an order of candidate {contender} outlives its session")]
    OrderOutlivesSession {
        /// The contender's number.
        contender: usize,
    },
    /// A contender makes an order though it is not first in the queue.
    #[error("candidate {contender} orders, and is not first")]
    OrderWithoutLead {
        /// The contender's number.
        contender: usize,
    },
    /// A contender knows that its session has expired, and still is in the queue or leads.
    #[error("candidate {contender} goes on though its session has lapsed")]
    ExpiryIgnored {
        /// The contender's number.
        contender: usize,
    },
    /// A receiver accepts an order that was made for an earlier process of it.
    #[error("receiver {receiver} takes an order for the process before it")]
    OtherIncarnationAccepted {
        /// The receiver's number.
        receiver: usize,
    },
    /// A receiver accepts an order at its end or later.
    #[error("receiver {receiver} takes an order after its end")]
    ExpiredOrderAccepted {
        /// The receiver's number.
        receiver: usize,
    },
    /// A receiver accepts an order of a lower term than one that it has accepted.
    #[error("receiver {receiver} takes one of {term} after one of {accepted}")]
    StaleTermAccepted {
        /// The receiver's number.
        receiver: usize,
        /// The order's term.
        term: Term,
        /// The highest term that it has accepted.
        accepted: Term,
    },
    /// A receiver accepts an order though a later leader leads already.
    #[error("receiver {receiver} takes one of {term}, and {later} has begun")]
    FormerLeaderAccepted {
        /// The receiver's number.
        receiver: usize,
        /// The order's term.
        term: Term,
        /// The later leader's term.
        later: Term,
    },
    /// A receiver does not remember the highest term that it has accepted.
    #[error("receiver {receiver} forgets the term that it heard")]
    TermForgotten {
        /// The receiver's number.
        receiver: usize,
    },
}
