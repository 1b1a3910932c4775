//! Contenders, store, receivers and their clocks.

use super::action::{LeaseAction, Link};
use super::contender::{ClockRequest, ContenderModel, StoreRequest};
use super::factory::Factory;
use super::receiver::{OrderInFlight, RECEIVERS, ReceiverModel, true_time};
use super::store::LeaseStore;
use super::violation::LeaseViolation;
use crate::model::Model;
#[cfg(feature = "injected-faults")]
use asterramp_leader_lease::InjectedFault;
use asterramp_leader_lease::{
    FencingGuard, FencingToken, LeaseSettings, LeaseState, NO_TERM, OrderPurpose, Term,
};
use std::collections::BTreeSet;
use std::time::Duration;

pub(super) const CONTENDERS: usize = 2;
/// Round figures, so that different orders of actions lead to equal states.
pub(super) const SETTINGS: LeaseSettings = LeaseSettings {
    session_timeout: Duration::from_millis(4_000),
    clock_margin: Duration::from_millis(1_000),
};
/// The clock at the beginning.
const START: Duration = Duration::from_secs(1_000);
/// By how much the clock goes on at once.
const TICK: Duration = Duration::from_millis(1_000);
/// The contender whose clock runs too slow, and by which part.
const CONTENDER_WITH_SLOW_CLOCK: usize = 0;
const SLOWNESS: u32 = 8;
/// Orders in flight at most.
const MAX_ORDERS_IN_FLIGHT: usize = 3;
/// The receiver that may also restart with its disk.
const RECEIVER_WITH_DISK: usize = 0;

/// Two contenders, their store and two receivers.
#[derive(Clone, Debug)]
pub struct LeaderLeaseModel {
    now: Duration,
    contenders: [ContenderModel; CONTENDERS],
    store: LeaseStore,
    receivers: [ReceiverModel; RECEIVERS],
    /// Processes of receivers so far.
    incarnations: u64,
    orders_in_flight: BTreeSet<OrderInFlight>,
    factory: Factory,
    /// The first violation of the present action.
    violation: Option<LeaseViolation>,
}

impl Default for LeaderLeaseModel {
    fn default() -> Self {
        LeaderLeaseModel::new()
    }
}

impl LeaderLeaseModel {
    /// Nobody is queued, and no order was ever given.
    pub fn new() -> LeaderLeaseModel {
        LeaderLeaseModel::with_factory(Factory::default())
    }

    /// The same with a fault in the code that decides.
    #[cfg(feature = "injected-faults")]
    pub fn with_fault(injected_fault: InjectedFault) -> LeaderLeaseModel {
        LeaderLeaseModel::with_factory(Factory {
            injected_fault: Some(injected_fault),
        })
    }

    fn with_factory(factory: Factory) -> LeaderLeaseModel {
        let contender = || ContenderModel::new(factory.contender(SETTINGS));
        let receiver = |number| {
            let guard = factory.guard(number as u64 + 1, NO_TERM);
            ReceiverModel::new(number, guard)
        };
        LeaderLeaseModel {
            now: START,
            contenders: [contender(), contender()],
            store: LeaseStore::new(),
            receivers: [receiver(0), receiver(1)],
            incarnations: RECEIVERS as u64,
            orders_in_flight: BTreeSet::new(),
            factory,
            violation: None,
        }
    }

    /// The time by a contender's own clock.
    fn time_by_contender(&self, contender: usize) -> Duration {
        if contender == CONTENDER_WITH_SLOW_CLOCK {
            self.now - (self.now - START) / SLOWNESS
        } else {
            self.now
        }
    }

    fn violate(&mut self, violation: LeaseViolation) {
        self.violation.get_or_insert(violation);
    }

