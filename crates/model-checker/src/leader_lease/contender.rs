//! A contender, with its requests and orders that are not done yet.

use super::receiver::{RECEIVERS, fingerprint_of_token, time_by_receiver};
use asterramp_leader_lease::{FencingToken, LeaseContender, LeaseState, ReceiverClock, Term};
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
    /// The contender has the reading.
    Received {
        clock: ReceiverClock,
        received_at: Duration,
    },
}

#[derive(Clone, Debug)]
pub(super) struct ContenderModel {
    pub(super) contender: LeaseContender,
    pub(super) store_request: Option<StoreRequest>,
    /// Its request to each receiver.
    pub(super) clock_requests: [ClockRequest; RECEIVERS],
    /// The order for each receiver that it has made and not sent.
    pub(super) unsent_orders: [Option<FencingToken>; RECEIVERS],
    /// Receivers that have accepted its term.
    informed_receivers: [bool; RECEIVERS],
    /// Whether it has led since it queued.
    has_led: bool,
}

impl ContenderModel {
    pub(super) fn new(contender: LeaseContender) -> ContenderModel {
        ContenderModel {
            contender,
            store_request: None,
            clock_requests: [ClockRequest::None; RECEIVERS],
            unsent_orders: [None; RECEIVERS],
            informed_receivers: [false; RECEIVERS],
            has_led: false,
        }
    }

    pub(super) fn is_queued(&self) -> bool {
        self.contender.state() != LeaseState::NotQueued
    }

    /// Its node was created with this term. `now` is by its own clock, as in all functions here.
    pub(super) fn join_queue(&mut self, now: Duration, term: Term) {
        self.has_led = false;
        self.informed_receivers = [false; RECEIVERS];
        self.contender.joined_queue(now, now, term);
    }

    pub(super) fn tick(&mut self, now: Duration) {
        self.contender.tick(now);
        self.has_led |= self.contender.state() == LeaseState::Leader;
    }

    /// A receiver has accepted its term.
    pub(super) fn inform_receiver(&mut self, receiver: usize) {
        self.informed_receivers[receiver] = true;
        if self.informed_receivers == [true; RECEIVERS] {
            self.contender.all_receivers_know_term();
        }
    }

    /// Whether it leads, or has led, with a later term than this.
    pub(super) fn has_led_after(&self, term: Term) -> bool {
        self.has_led && self.contender.term() > term
    }

    /// Equal for contenders that behave alike. `own_now` is by its clock, `now` the true time; `incarnations` is the number of
    /// receivers' processes so far.
    pub(super) fn fingerprint(
        &self,
        own_now: Duration,
        now: Duration,
        incarnations: u64,
    ) -> String {
        let state = self.contender.relative_state(own_now);
        let store_request = self.fingerprint_of_store_request(own_now);
        let clock_requests: Vec<String> = (0..RECEIVERS)
            .map(|receiver| self.fingerprint_of_clock_request(receiver, own_now, now, incarnations))
            .collect();
        let unsent_orders = (0..RECEIVERS).map(|receiver| {
            let token = self.unsent_orders[receiver]?;
            Some(fingerprint_of_token(receiver, &token, now, incarnations))
        });
        let unsent_orders: Vec<Option<String>> = unsent_orders.collect();
        let own = (self.informed_receivers, self.has_led);
        format!("{state}{store_request}{clock_requests:?}{unsent_orders:?}{own:?}")
    }

    fn fingerprint_of_store_request(&self, own_now: Duration) -> String {
        let age = |sent_at: Duration| (own_now - sent_at).as_millis();
        match self.store_request {
            None => "none".into(),
            Some(StoreRequest::Sent { sent_at }) => format!("sent{}", age(sent_at)),
            Some(StoreRequest::Handled {
                sent_at,
                queue_head,
            }) => format!("handled{}{queue_head:?}", age(sent_at)),
        }
    }

    fn fingerprint_of_clock_request(
        &self,
        receiver: usize,
        own_now: Duration,
        now: Duration,
        incarnations: u64,
    ) -> String {
        let ages = |clock: ReceiverClock| {
            let incarnation_age = incarnations - clock.incarnation;
            (incarnation_age, time_by_receiver(receiver, now) - clock.now)
        };
        match self.clock_requests[receiver] {
            ClockRequest::None => "none".into(),
            ClockRequest::Sent => "sent".into(),
            ClockRequest::Answered(clock) => format!("answered{:?}", ages(clock)),
            ClockRequest::Received { clock, received_at } => {
                format!("received{:?}{:?}", ages(clock), own_now - received_at)
            }
        }
    }
}
