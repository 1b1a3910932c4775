//! Situations that are too far from the start for an exploration to reach them within its depth.

use super::action::{LeaseAction, Link};
use super::settings::CONTENDER_COUNT;
use asterramp_leader_lease::OrderPurpose;

/// The contender that leads first, and the one that follows it.
const LEADER: usize = 0;
const SUCCESSOR: usize = 1;
/// Their links to the first receiver.
const LEADER_LINK: Link = Link {
    contender: LEADER,
    receiver: 0,
};
const SUCCESSOR_LINK: Link = Link {
    contender: SUCCESSOR,
    receiver: 0,
};
/// Ticks in which a contender that is first has waited long enough to lead, by either clock.
const TICKS_UNTIL_LEADING: usize = 5;

/// What has happened before an exploration begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseSituation {
    /// Nothing.
    Start,
    /// One contender leads; it has renewed its session throughout.
    Leading,
    /// The same, and the other is queued behind it.
    SuccessorQueued,
    /// The same, and an order of the leader is in flight.
    OrderInFlight,
    /// One contender leads and has a receiver's clock; the store has handled its next request.
    RequestHandled,
    /// Both have been queued for long, and have renewed their sessions throughout.
    BothQueuedForLong,
    /// An order of the leader is in flight. The store has lost all sessions, and the other has queued again, alone.
    SessionsLost,
    /// The same, and the other's announcement of its term to one receiver is in flight too.
    TermAnnounced,
}

impl LeaseSituation {
    /// All situations.
    pub const ALL: [LeaseSituation; 8] = [
        LeaseSituation::Start,
        LeaseSituation::Leading,
        LeaseSituation::SuccessorQueued,
        LeaseSituation::OrderInFlight,
        LeaseSituation::RequestHandled,
        LeaseSituation::BothQueuedForLong,
        LeaseSituation::SessionsLost,
        LeaseSituation::TermAnnounced,
    ];

    /// The actions that lead to the situation.
    pub fn actions(self) -> Vec<LeaseAction> {
        match self {
            LeaseSituation::Start => Vec::new(),
            LeaseSituation::Leading => become_leader(),
            LeaseSituation::SuccessorQueued => {
                let joins = [LeaseAction::JoinQueue(SUCCESSOR)];
                concat(&[&become_leader(), &joins, &renew(SUCCESSOR)])
            }
            LeaseSituation::OrderInFlight => {
                let earlier = LeaseSituation::SuccessorQueued.actions();
                let order = send_order(LEADER_LINK, OrderPurpose::Command);
                concat(&[&earlier, &get_clock(LEADER_LINK), &order])
            }
            LeaseSituation::RequestHandled => {
                let request = send_and_handle_request(LEADER);
                concat(&[&become_leader(), &get_clock(LEADER_LINK), &request])
            }
            LeaseSituation::BothQueuedForLong => {
                let mut actions = LeaseSituation::SuccessorQueued.actions();
                for _ in 0..TICKS_UNTIL_LEADING {
                    actions.push(LeaseAction::TimePasses);
                    actions.extend((0..CONTENDER_COUNT).flat_map(renew));
                }
                actions
            }
            LeaseSituation::SessionsLost => {
                let earlier = LeaseSituation::OrderInFlight.actions();
                let queues_again = [
                    LeaseAction::LoseAllSessions,
                    LeaseAction::LearnOfExpiry(SUCCESSOR),
                    LeaseAction::JoinQueue(SUCCESSOR),
                ];
                let request = send_and_handle_request(SUCCESSOR);
                concat(&[&earlier, &queues_again, &request])
            }
            LeaseSituation::TermAnnounced => {
                let earlier = LeaseSituation::SessionsLost.actions();
                let answer = [LeaseAction::ReceiveStoreAnswer(SUCCESSOR)];
                let announcement = send_order(SUCCESSOR_LINK, OrderPurpose::AnnounceTerm);
                concat(&[&earlier, &answer, &get_clock(SUCCESSOR_LINK), &announcement])
            }
        }
    }
}

fn concat(parts: &[&[LeaseAction]]) -> Vec<LeaseAction> {
    parts.concat()
}

fn become_leader() -> Vec<LeaseAction> {
    let mut actions = vec![LeaseAction::JoinQueue(LEADER)];
    actions.extend(renew(LEADER));
    for _ in 0..TICKS_UNTIL_LEADING {
        actions.push(LeaseAction::TimePasses);
        actions.extend(renew(LEADER));
    }
    actions
}

fn send_and_handle_request(contender: usize) -> [LeaseAction; 2] {
    [
        LeaseAction::SendStoreRequest(contender),
        LeaseAction::HandleStoreRequest(contender),
    ]
}

fn renew(contender: usize) -> [LeaseAction; 3] {
    let [send, handle] = send_and_handle_request(contender);
    [send, handle, LeaseAction::ReceiveStoreAnswer(contender)]
}

fn get_clock(link: Link) -> [LeaseAction; 3] {
    [
        LeaseAction::RequestClock(link),
        LeaseAction::ReadClock(link),
        LeaseAction::ReceiveClock(link),
    ]
}

fn send_order(link: Link, purpose: OrderPurpose) -> [LeaseAction; 2] {
    [
        LeaseAction::CreateOrder(link, purpose),
        LeaseAction::SendOrder(link),
    ]
}
