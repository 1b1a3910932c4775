//! State and safety properties of the leader-lease model.

use super::action::{LeaseAction, Link};
use super::clocks::{START_TIME, TICK, receiver_to_true_time, slow_clock_phase};
use super::contender::{ClockRequest, ContenderModel, StoreRequest};
use super::factory::LeaseFactory;
use super::receiver::{OrderInFlight, ReceiverModel};
use super::reference::FingerprintReference;
use super::settings::{CONTENDER_COUNT, RECEIVER_COUNT, SETTINGS};
use super::store::LeaseStore;
use super::violation::LeaseViolation;
#[cfg(feature = "injected-faults")]
use asterramp_leader_lease::InjectedFault;
use asterramp_leader_lease::{FencingToken, NO_TERM, OrderPurpose};
use std::collections::BTreeSet;
use std::time::Duration;

/// State of the model: two contenders, their store and two receivers.
#[derive(Clone, Debug)]
pub struct LeaderLeaseModel {
    /// The true time.
    pub(super) now: Duration,
    pub(super) contenders: [ContenderModel; CONTENDER_COUNT],
    pub(super) store: LeaseStore,
    receivers: [ReceiverModel; RECEIVER_COUNT],
    /// Receiver processes started so far, by both receivers together. The next process gets the next greater
    /// incarnation.
    incarnation_count: u64,
    /// Orders that have been sent. Each stays in flight after its delivery, so that it may be delivered again.
    pub(super) orders_in_flight: BTreeSet<OrderInFlight>,
    factory: LeaseFactory,
    /// The first violation by the current action.
    violation: Option<LeaseViolation>,
}

impl Default for LeaderLeaseModel {
    fn default() -> Self {
        LeaderLeaseModel::new()
    }
}

impl LeaderLeaseModel {
    /// The initial state: no contender is queued, and no order has been created.
    pub fn new() -> LeaderLeaseModel {
        LeaderLeaseModel::with_factory(LeaseFactory::default())
    }

    /// As [`LeaderLeaseModel::new`], with a fault injected into the production code.
    #[cfg(feature = "injected-faults")]
    pub fn with_fault(injected_fault: InjectedFault) -> LeaderLeaseModel {
        LeaderLeaseModel::with_factory(LeaseFactory {
            injected_fault: Some(injected_fault),
        })
    }

    fn with_factory(factory: LeaseFactory) -> LeaderLeaseModel {
        let contender = |number| ContenderModel::new(number, factory.new_contender(SETTINGS));
        let receiver = |number| {
            let guard = factory.new_guard(number as u64 + 1, NO_TERM);
            ReceiverModel::new(number, guard)
        };
        LeaderLeaseModel {
            now: START_TIME,
            contenders: [contender(0), contender(1)],
            store: LeaseStore::new(),
            receivers: [receiver(0), receiver(1)],
            incarnation_count: RECEIVER_COUNT as u64,
            orders_in_flight: BTreeSet::new(),
            factory,
            violation: None,
        }
    }

    /// Records a violation by the current action, unless there already is one.
    fn record_violation(&mut self, checked: Result<(), LeaseViolation>) {
        if let Err(violation) = checked {
            self.violation.get_or_insert(violation);
        }
    }

    fn perform(&mut self, action: LeaseAction) {
        match action {
            LeaseAction::JoinQueue(contender) => {
                let term = self.store.create_node(contender, self.now);
                self.contenders[contender].join_queue(self.now, term);
            }
            LeaseAction::SendStoreRequest(contender) => {
                self.contenders[contender].send_store_request(self.now);
            }
            LeaseAction::HandleStoreRequest(contender) => self.handle_store_request(contender),
            LeaseAction::ReceiveStoreAnswer(contender) => {
                let checked = self.contenders[contender].receive_store_answer(self.now);
                self.record_violation(checked);
            }
            LeaseAction::BreakStoreConnection(contender) => {
                self.contenders[contender].store_request = None;
            }
            LeaseAction::ExpireSession(contender) => self.store.end_session(contender),
            LeaseAction::LoseAllSessions => self.store.lose_all_sessions(),
            LeaseAction::LearnOfExpiry(contender) => {
                let checked = self.contenders[contender].learn_of_expiry();
                self.record_violation(checked);
            }
            LeaseAction::Resign(contender) => {
                self.store.end_session(contender);
                self.restart_contender(contender);
            }
            LeaseAction::RestartContender(contender) => self.restart_contender(contender),
            LeaseAction::RequestClock(link) => self.set_clock_request(link, ClockRequest::Sent),
            LeaseAction::ReadClock(link) => {
                let clock = self.receivers[link.receiver].clock(self.now);
                self.set_clock_request(link, ClockRequest::Answered(clock));
            }
            LeaseAction::ReceiveClock(link) => {
                self.contenders[link.contender].receive_clock(self.now, link.receiver);
            }
            LeaseAction::CreateOrder(link, purpose) => self.create_order(link, purpose),
            LeaseAction::SendOrder(link) => self.send_order(link),
            LeaseAction::DeliverOrder(index) => self.deliver_order(index),
            LeaseAction::RestartReceiver { receiver, has_disk } => {
                self.restart_receiver(receiver, has_disk);
            }
            LeaseAction::TimePasses => self.now += TICK,
        }
    }

