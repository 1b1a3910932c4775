//! The contender's side: when one process may lead, and until when.

#[cfg(feature = "injected-faults")]
use crate::injected_fault::InjectedFault;
use crate::{FencingToken, NO_TERM, ReceiverClock, Term};
use asterramp_injected_faults::is_injected;
use std::time::Duration;

/// Where a contender stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum LeaseState {
    /// It has no node in the queue, as far as it knows.
    #[default]
    NotQueued,
    /// Its node is in the queue behind another.
    Queued,
    /// Its node is first, and it waits until no order of its predecessor can count.
    AwaitingPredecessor,
    /// It leads while its lease lasts.
    Leader,
}

impl LeaseState {
    /// The state as the command line prints it.
    pub fn name(self) -> &'static str {
        match self {
            LeaseState::NotQueued => "away",
            LeaseState::Queued => "queued",
            LeaseState::AwaitingPredecessor => "waiting",
            LeaseState::Leader => "owns",
        }
    }
}

/// The spans of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseSettings {
    /// Time after which the store ends a session that sends nothing.
    pub session_timeout: Duration,
    /// How much sooner than the session a lease ends. It bounds by how much the clocks of contender and store may drift
    /// apart in one `session_timeout`, so it must be below that.
    pub clock_margin: Duration,
}

/// What a leader's order is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderPurpose {
    /// Only to make the new term known, so that the receiver rejects the predecessor's orders. It needs no lead yet.
    AnnounceTerm,
    /// To have something done.
    Command,
}

/// One contender for the lead.
///
/// | state | input | next state | effect |
/// | --- | --- | --- | --- |
/// | any | [`joined_queue`](Self::joined_queue) | `Queued` | the term is its node's, the lease is renewed |
/// | not `NotQueued` | [`store_answered`](Self::store_answered) | same | the lease is renewed |
/// | `Queued` | [`queue_head_read`](Self::queue_head_read) is its own term | `AwaitingPredecessor` | the wait begins |
/// | `AwaitingPredecessor`, `Leader` | `queue_head_read` is its own term | same | |
/// | not `NotQueued` | `queue_head_read` is another's term | `Queued` | |
/// | `AwaitingPredecessor` | [`all_receivers_accepted_term`](Self::all_receivers_accepted_term) | `Leader` | |
/// | `AwaitingPredecessor` | [`tick`](Self::tick) at the end of the wait | `Leader` | |
/// | any | [`session_expired`](Self::session_expired) | `NotQueued` | |
#[derive(Clone, Debug)]
pub struct LeaseContender {
    settings: LeaseSettings,
    state: LeaseState,
    term: Term,
    /// Until when it may act.
    lease_expires_at: Duration,
    /// When the wait for the predecessor ends, though not all receivers know the new term.
    wait_ends_at: Duration,
    /// The fault that the model checker has injected.
    #[cfg(feature = "injected-faults")]
    pub injected_fault: Option<InjectedFault>,
}

/// How long an order lasts that has no end in practice; only for an injected fault.
const UNBOUNDED: Duration = Duration::from_secs(1 << 20);

impl LeaseContender {
    /// A contender that has not queued yet.
    pub fn new(settings: LeaseSettings) -> LeaseContender {
        LeaseContender {
            settings,
            state: LeaseState::NotQueued,
            term: NO_TERM,
            lease_expires_at: Duration::ZERO,
            wait_ends_at: Duration::ZERO,
            #[cfg(feature = "injected-faults")]
            injected_fault: None,
        }
    }

    /// Where it stands, as of the last input.
    pub fn state(&self) -> LeaseState {
        self.state
    }

    /// The term of its node, [`NO_TERM`] before it has queued. It stays after the session has expired.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Whether it may act at `now`: it leads and its lease lasts.
    pub fn holds_valid_lease(&self, now: Duration) -> bool {
        self.state == LeaseState::Leader && now < self.lease_expires_at
    }

    /// Its node exists with this term, by the store's answer to a request sent at `sent_at`.
    pub fn joined_queue(&mut self, now: Duration, sent_at: Duration, term: Term) {
        self.state = LeaseState::Queued;
        self.term = term;
        self.store_answered(now, sent_at);
    }

