//! A contender of the leader-lease model, with its pending requests and orders. Parameters named `now` are true time.

use super::clocks::contender_time;
use super::reference::FingerprintReference;
use super::settings::RECEIVER_COUNT;
use super::violation::LeaseViolation;
use asterramp_leader_lease::{
    FencingToken, LeaseContender, LeaseState, OrderPurpose, ReceiverClock, Term,
};
use std::time::Duration;

/// A contender's pending request to the store. `sent_at` is by the contender's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StoreRequest {
    /// The store has not handled the request.
    Sent { sent_at: Duration },
    /// The store has handled the request, and its answer is in flight. `queue_head` is the lowest term in the queue;
    /// `None` if the contender has no session.
    Handled {
        sent_at: Duration,
        queue_head: Option<Term>,
    },
}

/// State of a contender's request for a reading of a receiver's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum ClockRequest {
    /// No request is pending, and there is no reading.
    #[default]
    None,
    /// The receiver has not handled the request.
    Sent,
    /// The receiver has read its clock, and the answer is in flight.
    Answered(ReceiverClock),
    /// The contender has the reading. `received_at` is by the contender's clock.
    Received {
        clock: ReceiverClock,
        received_at: Duration,
    },
}

/// State of a contender.
#[derive(Clone, Debug)]
pub(super) struct ContenderModel {
    number: usize,
    contender: LeaseContender,
    /// The pending request to the store; at most one.
    pub(super) store_request: Option<StoreRequest>,
    /// The clock request to each receiver.
    pub(super) clock_requests: [ClockRequest; RECEIVER_COUNT],
    /// The token of an order for each receiver that has been created and not sent.
    pub(super) unsent_orders: [Option<FencingToken>; RECEIVER_COUNT],
    /// Whether each receiver has accepted an order with the contender's term.
    accepted_by_receiver: [bool; RECEIVER_COUNT],
    /// Whether the contender has been leader since it last joined the queue.
    has_led: bool,
}

impl ContenderModel {
    pub(super) fn new(number: usize, contender: LeaseContender) -> ContenderModel {
        ContenderModel {
            number,
            contender,
            store_request: None,
            clock_requests: [ClockRequest::None; RECEIVER_COUNT],
            unsent_orders: [None; RECEIVER_COUNT],
            accepted_by_receiver: [false; RECEIVER_COUNT],
            has_led: false,
        }
    }

    pub(super) fn state(&self) -> LeaseState {
        self.contender.state()
    }

    pub(super) fn term(&self) -> Term {
        self.contender.term()
    }

    pub(super) fn is_queued(&self) -> bool {
        self.state() != LeaseState::NotQueued
    }

    /// The time that the contender's clock shows at the true time `now`.
    fn clock(&self, now: Duration) -> Duration {
        contender_time(self.number, now)
    }

    /// Updates the lease state to the time by the contender's clock.
    pub(super) fn tick(&mut self, now: Duration) {
        self.contender.tick(self.clock(now));
        self.has_led |= self.state() == LeaseState::Leader;
    }

    /// The store has created the contender's node, with this term.
    pub(super) fn join_queue(&mut self, now: Duration, term: Term) {
        let clock = self.clock(now);
        self.has_led = false;
        self.accepted_by_receiver = [false; RECEIVER_COUNT];
        self.contender.joined_queue(clock, clock, term);
    }

    pub(super) fn send_store_request(&mut self, now: Duration) {
        let sent_at = self.clock(now);
        self.store_request = Some(StoreRequest::Sent { sent_at });
    }

    /// Handles the store's answer, if the store has handled the request.
    pub(super) fn receive_store_answer(&mut self, now: Duration) -> Result<(), LeaseViolation> {
        let clock = self.clock(now);
        match self.store_request.take() {
            Some(StoreRequest::Handled {
                sent_at,
                queue_head: Some(head),
            }) => {
                self.contender.store_answered(clock, sent_at);
                self.contender.queue_head_read(clock, head);
                Ok(())
            }
            Some(StoreRequest::Handled {
                queue_head: None, ..
            }) => self.learn_of_expiry(),
            Some(StoreRequest::Sent { .. }) | None => Ok(()),
        }
    }

