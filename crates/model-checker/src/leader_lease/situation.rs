//! Starting points of explorations that are too many actions from the initial state to be reached within an
//! exploration's depth.

use super::action::{LeaseAction, Link};
use super::settings::CONTENDER_COUNT;
use asterramp_leader_lease::OrderPurpose;

/// The contender that becomes leader first.
const LEADER: usize = 0;
/// The contender that queues behind [`LEADER`].
const STANDBY: usize = 1;
/// The link from the leader to receiver 0.
const LEADER_LINK: Link = Link {
    contender: LEADER,
    receiver: 0,
};
/// The link from the standby to receiver 0.
const STANDBY_LINK: Link = Link {
    contender: STANDBY,
    receiver: 0,
};
/// Ticks after which a contender at the head of the queue has become leader, also with the slow clock.
const TICKS_UNTIL_LEADING: usize = 5;

/// A starting point of an exploration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseSituation {
    /// The initial state: no contender is queued.
    Start,
    /// One contender is leader, and has renewed its session at each tick.
    Leading,
    /// As `Leading`, with the other contender queued behind the leader.
    StandbyQueued,
    /// As `StandbyQueued`, with an order of the leader in flight.
    OrderInFlight,
    /// One contender is leader and has a reading of a receiver's clock. The store has handled its next request, and the
    /// answer is in flight.
    RequestHandled,
    /// Both contenders have been queued for several ticks, and have renewed their sessions at each of them.
    BothQueuedForLong,
    /// An order of the leader is in flight. The store has lost all sessions, and only the standby has queued again; the
    /// store's answer to its request is in flight.
    SessionsLost,
    /// As `SessionsLost`, but the standby has received the answer and has announced its new term to one receiver. That
    /// order is in flight too.
    TermAnnounced,
}

impl LeaseSituation {
    /// All situations.
    pub const ALL: [LeaseSituation; 8] = [
        LeaseSituation::Start,
        LeaseSituation::Leading,
        LeaseSituation::StandbyQueued,
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
            LeaseSituation::StandbyQueued => {
                let joins = [LeaseAction::JoinQueue(STANDBY)];
                concat(&[&become_leader(), &joins, &renew(STANDBY)])
            }
            LeaseSituation::OrderInFlight => {
                let earlier = LeaseSituation::StandbyQueued.actions();
                let order = send_order(LEADER_LINK, OrderPurpose::Command);
                concat(&[&earlier, &fetch_clock(LEADER_LINK), &order])
            }
            LeaseSituation::RequestHandled => {
                let request = send_and_handle_request(LEADER);
                concat(&[&become_leader(), &fetch_clock(LEADER_LINK), &request])
            }
            LeaseSituation::BothQueuedForLong => {
                let mut actions = LeaseSituation::StandbyQueued.actions();
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
                    LeaseAction::LearnOfExpiry(STANDBY),
                    LeaseAction::JoinQueue(STANDBY),
                ];
                let request = send_and_handle_request(STANDBY);
                concat(&[&earlier, &queues_again, &request])
            }
            LeaseSituation::TermAnnounced => {
                let earlier = LeaseSituation::SessionsLost.actions();
                let answer = [LeaseAction::ReceiveStoreAnswer(STANDBY)];
                let announcement = send_order(STANDBY_LINK, OrderPurpose::AnnounceTerm);
                concat(&[&earlier, &answer, &fetch_clock(STANDBY_LINK), &announcement])
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

fn fetch_clock(link: Link) -> [LeaseAction; 3] {
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