    /// The store has answered a request sent at `sent_at`, which renews the lease.
    ///
    /// The store read the request at `sent_at` or later, so the session lasts at least one timeout from then.
    pub fn store_answered(&mut self, now: Duration, sent_at: Duration) {
        if self.state == LeaseState::NotQueued {
            return;
        }
        let renewed_at = if is_injected!(self, LeaseFromAnswer) {
            now
        } else {
            sent_at
        };
        let margin = if is_injected!(self, NoClockMargin) {
            Duration::ZERO
        } else {
            self.settings.clock_margin
        };
        let expires_at = renewed_at + self.settings.session_timeout - margin;
        self.lease_expires_at = self.lease_expires_at.max(expires_at);
    }

    /// The lowest term in the queue, by the store's answer.
    pub fn queue_head_read(&mut self, now: Duration, head: Term) {
        let is_first = head == self.term || is_injected!(self, AnyQueuedLeads);
        self.state = match (self.state, is_first) {
            (LeaseState::NotQueued, _) => LeaseState::NotQueued,
            (LeaseState::Queued, true) => {
                // The predecessor's node may have been removed before its lease was over.
                self.wait_ends_at = now + self.settings.session_timeout;
                if is_injected!(self, LeadsAtOnce) {
                    LeaseState::Leader
                } else {
                    LeaseState::AwaitingPredecessor
                }
            }
            (LeaseState::AwaitingPredecessor, true) => LeaseState::AwaitingPredecessor,
            (LeaseState::Leader, true) => LeaseState::Leader,
            (_, false) => LeaseState::Queued,
        };
    }

    /// Every receiver has accepted this term, so that none accepts an order of a predecessor any more.
    pub fn all_receivers_accepted_term(&mut self) {
        if self.state == LeaseState::AwaitingPredecessor {
            self.state = LeaseState::Leader;
        }
    }

    /// The session has expired at the store, and its node with it.
    pub fn session_expired(&mut self) {
        if !is_injected!(self, IgnoresSessionExpiry) {
            self.state = LeaseState::NotQueued;
        }
    }

    /// Ends the wait for the predecessor once it has lasted a whole session timeout. May be called at any time.
    pub fn tick(&mut self, now: Duration) {
        if self.state == LeaseState::AwaitingPredecessor && now >= self.wait_ends_at {
            self.state = LeaseState::Leader;
        }
    }

    /// The token of an order made at `now` for the receiver whose clock this contender read at `read_at`.
    ///
    /// The order ends with the lease. `None` if the contender may not give it: it neither leads nor, for
    /// [`OrderPurpose::AnnounceTerm`], waits for its predecessor, or its lease is over.
    pub fn order(
        &mut self,
        now: Duration,
        receiver: ReceiverClock,
        read_at: Duration,
        purpose: OrderPurpose,
    ) -> Option<FencingToken> {
        self.tick(now);
        let allowed = match self.state {
            LeaseState::Leader => true,
            LeaseState::AwaitingPredecessor => purpose == OrderPurpose::AnnounceTerm,
            LeaseState::NotQueued | LeaseState::Queued => false,
        };
        let lease_expires_at = if is_injected!(self, IgnoresLeaseExpiry) {
            now + self.settings.session_timeout
        } else {
            self.lease_expires_at
        };
        if !allowed || now >= lease_expires_at {
            return None;
        }
        Some(FencingToken {
            term: self.term,
            incarnation: receiver.incarnation,
            expires_at: self.expiry_by_receiver(receiver, read_at, lease_expires_at),
        })
    }

    /// The end of the lease by a receiver's clock. The receiver read its clock before this contender had the reading at
    /// `read_at`, so the result is never too late.
    fn expiry_by_receiver(
        &self,
        receiver: ReceiverClock,
        read_at: Duration,
        lease_expires_at: Duration,
    ) -> Duration {
        if is_injected!(self, ExpiryByOwnClock) {
            return lease_expires_at;
        }
        let remaining = if is_injected!(self, OrdersNeverExpire) {
            UNBOUNDED
        } else {
            lease_expires_at.saturating_sub(read_at)
        };
        receiver.now + remaining
    }

    /// Everything it knows, with times relative to `now`: equal for contenders that will behave alike. The model checker
    /// compares contenders by it.
    pub fn state_key(&self, now: Duration) -> String {
        let lease_remaining = self.lease_expires_at.saturating_sub(now).as_millis();
        let wait_remaining = self.wait_ends_at.saturating_sub(now).as_millis();
        format!(
            "{:?}{}{:?}",
            self.state,
            self.term,
            (lease_remaining, wait_remaining)
        )
    }
}
