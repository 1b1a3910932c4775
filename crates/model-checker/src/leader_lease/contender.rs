//! A contender, with its requests and orders that are not done yet. All times that are passed in are true ones.

use super::clocks::contender_time;
use super::reference::FingerprintReference;
use super::settings::RECEIVER_COUNT;
use super::violation::LeaseViolation;
use asterramp_leader_lease::{
    FencingToken, LeaseContender, LeaseState, OrderPurpose, ReceiverClock, Term,
};
use std::time::Duration;

/// A contender's request to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StoreRequest {
    /// The store has not read it.
    Sent { sent_at: Duration },
    /// The store has read it, and the answer is in flight: the lowest term in the queue, `None` if the session is not known.
    Handled {
        sent_at: Duration,
        queue_head: Option<Term>,
    },
}

/// A contender's request for a receiver's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum ClockRequest {
    #[default]
    None,
    /// The receiver has not read it.
    Sent,
    /// The receiver has read its clock, and the answer is in flight.
    Answered(ReceiverClock),
    /// The contender has the reading, since a time by its own clock.
    Received {
        clock: ReceiverClock,
        received_at: Duration,
    },
}

#[derive(Clone, Debug)]
pub(super) struct ContenderModel {
    number: usize,
    contender: LeaseContender,
    /// Its times are by the contender's clock.
    pub(super) store_request: Option<StoreRequest>,
    /// Its request to each receiver.
    pub(super) clock_requests: [ClockRequest; RECEIVER_COUNT],
    /// The order for each receiver that it has made and not sent.
    pub(super) unsent_orders: [Option<FencingToken>; RECEIVER_COUNT],
    /// Receivers that have accepted its term.
    informed_receivers: [bool; RECEIVER_COUNT],
    /// Whether it has led since it queued.
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
            informed_receivers: [false; RECEIVER_COUNT],
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

    fn clock(&self, now: Duration) -> Duration {
        contender_time(self.number, now)
    }

    pub(super) fn tick(&mut self, now: Duration) {
        self.contender.tick(self.clock(now));
        self.has_led |= self.state() == LeaseState::Leader;
    }

    /// Its node was created with this term.
    pub(super) fn join_queue(&mut self, now: Duration, term: Term) {
        let clock = self.clock(now);
        self.has_led = false;
        self.informed_receivers = [false; RECEIVER_COUNT];
        self.contender.joined_queue(clock, clock, term);
    }

    pub(super) fn send_store_request(&mut self, now: Duration) {
        let sent_at = self.clock(now);
        self.store_request = Some(StoreRequest::Sent { sent_at });
    }

    /// The store's answer arrives.
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

    /// It learns that its session has expired, and must claim nothing from then on.
    pub(super) fn learn_of_expiry(&mut self) -> Result<(), LeaseViolation> {
        self.store_request = None;
        self.contender.session_expired();
        if self.is_queued() {
            let contender = self.number;
            return Err(LeaseViolation::ExpiryIgnored { contender });
        }
        Ok(())
    }

    /// A reading of a receiver's clock arrives.
    pub(super) fn receive_clock(&mut self, now: Duration, receiver: usize) {
        let received_at = self.clock(now);
        let request = &mut self.clock_requests[receiver];
        if let ClockRequest::Answered(clock) = *request {
            *request = ClockRequest::Received { clock, received_at };
        }
    }

    /// It makes an order by the reading that it has, if it may; the reading is used up.
    pub(super) fn create_order(
        &mut self,
        now: Duration,
        receiver: usize,
        purpose: OrderPurpose,
    ) -> Option<FencingToken> {
        let own_clock = self.clock(now);
        let request = std::mem::take(&mut self.clock_requests[receiver]);
        let ClockRequest::Received { clock, received_at } = request else {
            return None;
        };
        let order = self
            .contender
            .order(own_clock, clock, received_at, purpose)?;
        self.unsent_orders[receiver] = Some(order);
        Some(order)
    }

    /// A receiver has accepted its term.
    pub(super) fn receiver_accepted_term(&mut self, receiver: usize) {
        self.informed_receivers[receiver] = true;
        if self.informed_receivers == [true; RECEIVER_COUNT] {
            self.contender.all_receivers_accepted_term();
        }
    }

    /// Whether it leads, or has led, with a later term than this.
    pub(super) fn has_led_with_later_term(&self, term: Term) -> bool {
        self.has_led && self.term() > term
    }

    /// Equal for contenders that behave alike.
    pub(super) fn fingerprint(&self, reference: FingerprintReference) -> String {
        let state = self.contender.state_key(self.clock(reference.now));
        let store_request = self.fingerprint_of_store_request(reference);
        let clock_requests: [String; RECEIVER_COUNT] =
            std::array::from_fn(|receiver| self.fingerprint_of_clock_request(receiver, reference));
        let unsent_orders: [_; RECEIVER_COUNT] = std::array::from_fn(|receiver| {
            let token = self.unsent_orders[receiver]?;
            Some(reference.relative_token(receiver, token))
        });
        let progress = (self.informed_receivers, self.has_led);
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