    fn perform(&mut self, action: LeaseAction) {
        match action {
            LeaseAction::JoinQueue(contender) => self.join_queue(contender),
            LeaseAction::SendStoreRequest(contender) => self.send_store_request(contender),
            LeaseAction::HandleStoreRequest(contender) => self.handle_store_request(contender),
            LeaseAction::ReceiveStoreAnswer(contender) => self.receive_store_answer(contender),
            LeaseAction::BreakStoreConnection(contender) => {
                self.contenders[contender].store_request = None;
            }
            LeaseAction::ExpireSession(contender) => self.store.end_session(contender),
            LeaseAction::LoseAllSessions => self.store.lose_all_sessions(),
            LeaseAction::LearnOfExpiry(contender) => {
                self.contenders[contender].store_request = None;
                self.expire_session_of(contender);
            }
            LeaseAction::Resign(contender) => {
                self.store.end_session(contender);
                self.restart_contender(contender);
            }
            LeaseAction::RestartContender(contender) => self.restart_contender(contender),
            LeaseAction::RequestClock(link) => {
                *self.clock_request(link) = ClockRequest::Sent;
            }
            LeaseAction::ReadClock(link) => {
                let clock = self.receivers[link.receiver].clock(self.now);
                *self.clock_request(link) = ClockRequest::Answered(clock);
            }
            LeaseAction::ReceiveClock(link) => self.receive_clock(link),
            LeaseAction::CreateOrder(link, purpose) => self.create_order(link, purpose),
            LeaseAction::SendOrder(link) => self.send_order(link),
            LeaseAction::DeliverOrder(number) => self.deliver_order(number),
            LeaseAction::RestartReceiver { receiver, has_disk } => {
                self.restart_receiver(receiver, has_disk);
            }
            LeaseAction::TimePasses => self.now += TICK,
        }
    }

    fn join_queue(&mut self, contender: usize) {
        let term = self.store.create_node(contender, self.now);
        let own_now = self.time_by_contender(contender);
        self.contenders[contender].join_queue(own_now, term);
    }

    fn send_store_request(&mut self, contender: usize) {
        let sent_at = self.time_by_contender(contender);
        self.contenders[contender].store_request = Some(StoreRequest::Sent { sent_at });
    }

    fn handle_store_request(&mut self, contender: usize) {
        let request = &mut self.contenders[contender].store_request;
        if let Some(StoreRequest::Sent { sent_at }) = *request {
            let queue_head = self.store.renew(contender, self.now);
            *request = Some(StoreRequest::Handled {
                sent_at,
                queue_head,
            });
        }
    }

    fn receive_store_answer(&mut self, contender: usize) {
        let own_now = self.time_by_contender(contender);
        let model = &mut self.contenders[contender];
        let Some(StoreRequest::Handled {
            sent_at,
            queue_head,
        }) = model.store_request.take()
        else {
            return;
        };
        match queue_head {
            Some(head) => {
                model.contender.store_answered(own_now, sent_at);
                model.contender.queue_head(own_now, head);
            }
            None => self.expire_session_of(contender),
        }
    }

    /// A contender learns that its session has expired, and must claim nothing from then on.
    fn expire_session_of(&mut self, contender: usize) {
        let model = &mut self.contenders[contender];
        model.contender.session_expired();
        if model.is_queued() {
            self.violate(LeaseViolation::ExpiryIgnored { contender });
        }
    }

    fn restart_contender(&mut self, contender: usize) {
        self.contenders[contender] = ContenderModel::new(self.factory.contender(SETTINGS));
    }

    fn clock_request(&mut self, link: Link) -> &mut ClockRequest {
        &mut self.contenders[link.contender].clock_requests[link.receiver]
    }

    fn receive_clock(&mut self, link: Link) {
        let received_at = self.time_by_contender(link.contender);
        let request = self.clock_request(link);
        if let ClockRequest::Answered(clock) = *request {
            *request = ClockRequest::Received { clock, received_at };
        }
    }

    fn create_order(&mut self, link: Link, purpose: OrderPurpose) {
        let own_now = self.time_by_contender(link.contender);
        let request = std::mem::take(self.clock_request(link));
        let ClockRequest::Received { clock, received_at } = request else {
            return;
        };
        let model = &mut self.contenders[link.contender];
        let order = model.contender.order(own_now, clock, received_at, purpose);
        if let Some(order) = order {
            model.unsent_orders[link.receiver] = Some(order);
            self.check_order(link, order, purpose);
        }
    }