    fn handle_store_request(&mut self, contender: usize) {
        let request = &mut self.contenders[contender].store_request;
        if let Some(StoreRequest::Sent { sent_at }) = *request {
            let queue_head = self.store.renew_session(contender, self.now);
            *request = Some(StoreRequest::Handled {
                sent_at,
                queue_head,
            });
        }
    }

    fn restart_contender(&mut self, number: usize) {
        let contender = self.factory.new_contender(SETTINGS);
        self.contenders[number] = ContenderModel::new(number, contender);
    }

    fn set_clock_request(&mut self, link: Link, request: ClockRequest) {
        self.contenders[link.contender].clock_requests[link.receiver] = request;
    }

    fn create_order(&mut self, link: Link, purpose: OrderPurpose) {
        let contender = &mut self.contenders[link.contender];
        if let Some(order) = contender.create_order(self.now, link.receiver, purpose) {
            let checked = self.check_order(link, order, purpose);
            self.record_violation(checked);
        }
    }

    /// Checks an order when it is created: the contender has a session, the order expires no later than that session,
    /// and only the head of the queue gives commands. Not checked for a contender whose session was lost by the store,
    /// until it queues again.
    fn check_order(
        &self,
        link: Link,
        order: FencingToken,
        purpose: OrderPurpose,
    ) -> Result<(), LeaseViolation> {
        let contender = link.contender;
        if self.store.has_lost_session[contender] {
            return Ok(());
        }
        let Some(session) = self.store.sessions[contender] else {
            return Err(LeaseViolation::OrderWithoutSession { contender });
        };
        if receiver_to_true_time(link.receiver, order.expires_at) > session.expires_at() {
            return Err(LeaseViolation::OrderOutlivesSession { contender });
        }
        let is_first = self.store.queue_head() == Some(session.term);
        if purpose == OrderPurpose::Command && !is_first {
            return Err(LeaseViolation::OrderWithoutLead { contender });
        }
        Ok(())
    }

    fn send_order(&mut self, link: Link) {
        let order = self.contenders[link.contender].unsent_orders[link.receiver].take();
        let in_flight = order.map(|token| OrderInFlight::new(link.receiver, token));
        self.orders_in_flight.extend(in_flight);
    }

    fn deliver_order(&mut self, index: usize) {
        let Some(order) = self.orders_in_flight.iter().nth(index).copied() else {
            return;
        };
        if self.receivers[order.receiver].handle_order(self.now, &order) {
            let checked = self.check_accepted(&order);
            self.record_violation(checked);
            for contender in &mut self.contenders {
                if contender.term() == order.term {
                    contender.receiver_accepted_term(order.receiver);
                }
            }
        }
    }

    /// Checks an order that a receiver has just accepted, and records its term at the receiver.
    fn check_accepted(&mut self, order: &OrderInFlight) -> Result<(), LeaseViolation> {
        let receiver = &mut self.receivers[order.receiver];
        let checked = receiver.check_accepted(self.now, order);
        let term_recorded = receiver.record_accepted_term(order.term);
        checked?;
        self.check_not_superseded(order)?;
        term_recorded
    }

    /// Checks that no contender is or was leader with a later term than the order's.
    fn check_not_superseded(&self, order: &OrderInFlight) -> Result<(), LeaseViolation> {
        let mut contenders = self.contenders.iter();
        let later_leader =
            contenders.find(|contender| contender.has_led_with_later_term(order.term));
        match later_leader {
            None => Ok(()),
            Some(later_leader) => Err(LeaseViolation::FormerLeaderAccepted {
                receiver: order.receiver,
                term: order.term,
                later: later_leader.term(),
            }),
        }
    }

    fn restart_receiver(&mut self, receiver: usize, has_disk: bool) {
        let persisted_term = self.receivers[receiver].persisted_term;
        let known_term = if has_disk { persisted_term } else { NO_TERM };
        self.incarnation_count += 1;
        let guard = self.factory.new_guard(self.incarnation_count, known_term);
        self.receivers[receiver].restart(guard, known_term);
    }

    /// Applies an action and checks the safety properties.
    pub(super) fn apply_and_check(&mut self, action: LeaseAction) -> Result<(), LeaseViolation> {
        self.perform(action);
        for contender in &mut self.contenders {
            contender.tick(self.now);
        }
        self.violation.take().map_or(Ok(()), Err)
    }

    /// Text that is equal for states with the same future behaviour.
    pub(super) fn fingerprint_text(&self) -> String {
        let reference = FingerprintReference {
            now: self.now,
            incarnation_count: self.incarnation_count,
        };
        let mut parts = vec![slow_clock_phase(self.now).to_string()];
        parts.push(self.store.fingerprint(reference));
        let contenders = self.contenders.iter();
        parts.extend(contenders.map(|contender| contender.fingerprint(reference)));
        let receivers = self.receivers.iter();
        parts.extend(receivers.map(|receiver| receiver.fingerprint(reference)));
        let orders = self.orders_in_flight.iter();
        parts.extend(orders.map(|order| order.fingerprint(reference)));
        parts.join("|")
    }
}
