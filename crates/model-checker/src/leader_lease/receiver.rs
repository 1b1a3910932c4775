//! A receiver of orders, and the orders in flight to receivers. All times that are passed in are true ones.

use super::clocks::receiver_time;
use super::reference::FingerprintReference;
use super::violation::LeaseViolation;
use asterramp_leader_lease::{FencingGuard, FencingToken, NO_TERM, ReceiverClock, Term};
use std::time::Duration;

/// An order in flight, which may arrive any number of times.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct OrderInFlight {
    pub(super) receiver: usize,
    pub(super) term: Term,
    incarnation: u64,
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

    /// Equal for orders that count alike.
    pub(super) fn fingerprint(&self, reference: FingerprintReference) -> String {
        let token = reference.relative_token(self.receiver, self.token());
        format!("{}{token:?}", self.receiver)
    }
}

#[derive(Clone, Debug)]
pub(super) struct ReceiverModel {
    number: usize,
    guard: FencingGuard,
    /// The highest term that it has kept on disk.
    pub(super) persisted_term: Term,
    /// The highest term that its present process has accepted or read from its disk.
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

    /// Another process starts that has read `known_term`.
    pub(super) fn restart(&mut self, guard: FencingGuard, known_term: Term) {
        self.guard = guard;
        self.accepted_term = known_term;
    }

    pub(super) fn clock(&self, now: Duration) -> ReceiverClock {
        self.guard.clock(receiver_time(self.number, now))
    }

    /// An order arrives; whether it is accepted.
    pub(super) fn accepts(&mut self, now: Duration, order: &OrderInFlight) -> bool {
        let clock = receiver_time(self.number, now);
        self.guard.check(clock, &order.token()).is_ok()
    }

    /// What must hold of an order that has just been accepted, beside what other processes know.
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

    /// Keeps the term of an order that has just been accepted.
    pub(super) fn record_accepted_term(&mut self, term: Term) -> Result<(), LeaseViolation> {
        self.accepted_term = self.accepted_term.max(term);
        self.persisted_term = self.guard.highest_term();
        if self.persisted_term < self.accepted_term {
            let receiver = self.number;
            return Err(LeaseViolation::TermForgotten { receiver });
        }
        Ok(())
    }

    /// Equal for receivers that behave alike.
    pub(super) fn fingerprint(&self, reference: FingerprintReference) -> String {
        let incarnation = self.guard.clock(Duration::ZERO).incarnation;
        let terms = (self.persisted_term, self.accepted_term);
        format!("{terms:?}{}", reference.later_incarnations(incarnation))
    }
}