    /// What must hold of an order as it is made.
    fn check_order(&mut self, link: Link, order: FencingToken, purpose: OrderPurpose) {
        let contender = link.contender;
        if self.store.lost[contender] {
            return;
        }
        let Some(session) = self.store.sessions[contender] else {
            return self.violate(LeaseViolation::OrderWithoutSession { contender });
        };
        if true_time(link.receiver, order.expires_at) > session.expires_at() {
            self.violate(LeaseViolation::OrderOutlivesSession { contender });
        }
        let is_first = self.store.queue_head() == Some(session.term);
        if purpose == OrderPurpose::Command && !is_first {
            self.violate(LeaseViolation::OrderWithoutLead { contender });
        }
    }

    fn send_order(&mut self, link: Link) {
        let order = self.contenders[link.contender].unsent_orders[link.receiver].take();
        let in_flight = order.map(|token| OrderInFlight::new(link.receiver, token));
        self.orders_in_flight.extend(in_flight);
    }

    fn deliver_order(&mut self, number: usize) {
        let Some(order) = self.orders_in_flight.iter().nth(number).copied() else {
            return;
        };
        if self.receivers[order.receiver].accepts(self.now, &order) {
            self.check_accepted(&order);
            let of_term = |model: &&mut ContenderModel| model.contender.term() == order.term;
            for model in self.contenders.iter_mut().filter(of_term) {
                model.inform_receiver(order.receiver);
            }
        }
    }

    /// What must hold of an order that a receiver has just accepted.
    fn check_accepted(&mut self, order: &OrderInFlight) {
        let receiver = &mut self.receivers[order.receiver];
        let checked = receiver.check_accepted(self.now, order);
        let kept = receiver.keep_term(order.term);
        let not_superseded = self.check_not_superseded(order);
        if let Err(violation) = checked.and(not_superseded).and(kept) {
            self.violate(violation);
        }
    }

    /// No later leader may lead.
    fn check_not_superseded(&self, order: &OrderInFlight) -> Result<(), LeaseViolation> {
        let later_leader = self
            .contenders
            .iter()
            .find(|model| model.has_led_after(order.term));
        match later_leader {
            None => Ok(()),
            Some(later) => Err(LeaseViolation::FormerLeaderAccepted {
                receiver: order.receiver,
                term: order.term,
                later: later.contender.term(),
            }),
        }
    }

    fn restart_receiver(&mut self, receiver: usize, has_disk: bool) {
        let kept_term = self.receivers[receiver].kept_term;
        let known_term = if has_disk { kept_term } else { NO_TERM };
        let guard = self.next_guard(known_term);
        self.receivers[receiver].restart(guard, known_term);
    }

    /// The guard of a receiver's next process.
    fn next_guard(&mut self, known_term: Term) -> FencingGuard {
        self.incarnations += 1;
        self.factory.guard(self.incarnations, known_term)
    }

    /// What a contender may do, and what may happen to it.
    fn actions_of_contender(&self, contender: usize) -> Vec<LeaseAction> {
        let model = &self.contenders[contender];
        let session = self.store.sessions[contender];
        let is_queued = model.is_queued();
        let is_leader = model.contender.state() == LeaseState::Leader;
        let is_expired = session.is_some_and(|session| self.now >= session.expires_at());
        let mut actions = Vec::new();
        let mut push_if = |is_possible: bool, action: LeaseAction| {
            actions.extend(is_possible.then_some(action));
        };
        let is_sent = matches!(model.store_request, Some(StoreRequest::Sent { .. }));
        let is_handled = matches!(model.store_request, Some(StoreRequest::Handled { .. }));
        push_if(
            !is_queued && session.is_none(),
            LeaseAction::JoinQueue(contender),
        );
        push_if(
            is_queued && model.store_request.is_none(),
            LeaseAction::SendStoreRequest(contender),
        );
        push_if(is_sent, LeaseAction::HandleStoreRequest(contender));
        push_if(is_handled, LeaseAction::ReceiveStoreAnswer(contender));
        push_if(
            model.store_request.is_some(),
            LeaseAction::BreakStoreConnection(contender),
        );
        push_if(is_expired, LeaseAction::ExpireSession(contender));
        push_if(
            is_queued && session.is_none(),
            LeaseAction::LearnOfExpiry(contender),
        );
        push_if(
            is_leader && session.is_some(),
            LeaseAction::Resign(contender),
        );
        push_if(is_queued, LeaseAction::RestartContender(contender));
        actions
    }

