//! The receiver's side: which orders are accepted, and which are rejected as stale.

#[cfg(feature = "injected-faults")]
use crate::injected_fault::InjectedFault;
use crate::{NO_TERM, Term};
use asterramp_injected_faults::is_injected;
use std::error::Error;
use std::fmt;
use std::time::Duration;

/// A reading of a receiver's clock, by which a leader states when its order expires in the receiver's time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ReceiverClock {
    /// Number of the receiver's process; different after each start.
    pub incarnation: u64,
    /// Time since that process's clock began.
    pub now: Duration,
}

/// The part of an order by which the receiver decides whether to accept it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct FencingToken {
    /// The term of the leader that gave the order.
    pub term: Term,
    /// The process of the receiver for which the order was made.
    pub incarnation: u64,
    /// When the order expires, by that process's clock. An order that arrives at this time is already rejected.
    pub expires_at: Duration,
}

/// Why a receiver rejected an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderRejection {
    /// An order of a later leader has been accepted.
    StaleTerm,
    /// The order arrived when it had expired.
    Expired,
    /// The order was made for an earlier process of this receiver.
    OtherIncarnation,
    /// The order's term is [`NO_TERM`].
    NoTerm,
}

impl OrderRejection {
    /// The reason, as it is sent back to the leader and logged. Operators' tools match these texts, so they stay as they
    /// are.
    pub fn reason(self) -> &'static str {
        match self {
            OrderRejection::StaleTerm => "a later owner has been heard",
            OrderRejection::Expired => "the order's time is over",
            OrderRejection::OtherIncarnation => "the order was made for another process",
            OrderRejection::NoTerm => "the order names no term",
        }
    }
}

impl fmt::Display for OrderRejection {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.reason())
    }
}

impl Error for OrderRejection {}

/// Decides for one process of a receiver which orders it accepts.
///
/// It needs no connection to the store. Terms only grow, so an order of a former leader is rejected by its term once an
/// order of the successor has been accepted, and before that by its expiry.
#[derive(Clone, Debug, Default)]
pub struct FencingGuard {
    incarnation: u64,
    highest_term: Term,
    /// The fault that the model checker injects; `None` for none.
    #[cfg(feature = "injected-faults")]
    pub injected_fault: Option<InjectedFault>,
}

impl FencingGuard {
    /// The guard of a process that has just started.
    ///
    /// `highest_term` is the highest term that earlier processes of this receiver accepted and saved; [`NO_TERM`] if none is
    /// saved.
    pub fn new(incarnation: u64, highest_term: Term) -> FencingGuard {
        FencingGuard {
            incarnation,
            highest_term,
            #[cfg(feature = "injected-faults")]
            injected_fault: None,
        }
    }

    /// The highest term of an accepted order. The caller should save it for the next process: see [`FencingGuard::new`].
    pub fn highest_term(&self) -> Term {
        self.highest_term
    }

    /// The clock reading that a leader needs before it gives this receiver an order.
    pub fn clock(&self, now: Duration) -> ReceiverClock {
        ReceiverClock {
            incarnation: self.incarnation,
            now,
        }
    }

    /// Accepts an order that is valid at `now`, and records its term as the highest.
    ///
    /// # Errors
    ///
    /// The first of these that applies: no term, made for another process, expired, from a former leader.
    pub fn check(&mut self, now: Duration, token: &FencingToken) -> Result<(), OrderRejection> {
        if token.term == NO_TERM {
            return Err(OrderRejection::NoTerm);
        }
        if token.incarnation != self.incarnation && !is_injected!(self, AcceptsAnyIncarnation) {
            return Err(OrderRejection::OtherIncarnation);
        }
        if now >= token.expires_at && !is_injected!(self, AcceptsExpired) {
            return Err(OrderRejection::Expired);
        }
        if token.term < self.highest_term && !is_injected!(self, AcceptsStaleTerm) {
            return Err(OrderRejection::StaleTerm);
        }
        if !is_injected!(self, ForgetsTerm) {
            self.highest_term = token.term;
        }
        Ok(())
    }
}
