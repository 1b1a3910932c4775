//! A receiver of orders, and the orders in flight to receivers.

use super::violation::LeaseViolation;
use asterramp_leader_lease::{FencingGuard, FencingToken, ReceiverClock, Term};
use std::time::Duration;

/// How far each receiver's clock is ahead of the truth.
const CLOCK_AHEAD: [Duration; RECEIVERS] = [Duration::from_secs(86_400), Duration::ZERO];
/// How far each receiver's clock is behind the truth.
const CLOCK_BEHIND: [Duration; RECEIVERS] = [Duration::ZERO, Duration::from_secs(500)];
pub(super) const RECEIVERS: usize = 2;

/// The time by a receiver's clock.
pub(super) fn time_by_receiver(receiver: usize, now: Duration) -> Duration {
    now + CLOCK_AHEAD[receiver] - CLOCK_BEHIND[receiver]
}

/// The true time at which a receiver's clock shows `time`.
pub(super) fn true_time(receiver: usize, time: Duration) -> Duration {
    (time + CLOCK_BEHIND[receiver]).saturating_sub(CLOCK_AHEAD[receiver])
}

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

    /// Equal for orders that count alike from `now` on.
    pub(super) fn fingerprint(&self, now: Duration, incarnations: u64) -> String {
        let token = fingerprint_of_token(self.receiver, &self.token(), now, incarnations);
        format!("{}{token}", self.receiver)
    }
}

/// Equal for tokens that count alike from `now` on; `incarnations` is the number of receivers' processes so far.
pub(super) fn fingerprint_of_token(
    receiver: usize,
    token: &FencingToken,
    now: Duration,
    incarnations: u64,
) -> String {
    let remaining = token
        .expires_at
        .saturating_sub(time_by_receiver(receiver, now));
    let age = incarnations - token.incarnation;
    format!("{:?}", (token.term, age, remaining.as_millis()))
}

#[derive(Clone, Debug)]
pub(super) struct ReceiverModel {
    number: usize,
    guard: FencingGuard,
    /// The highest term that it has kept on disk.
    pub(super) kept_term: Term,
    /// The highest term that its present process has accepted or read from its disk.
    accepted_term: Term,
}

impl ReceiverModel {
    pub(super) fn new(number: usize, guard: FencingGuard) -> ReceiverModel {
        ReceiverModel {
            number,
            guard,
            kept_term: 0,
            accepted_term: 0,
        }
    }

    /// Another process starts that has read `known_term`.
    pub(super) fn restart(&mut self, guard: FencingGuard, known_term: Term) {
        self.guard = guard;
        self.accepted_term = known_term;
    }

    pub(super) fn clock(&self, now: Duration) -> ReceiverClock {
        self.guard.clock(time_by_receiver(self.number, now))
    }

    /// An order arrives; whether it is accepted.
    pub(super) fn accepts(&mut self, now: Duration, order: &OrderInFlight) -> bool {
        let clock = time_by_receiver(self.number, now);
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
    pub(super) fn keep_term(&mut self, term: Term) -> Result<(), LeaseViolation> {
        self.accepted_term = self.accepted_term.max(term);
        self.kept_term = self.guard.highest_term();
        if self.kept_term < self.accepted_term {
            let receiver = self.number;
            return Err(LeaseViolation::TermForgotten { receiver });
        }
        Ok(())
    }

    /// Equal for receivers that behave alike; `incarnations` is the number of receivers' processes so far.
    pub(super) fn fingerprint(&self, incarnations: u64) -> String {
        let incarnation = self.guard.clock(Duration::ZERO).incarnation;
        let terms = (self.kept_term, self.accepted_term);
        format!("{terms:?}{}", incarnations - incarnation)
    }
}