    /// What a contender and a receiver may do next to bring an order from one to the other.
    fn actions_of_link(&self, link: Link) -> Vec<LeaseAction> {
        let model = &self.contenders[link.contender];
        let state = model.contender.state();
        let has_unsent_order = model.unsent_orders[link.receiver].is_some();
        let may_order = matches!(state, LeaseState::Leader | LeaseState::AwaitingPredecessor);
        let next = match model.clock_requests[link.receiver] {
            ClockRequest::None => may_order.then_some(LeaseAction::RequestClock(link)),
            ClockRequest::Sent => Some(LeaseAction::ReadClock(link)),
            ClockRequest::Answered(_) => Some(LeaseAction::ReceiveClock(link)),
            ClockRequest::Received { .. } if has_unsent_order => None,
            ClockRequest::Received { .. } => {
                let purpose = if state == LeaseState::AwaitingPredecessor {
                    OrderPurpose::AnnounceTerm
                } else {
                    OrderPurpose::Command
                };
                Some(LeaseAction::CreateOrder(link, purpose))
            }
        };
        let may_send = has_unsent_order && self.orders_in_flight.len() < MAX_ORDERS_IN_FLIGHT;
        let send = may_send.then_some(LeaseAction::SendOrder(link));
        next.into_iter().chain(send).collect()
    }
}

impl Model for LeaderLeaseModel {
    type Action = LeaseAction;
    type Violation = LeaseViolation;
    type Fingerprint = String;

    fn fingerprint(&self) -> String {
        let (now, incarnations) = (self.now, self.incarnations);
        // The clocks run alike again after as many ticks as the slow one loses one in.
        let phase = now.as_millis() / TICK.as_millis() % u128::from(SLOWNESS);
        let mut fingerprint = format!("{phase}{}", self.store.fingerprint(now));
        for (number, contender) in self.contenders.iter().enumerate() {
            let own_now = self.time_by_contender(number);
            fingerprint += "|";
            fingerprint += &contender.fingerprint(own_now, now, incarnations);
        }
        for receiver in &self.receivers {
            fingerprint += "|";
            fingerprint += &receiver.fingerprint(incarnations);
        }
        for order in &self.orders_in_flight {
            fingerprint += ";";
            fingerprint += &order.fingerprint(now, incarnations);
        }
        fingerprint
    }

    fn actions(&self) -> Vec<LeaseAction> {
        let mut actions = vec![LeaseAction::TimePasses, LeaseAction::LoseAllSessions];
        for contender in 0..CONTENDERS {
            actions.extend(self.actions_of_contender(contender));
            for receiver in 0..RECEIVERS {
                actions.extend(self.actions_of_link(Link {
                    contender,
                    receiver,
                }));
            }
        }
        actions.extend((0..self.orders_in_flight.len()).map(LeaseAction::DeliverOrder));
        actions.extend((0..RECEIVERS).map(|receiver| LeaseAction::RestartReceiver {
            receiver,
            has_disk: false,
        }));
        actions.push(LeaseAction::RestartReceiver {
            receiver: RECEIVER_WITH_DISK,
            has_disk: true,
        });
        actions
    }

    fn apply(&mut self, action: LeaseAction) -> Result<(), LeaseViolation> {
        self.perform(action);
        for contender in 0..CONTENDERS {
            let own_now = self.time_by_contender(contender);
            self.contenders[contender].tick(own_now);
        }
        self.violation.take().map_or(Ok(()), Err)
    }
}
