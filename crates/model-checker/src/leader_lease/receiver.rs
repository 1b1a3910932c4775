//! A receiver of orders in the leader-lease model, and the orders in flight. Parameters named `now` are true time.

use super::clocks::receiver_time;
use super::reference::FingerprintReference;
use super::violation::LeaseViolation;
use asterramp_leader_lease::{FencingGuard, FencingToken, NO_TERM, ReceiverClock, Term};
use std::time::Duration;

/// An order in flight, which may be delivered any number of times.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct OrderInFlight {
    pub(super) receiver: usize,
    pub(super) term: Term,
    /// The receiver's process that the order is for.
    incarnation: u64,
    /// When the order expires, by the receiver's clock.
    expires_at: Duration,
}

impl OrderInFlight {
    pub(super) fn new(receiver: usize, token: FencingToken) -> OrderInFlight {
        OrderInFlight {
            receiver,
            term: token.term,
            incarnation: token.incarnation,
            expires_at: token.expires_at,
        }
    }

    fn token(&self) -> FencingToken {
        FencingToken {
            term: self.term,
            incarnation: self.incarnation,
            expires_at: self.expires_at,
        }
    }

    /// Text that is equal for orders with the same effect.
    pub(super) fn fingerprint(&self, reference: FingerprintReference) -> String {
        let token = reference.relative_token(self.receiver, self.token());
        format!("{}{token:?}", self.receiver)
    }
}

/// State of a receiver.
#[derive(Clone, Debug)]
pub(super) struct ReceiverModel {
    number: usize,
    guard: FencingGuard,
    /// The highest term that the receiver has stored on disk.
    pub(super) persisted_term: Term,
    /// The highest term that the receiver's current process has accepted or has read from disk.
    accepted_term: Term,
}

impl ReceiverModel {
    pub(super) fn new(number: usize, guard: FencingGuard) -> ReceiverModel {
        ReceiverModel {
            number,
            guard,
            persisted_term: NO_TERM,
            accepted_term: NO_TERM,
        }
    }

    /// A new process of the receiver starts. `known_term` is the term that it has read from disk, [`NO_TERM`] without a
    /// disk.
    pub(super) fn restart(&mut self, guard: FencingGuard, known_term: Term) {
        self.guard = guard;
        self.accepted_term = known_term;
    }

    pub(super) fn clock(&self, now: Duration) -> ReceiverClock {
        self.guard.clock(receiver_time(self.number, now))
    }

    /// Handles the arrival of an order. Returns whether the order is accepted.
    pub(super) fn handle_order(&mut self, now: Duration, order: &OrderInFlight) -> bool {
        let clock = receiver_time(self.number, now);
        self.guard.check(clock, &order.token()).is_ok()
    }

    /// Checks an order that has just been accepted against the receiver's own state: it is for the current process, has
    /// not expired, and its term is not lower than one that was accepted before.
    pub(super) fn check_accepted(
        &self,
        now: Duration,
        order: &OrderInFlight,
    ) -> Result<(), LeaseViolation> {
        let receiver = self.number;
        let clock = self.clock(now);
        if order.incarnation != clock.incarnation {
            return Err(LeaseViolation::OtherIncarnationAccepted { receiver });
        }
        if clock.now >= order.expires_at {
            return Err(LeaseViolation::ExpiredOrderAccepted { receiver });
        }
        if order.term < self.accepted_term {
            return Err(LeaseViolation::StaleTermAccepted {
                receiver,
                term: order.term,
                accepted: self.accepted_term,
            });
        }
        Ok(())
    }

    /// Records the term of an order that has just been accepted, and checks that the guard has kept it.
    pub(super) fn record_accepted_term(&mut self, term: Term) -> Result<(), LeaseViolation> {
        self.accepted_term = self.accepted_term.max(term);
        self.persisted_term = self.guard.highest_term();
        if self.persisted_term < self.accepted_term {
            let receiver = self.number;
            return Err(LeaseViolation::TermForgotten { receiver });
        }
        Ok(())
    }

    /// Text that is equal for receivers with the same future behaviour.
    pub(super) fn fingerprint(&self, reference: FingerprintReference) -> String {
        let incarnation = self.guard.clock(Duration::ZERO).incarnation;
        let terms = (self.persisted_term, self.accepted_term);
        format!("{terms:?}{}", reference.later_incarnations(incarnation))
    }
}
