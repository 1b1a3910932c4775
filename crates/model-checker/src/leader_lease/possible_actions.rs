//! The actions that are possible in a state of the leader-lease model.

use super::action::{LeaseAction, Link};
use super::contender::{ClockRequest, StoreRequest};
use super::model::LeaderLeaseModel;
use super::settings::{CONTENDER_COUNT, MAX_ORDERS_IN_FLIGHT, RECEIVER_COUNT, RECEIVER_WITH_DISK};
use asterramp_leader_lease::{LeaseState, OrderPurpose};

impl LeaderLeaseModel {
    /// The actions that are possible in this state.
    pub(super) fn possible_actions(&self) -> Vec<LeaseAction> {
        let mut actions = vec![LeaseAction::TimePasses, LeaseAction::LoseAllSessions];
        for contender in 0..CONTENDER_COUNT {
            actions.extend(self.queue_actions(contender));
            actions.extend(self.request_actions(contender));
            actions.extend(self.session_actions(contender));
            for receiver in 0..RECEIVER_COUNT {
                actions.extend(self.link_actions(Link {
                    contender,
                    receiver,
                }));
            }
        }
        let in_flight = 0..self.orders_in_flight.len();
        actions.extend(in_flight.map(LeaseAction::DeliverOrder));
        for receiver in 0..RECEIVER_COUNT {
            actions.push(LeaseAction::RestartReceiver {
                receiver,
                has_disk: false,
            });
        }
        actions.push(LeaseAction::RestartReceiver {
            receiver: RECEIVER_WITH_DISK,
            has_disk: true,
        });
        actions
    }

    /// The request that a contender may start at the store.
    fn queue_actions(&self, contender: usize) -> Option<LeaseAction> {
        let model = &self.contenders[contender];
        let has_session = self.store.sessions[contender].is_some();
        match (model.is_queued(), model.store_request) {
            (true, None) => Some(LeaseAction::SendStoreRequest(contender)),
            (false, _) if !has_session => Some(LeaseAction::JoinQueue(contender)),
            _ => None,
        }
    }

    /// The possible next steps of a contender's pending request to the store.
    fn request_actions(&self, contender: usize) -> Vec<LeaseAction> {
        let break_connection = LeaseAction::BreakStoreConnection(contender);
        match self.contenders[contender].store_request {
            Some(StoreRequest::Sent { .. }) => {
                vec![LeaseAction::HandleStoreRequest(contender), break_connection]
            }
            Some(StoreRequest::Handled { .. }) => {
                vec![LeaseAction::ReceiveStoreAnswer(contender), break_connection]
            }
            None => Vec::new(),
        }
    }

    /// The ways in which a contender's session or process may end now.
    fn session_actions(&self, contender: usize) -> Vec<LeaseAction> {
        let model = &self.contenders[contender];
        let is_queued = model.is_queued();
        let mut actions = Vec::new();
        match self.store.sessions[contender] {
            Some(session) => {
                if self.now >= session.expires_at() {
                    actions.push(LeaseAction::ExpireSession(contender));
                }
                if model.state() == LeaseState::Leader {
                    actions.push(LeaseAction::Resign(contender));
                }
            }
            None if is_queued => actions.push(LeaseAction::LearnOfExpiry(contender)),
            None => {}
        }
        if is_queued {
            actions.push(LeaseAction::RestartContender(contender));
        }
        actions
    }

    /// The possible next steps of an order from a contender to a receiver: reading the receiver's clock, creating the
    /// order and sending it.
    fn link_actions(&self, link: Link) -> impl Iterator<Item = LeaseAction> {
        let model = &self.contenders[link.contender];
        let state = model.state();
        let has_unsent_order = model.unsent_orders[link.receiver].is_some();
        let can_order = matches!(state, LeaseState::Leader | LeaseState::AwaitingPredecessor);
        let next = match model.clock_requests[link.receiver] {
            ClockRequest::None => can_order.then_some(LeaseAction::RequestClock(link)),
            ClockRequest::Sent => Some(LeaseAction::ReadClock(link)),
            ClockRequest::Answered(_) => Some(LeaseAction::ReceiveClock(link)),
            ClockRequest::Received { .. } if has_unsent_order => None,
            ClockRequest::Received { .. } => {
                Some(LeaseAction::CreateOrder(link, order_purpose(state)))
            }
        };
        let can_send = has_unsent_order && self.orders_in_flight.len() < MAX_ORDERS_IN_FLIGHT;
        let send = can_send.then_some(LeaseAction::SendOrder(link));
        next.into_iter().chain(send)
    }
}

/// The purpose of an order by a contender in this state. A contender that is neither leader nor waiting for its
/// predecessor tries to give commands too: the production code must refuse.
fn order_purpose(state: LeaseState) -> OrderPurpose {
    if state == LeaseState::AwaitingPredecessor {
        OrderPurpose::AnnounceTerm
    } else {
        OrderPurpose::Command
    }
}