    /// The contender learns that its session has expired. From then on it must count itself neither as
    /// queued nor as leader.
    pub(super) fn learn_of_expiry(&mut self) -> Result<(), LeaseViolation> {
        self.store_request = None;
        self.contender.session_expired();
        if self.is_queued() {
            let contender = self.number;
            return Err(LeaseViolation::ExpiryIgnored { contender });
        }
        Ok(())
    }

    /// Handles the arrival of a reading of a receiver's clock.
    pub(super) fn receive_clock(&mut self, now: Duration, receiver: usize) {
        let received_at = self.clock(now);
        let request = &mut self.clock_requests[receiver];
        if let ClockRequest::Answered(clock) = *request {
            *request = ClockRequest::Received { clock, received_at };
        }
    }

    /// Creates an order from the received clock reading, which is then discarded. `None` if there is no reading or the
    /// contender may not give such an order.
    pub(super) fn create_order(
        &mut self,
        now: Duration,
        receiver: usize,
        purpose: OrderPurpose,
    ) -> Option<FencingToken> {
        let own_time = self.clock(now);
        let request = std::mem::take(&mut self.clock_requests[receiver]);
        let ClockRequest::Received { clock, received_at } = request else {
            return None;
        };
        let order = self
            .contender
            .order(own_time, clock, received_at, purpose)?;
        self.unsent_orders[receiver] = Some(order);
        Some(order)
    }

    /// A receiver has accepted an order with the contender's term.
    pub(super) fn receiver_accepted_term(&mut self, receiver: usize) {
        self.accepted_by_receiver[receiver] = true;
        if self.accepted_by_receiver == [true; RECEIVER_COUNT] {
            self.contender.all_receivers_accepted_term();
        }
    }

    /// Whether the contender is or was leader with a later term than `term`.
    pub(super) fn has_led_with_later_term(&self, term: Term) -> bool {
        self.has_led && self.term() > term
    }

    /// Text that is equal for contenders with the same future behaviour.
    pub(super) fn fingerprint(&self, reference: FingerprintReference) -> String {
        let state = self.contender.state_key(self.clock(reference.now));
        let store_request = self.fingerprint_of_store_request(reference);
        let clock_requests: [String; RECEIVER_COUNT] =
            std::array::from_fn(|receiver| self.fingerprint_of_clock_request(receiver, reference));
        let unsent_orders: [_; RECEIVER_COUNT] = std::array::from_fn(|receiver| {
            let token = self.unsent_orders[receiver]?;
            Some(reference.relative_token(receiver, token))
        });
        let progress = (self.accepted_by_receiver, self.has_led);
        format!("{state}{store_request}{clock_requests:?}{unsent_orders:?}{progress:?}")
    }

    fn fingerprint_of_store_request(&self, reference: FingerprintReference) -> String {
        let age = |sent_at: Duration| (self.clock(reference.now) - sent_at).as_millis();
        match self.store_request {
            None => "none".into(),
            Some(StoreRequest::Sent { sent_at }) => format!("sent {}", age(sent_at)),
            Some(StoreRequest::Handled {
                sent_at,
                queue_head,
            }) => format!("handled {} {queue_head:?}", age(sent_at)),
        }
    }

    fn fingerprint_of_clock_request(
        &self,
        receiver: usize,
        reference: FingerprintReference,
    ) -> String {
        match self.clock_requests[receiver] {
            ClockRequest::None => "none".into(),
            ClockRequest::Sent => "sent".into(),
            ClockRequest::Answered(clock) => {
                format!("answered {:?}", reference.relative_clock(receiver, clock))
            }
            ClockRequest::Received { clock, received_at } => {
                let age = self.clock(reference.now) - received_at;
                let clock = reference.relative_clock(receiver, clock);
                format!("received {clock:?} {age:?}")
            }
        }
    }
}
