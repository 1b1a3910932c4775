//! The contender's side: when a process may lead, and until when it may give orders.

#[cfg(feature = "injected-faults")]
use crate::injected_fault::InjectedFault;
use crate::{FencingToken, NO_TERM, ReceiverClock, Term};
use asterramp_injected_faults::is_injected;
use std::time::Duration;

/// State of a contender.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum LeaseState {
    /// It has no node in the queue at the store, as far as it knows.
    #[default]
    NotQueued,
    /// Its node is in the queue behind another.
    Queued,
    /// Its node is first, and it waits until no order of its predecessor can be accepted any more.
    AwaitingPredecessor,
    /// It is the leader, but may give orders only while its lease lasts.
    Leader,
}

impl LeaseState {
    /// The state's name, as the command line prints it. Operators' tools read these names, so they stay as they are.
    pub fn name(self) -> &'static str {
        match self {
            LeaseState::NotQueued => "away",
            LeaseState::Queued => "queued",
            LeaseState::AwaitingPredecessor => "waiting",
            LeaseState::Leader => "owns",
        }
    }
}

/// The durations from which the end of a lease is computed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseSettings {
    /// Time after which the store ends a session that has sent no request.
    pub session_timeout: Duration,
    /// How much sooner than the session a lease ends; must be less than `session_timeout`. The clocks of contender and store
    /// may drift apart by at most this much in one `session_timeout`.
    pub clock_margin: Duration,
}

/// Purpose of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderPurpose {
    /// Only announces the new term, so that the receiver rejects the predecessor's orders. A contender may give it before
    /// it is the leader.
    AnnounceTerm,
    /// Commands the receiver to do something.
    Command,
}

/// One contender for leadership.
///
/// | state | input | next state | effect |
/// | --- | --- | --- | --- |
/// | any | [`joined_queue`](Self::joined_queue) | `Queued` | the term is its node's, the lease is renewed |
/// | not `NotQueued` | [`store_answered`](Self::store_answered) | same | the lease is renewed |
/// | `Queued` | [`queue_head_read`](Self::queue_head_read) is its own term | `AwaitingPredecessor` | the wait begins |
/// | `AwaitingPredecessor`, `Leader` | `queue_head_read` is its own term | same | |
/// | not `NotQueued` | `queue_head_read` is another's term | `Queued` | |
/// | `AwaitingPredecessor` | [`all_receivers_accepted_term`](Self::all_receivers_accepted_term) | `Leader` | |
/// | `AwaitingPredecessor` | [`tick`](Self::tick) after the end of the wait | `Leader` | |
/// | any | [`session_expired`](Self::session_expired) | `NotQueued` | |
#[derive(Clone, Debug)]
pub struct LeaseContender {
    settings: LeaseSettings,
    state: LeaseState,
    term: Term,
    /// Until when it may give orders.
    lease_expires_at: Duration,
    /// When the wait for the predecessor ends even if not all receivers have accepted the new term.
    wait_ends_at: Duration,
    /// The fault that the model checker injects; `None` for none.
    #[cfg(feature = "injected-faults")]
    pub injected_fault: Option<InjectedFault>,
}

/// Validity of orders that in practice never expire (12 days), for the injected fault `OrdersNeverExpire`.
const UNBOUNDED_VALIDITY: Duration = Duration::from_secs(1 << 20);

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

    /// The state as of the last input. A leader in this state may have an expired lease: see
    /// [`holds_valid_lease`](Self::holds_valid_lease).
    pub fn state(&self) -> LeaseState {
        self.state
    }

    /// The term of its node; [`NO_TERM`] before it has first queued. Kept after the session has expired.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Whether it may command receivers at `now`: it is the leader and its lease has not expired.
    pub fn holds_valid_lease(&self, now: Duration) -> bool {
        self.state == LeaseState::Leader && now < self.lease_expires_at
    }

    /// The store has answered a request sent at `sent_at` that its node exists with this term.
    pub fn joined_queue(&mut self, now: Duration, sent_at: Duration, term: Term) {
        self.state = LeaseState::Queued;
        self.term = term;
        self.store_answered(now, sent_at);
    }

    /// The store has answered a request sent at `sent_at`, which renews the lease.
    ///
    /// The store received the request at `sent_at` or later, so the session lasts at least one timeout from `sent_at`.
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

    /// The store has answered that `head` is the lowest term in the queue.
    pub fn queue_head_read(&mut self, now: Duration, head: Term) {
        let is_first = head == self.term || is_injected!(self, AnyQueuedLeads);
        self.state = match (self.state, is_first) {
            (LeaseState::NotQueued, _) => LeaseState::NotQueued,
            (LeaseState::Queued, true) => {
                // The predecessor's node may have been removed before its lease expired.
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

    /// Every receiver has accepted this contender's term, so that none accepts an order of a predecessor any more.
    pub fn all_receivers_accepted_term(&mut self) {
        if self.state == LeaseState::AwaitingPredecessor {
            self.state = LeaseState::Leader;
        }
    }

    /// The session has expired at the store, which has removed the contender's node.
    pub fn session_expired(&mut self) {
        if !is_injected!(self, IgnoresSessionExpiry) {
            self.state = LeaseState::NotQueued;
        }
    }

    /// Ends the wait for the predecessor after a whole session timeout. May be called at any time.
    pub fn tick(&mut self, now: Duration) {
        if self.state == LeaseState::AwaitingPredecessor && now >= self.wait_ends_at {
            self.state = LeaseState::Leader;
        }
    }

    /// The token for an order given at `now` to the receiver whose clock this contender read at `read_at`.
    ///
    /// The order expires with the lease. `None` if the contender may not give it, because its lease has expired or it is
    /// not the leader. For [`OrderPurpose::AnnounceTerm`] it may also be waiting for its predecessor.
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

    /// The end of the lease by a receiver's clock. The receiver read its clock before this contender got the reading at
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
            UNBOUNDED_VALIDITY
        } else {
            lease_expires_at.saturating_sub(read_at)
        };
        receiver.now + remaining
    }

    /// The whole state as text, with times relative to `now`: two contenders with equal keys behave alike. The model checker
    /// uses it to recognise states that it has already explored.
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
