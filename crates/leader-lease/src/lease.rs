//! A candidate at the store.

use crate::Term;
use crate::fence::{FencedOrder, FencingTicket};
#[cfg(feature = "injected-faults")]
use crate::injected_fault::InjectedFault;
use asterramp_injected_faults::is_injected;
use std::time::Duration;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum LeaseState {
    /// No node of its own stands in the queue, as far as it knows.
    #[default]
    Away,
    /// Another is before it.
    Queued,
    /// It is first, and waits until no order of the one before can count.
    Waiting,
    Owns,
}

impl LeaseState {
    pub fn name(self) -> &'static str {
        match self {
            LeaseState::Away => "away",
            LeaseState::Queued => "queued",
            LeaseState::Waiting => "waiting",
            LeaseState::Owns => "owns",
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseSettings {
    /// After which the store ends a session that says nothing.
    pub timeout: Duration,
    /// By how much sooner the owner is over: clocks may run apart by so much in that time.
    pub margin: Duration,
}

#[derive(Clone, Debug)]
pub struct LeaseCandidate {
    terms: LeaseSettings,
    state: LeaseState,
    term: Term,
    /// Until when it may act.
    lease: Duration,
    /// From when on it may begin though not all have heard it.
    begins: Duration,
    #[cfg(feature = "injected-faults")]
    pub injected_fault: Option<InjectedFault>,
}

impl LeaseCandidate {
    pub fn new(terms: LeaseSettings) -> LeaseCandidate {
        LeaseCandidate {
            terms,
            state: LeaseState::Away,
            term: 0,
            lease: Duration::ZERO,
            begins: Duration::ZERO,
            #[cfg(feature = "injected-faults")]
            injected_fault: None,
        }
    }

    pub fn state(&self) -> LeaseState {
        self.state
    }

    pub fn term(&self) -> Term {
        self.term
    }

    /// Whether it may act now.
    pub fn acts(&self, now: Duration) -> bool {
        self.state == LeaseState::Owns && now < self.lease
    }

    /// Its node stands, by the store's answer to a question asked at `asked`.
    pub fn joined(&mut self, now: Duration, asked: Duration, term: Term) {
        (self.state, self.term) = (LeaseState::Queued, term);
        self.heard(now, asked);
    }

    /// The store has answered a question asked at `asked`, so the session stands for its whole time from then on at least.
    pub fn heard(&mut self, now: Duration, asked: Duration) {
        if self.state == LeaseState::Away {
            return;
        }
        let from = if is_injected!(self, LeaseFromAnswer) {
            now
        } else {
            asked
        };
        let margin = if is_injected!(self, NoMargin) {
            Duration::ZERO
        } else {
            self.terms.margin
        };
        self.lease = self.lease.max(from + self.terms.timeout - margin);
    }

    /// The first in the queue, by the same answer.
    pub fn first(&mut self, now: Duration, first: Term) {
        let first = first == self.term || is_injected!(self, AnybodyIsFirst);
        self.state = match (self.state, first) {
            (LeaseState::Away, _) => return,
            (LeaseState::Queued, true) => {
                // The one before may have been taken out of the queue before its time was over.
                self.begins = now + self.terms.timeout;
                if is_injected!(self, BeginsAtOnce) {
                    LeaseState::Owns
                } else {
                    LeaseState::Waiting
                }
            }
            (state @ (LeaseState::Waiting | LeaseState::Owns), true) => state,
            (_, false) => LeaseState::Queued,
        };
    }

    /// All that it could touch have heard its term.
    pub fn all_heard(&mut self) {
        if self.state == LeaseState::Waiting {
            self.state = LeaseState::Owns;
        }
    }

    /// The session has lapsed at the store.
    pub fn expired(&mut self) {
        if !is_injected!(self, ExpiredGoesOn) {
            self.state = LeaseState::Away;
        }
    }

    pub fn tick(&mut self, now: Duration) {
        if self.state == LeaseState::Waiting && now >= self.begins {
            self.state = LeaseState::Owns;
        }
    }

    /// An order for a receiver whose ticket came at `came`, if this may act now: until its own end at most. Asking to be heard is
    /// allowed before it begins.
    pub fn order(
        &mut self,
        now: Duration,
        ticket: FencingTicket,
        came: Duration,
        hear: bool,
    ) -> Option<FencedOrder> {
        self.tick(now);
        let may = self.state == LeaseState::Owns || hear && self.state == LeaseState::Waiting;
        let lasts = if is_injected!(self, NoLease) {
            now + self.terms.timeout
        } else {
            self.lease
        };
        if !may || now >= lasts {
            return None;
        }
        // The clock was read before the ticket came, so this is never too late.
        let left = if is_injected!(self, NoEnd) {
            Duration::from_secs(1 << 20)
        } else {
            lasts.saturating_sub(came)
        };
        let until = if is_injected!(self, OwnClock) {
            lasts
        } else {
            ticket.clock + left
        };
        Some(FencedOrder {
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
