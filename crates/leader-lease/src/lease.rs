//! A candidate at the store.

use crate::fence::{Order, Ticket};
#[cfg(feature = "injected-faults")]
use crate::injected_fault::Plant;
use crate::{Term, planted};
use std::time::Duration;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum State {
    /// No node of its own stands in the queue, as far as it knows.
    #[default]
    Away,
    /// Another is before it.
    Queued,
    /// It is first, and waits until no order of the one before can count.
    Waiting,
    Owns,
}

impl State {
    pub fn name(self) -> &'static str {
        match self {
            State::Away => "away",
            State::Queued => "queued",
            State::Waiting => "waiting",
            State::Owns => "owns",
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// After which the store ends a session that says nothing.
    pub timeout: Duration,
    /// By how much sooner the owner is over: clocks may run apart by so much in that time.
    pub margin: Duration,
}

#[derive(Clone, Debug)]
pub struct Owner {
    terms: Terms,
    state: State,
    term: Term,
    /// Until when it may act.
    lease: Duration,
    /// From when on it may begin though not all have heard it.
    begins: Duration,
    #[cfg(feature = "injected-faults")]
    pub plant: Option<Plant>,
}

impl Owner {
    pub fn new(terms: Terms) -> Owner {
        Owner {
            terms,
            state: State::Away,
            term: 0,
            lease: Duration::ZERO,
            begins: Duration::ZERO,
            #[cfg(feature = "injected-faults")]
            plant: None,
        }
    }

    pub fn state(&self) -> State {
        self.state
    }

    pub fn term(&self) -> Term {
        self.term
    }

    /// Whether it may act now.
    pub fn acts(&self, now: Duration) -> bool {
        self.state == State::Owns && now < self.lease
    }

    /// Its node stands, by the store's answer to a question asked at `asked`.
    pub fn joined(&mut self, now: Duration, asked: Duration, term: Term) {
        (self.state, self.term) = (State::Queued, term);
        self.heard(now, asked);
    }

    /// The store has answered a question asked at `asked`, so the session stands for its whole time from then on at least.
    pub fn heard(&mut self, now: Duration, asked: Duration) {
        if self.state == State::Away {
            return;
        }
        let from = if planted!(self, LeaseFromAnswer) {
            now
        } else {
            asked
        };
        let margin = if planted!(self, NoMargin) {
            Duration::ZERO
        } else {
            self.terms.margin
        };
        self.lease = self.lease.max(from + self.terms.timeout - margin);
    }

    /// The first in the queue, by the same answer.
    pub fn first(&mut self, now: Duration, first: Term) {
        let first = first == self.term || planted!(self, AnybodyIsFirst);
        self.state = match (self.state, first) {
            (State::Away, _) => return,
            (State::Queued, true) => {
                // The one before may have been taken out of the queue before its time was over.
                self.begins = now + self.terms.timeout;
                if planted!(self, BeginsAtOnce) {
                    State::Owns
                } else {
                    State::Waiting
                }
            }
            (state @ (State::Waiting | State::Owns), true) => state,
            (_, false) => State::Queued,
        };
    }

    /// All that it could touch have heard its term.
    pub fn all_heard(&mut self) {
        if self.state == State::Waiting {
            self.state = State::Owns;
        }
    }

    /// The session has lapsed at the store.
    pub fn expired(&mut self) {
        if !planted!(self, ExpiredGoesOn) {
            self.state = State::Away;
        }
    }

    pub fn tick(&mut self, now: Duration) {
        if self.state == State::Waiting && now >= self.begins {
            self.state = State::Owns;
        }
    }

    /// An order for a receiver whose ticket came at `came`, if this may act now: until its own end at most. Asking to be heard is
    /// allowed before it begins.
    pub fn order(
        &mut self,
        now: Duration,
        ticket: Ticket,
        came: Duration,
        hear: bool,
    ) -> Option<Order> {
        self.tick(now);
        let may = self.state == State::Owns || hear && self.state == State::Waiting;
        let lasts = if planted!(self, NoLease) {
            now + self.terms.timeout
        } else {
            self.lease
        };
        if !may || now >= lasts {
            return None;
        }
        // The clock was read before the ticket came, so this is never too late.
        let left = if planted!(self, NoEnd) {
            Duration::from_secs(1 << 20)
        } else {
            lasts.saturating_sub(came)
        };
        let until = if planted!(self, OwnClock) {
            lasts
        } else {
            ticket.clock + left
        };
        Some(Order {
            term: self.term,
            boot: ticket.boot,
            until,
        })
    }

    /// All that it knows, in times from now. For whoever compares many of them.
    pub fn aged(&self, now: Duration) -> String {
        let left = |at: Duration| at.saturating_sub(now).as_millis();
        format!(
            "{:?}{}{:?}",
            self.state,
            self.term,
            (left(self.lease), left(self.begins))
        )
    }
}
