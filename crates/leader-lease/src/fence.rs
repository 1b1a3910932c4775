//! The receiver's side: which orders of which leader still count.

#[cfg(feature = "injected-faults")]
use crate::injected_fault::InjectedFault;
use crate::{NO_TERM, Term};
use asterramp_injected_faults::is_injected;
use std::error::Error;
use std::fmt;
use std::time::Duration;

/// A receiver's clock as a leader has read it, so that an order can state its end in the receiver's time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ReceiverClock {
    /// The receiver's process: another after each start.
    pub incarnation: u64,
    /// The time since that process's clock began.
    pub now: Duration,
}

/// What an order carries beside what is ordered, for the receiver to tell whether it still counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct FencingToken {
    /// The term of the leader that gave the order.
    pub term: Term,
    /// The process of the receiver for which it was made.
    pub incarnation: u64,
    /// When the order ends, by that process's clock. At that time it counts no more.
    pub expires_at: Duration,
}

/// Why a receiver rejects an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderRejection {
    /// An order of a later leader has been accepted.
    StaleTerm,
    /// The order came at its end or after it.
    Expired,
    /// The order was made for an earlier process of this receiver.
    OtherIncarnation,
    /// The order has [`NO_TERM`].
    NoTerm,
}

impl OrderRejection {
    /// The reason as the sender of the order and the log read it.
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

/// Decides for one process of a receiver which orders still count.
///
/// It needs no connection to the store: terms grow, so that an order of a former leader is known by its term as soon as the
/// successor has been heard, and by its end before that.
#[derive(Clone, Debug, Default)]
pub struct FencingGuard {
    incarnation: u64,
    highest_term: Term,
    /// The fault that the model checker has injected.
    #[cfg(feature = "injected-faults")]
    pub injected_fault: Option<InjectedFault>,
}

impl FencingGuard {
    /// The guard of a process that has just started.
    ///
    /// `highest_term` is the highest term that earlier processes of this receiver accepted and kept, [`NO_TERM`] where
    /// nothing is kept.
    pub fn new(incarnation: u64, highest_term: Term) -> FencingGuard {
        FencingGuard {
            incarnation,
            highest_term,
            #[cfg(feature = "injected-faults")]
            injected_fault: None,
        }
    }

    /// The highest term of an accepted order. It should outlive the process: see [`FencingGuard::new`].
    pub fn highest_term(&self) -> Term {
        self.highest_term
    }

    /// What a leader has to know of this receiver before it gives an order.
    pub fn clock(&self, now: Duration) -> ReceiverClock {
        ReceiverClock {
            incarnation: self.incarnation,
            now,
        }
    }

    /// Accepts an order that still counts at `now`, and keeps its term as the highest.
    ///
    /// # Errors
    ///
    /// The first that holds of: no term, made for another process, expired, of a former leader.
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
