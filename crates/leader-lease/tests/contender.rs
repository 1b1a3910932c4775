//! State transitions of a contender, the end of its lease, and the expiry of its orders.

use asterramp_leader_lease::{
    LeaseContender, LeaseSettings, LeaseState, NO_TERM, OrderPurpose, ReceiverClock,
};
use std::time::Duration;

const SETTINGS: LeaseSettings = LeaseSettings {
    session_timeout: Duration::from_secs(4),
    clock_margin: Duration::from_secs(1),
};
const TERM: u64 = 7;
/// The clock of a receiver that has been running for an hour.
const RECEIVER: ReceiverClock = ReceiverClock {
    incarnation: 3,
    now: Duration::from_secs(3_600),
};

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// A contender that queued at 10 s, by a request sent at 9 s.
fn queued() -> LeaseContender {
    let mut contender = LeaseContender::new(SETTINGS);
    contender.joined_queue(at(10), at(9), TERM);
    contender
}

/// A contender that learnt at 10 s that its node is the first.
fn awaiting_predecessor() -> LeaseContender {
    let mut contender = queued();
    contender.queue_head_read(at(10), TERM);
    contender
}

/// A contender that leads since 10 s, with a lease until 12 s.
fn leader() -> LeaseContender {
    let mut contender = awaiting_predecessor();
    contender.all_receivers_accepted_term();
    contender
}

#[test]
fn new_contender_has_no_term_and_no_lease() {
    let mut contender = LeaseContender::new(SETTINGS);
    assert_eq!(contender.state(), LeaseState::NotQueued);
    assert_eq!(contender.term(), NO_TERM);
    contender.store_answered(at(1), at(1));
    contender.queue_head_read(at(1), NO_TERM);
    assert_eq!(contender.state(), LeaseState::NotQueued);
    assert!(!contender.holds_valid_lease(at(1)));
}

#[test]
fn contender_behind_another_stays_queued() {
    let mut contender = queued();
    contender.queue_head_read(at(10), TERM - 1);
    contender.all_receivers_accepted_term();
    contender.tick(at(100));
    assert_eq!(contender.state(), LeaseState::Queued);
}

#[test]
fn first_contender_leads_once_all_receivers_accepted_its_term() {
    let mut contender = awaiting_predecessor();
    assert_eq!(contender.state(), LeaseState::AwaitingPredecessor);
    contender.all_receivers_accepted_term();
    assert_eq!(contender.state(), LeaseState::Leader);
}

#[test]
fn first_contender_leads_once_its_predecessors_session_must_have_expired() {
    let mut contender = awaiting_predecessor();
    contender.tick(at(14) - Duration::from_millis(1));
    assert_eq!(contender.state(), LeaseState::AwaitingPredecessor);
    contender.tick(at(14));
    assert_eq!(contender.state(), LeaseState::Leader);
}

#[test]
fn leader_that_is_no_longer_first_is_queued_again() {
    let mut contender = leader();
    contender.queue_head_read(at(11), TERM);
    assert_eq!(contender.state(), LeaseState::Leader);
    contender.queue_head_read(at(11), TERM - 1);
    assert_eq!(contender.state(), LeaseState::Queued);
}

#[test]
fn expired_session_ends_leadership_and_keeps_the_term() {
    let mut contender = leader();
    contender.session_expired();
    assert_eq!(contender.state(), LeaseState::NotQueued);
    assert_eq!(contender.term(), TERM);
}

#[test]
fn lease_starts_at_the_request_and_is_shortened_by_the_clock_margin() {
    let contender = leader();
    assert!(contender.holds_valid_lease(at(12) - Duration::from_millis(1)));
    assert!(!contender.holds_valid_lease(at(12)));
}

#[test]
fn late_answer_to_an_early_request_does_not_shorten_the_lease() {
    let mut contender = leader();
    contender.store_answered(at(11), at(5));
    assert!(contender.holds_valid_lease(at(11)));
    contender.store_answered(at(13), at(13));
    assert!(contender.holds_valid_lease(at(15)));
}

#[test]
fn order_expires_with_the_lease_by_the_receivers_clock() {
    let mut contender = leader();
    let token = contender
        .order(at(11), RECEIVER, at(10), OrderPurpose::Command)
        .expect("the contender leads");
    assert_eq!(token.term, TERM);
    assert_eq!(token.incarnation, RECEIVER.incarnation);
    // The lease ends at 12 s, two seconds after the receiver's clock was read.
    assert_eq!(token.expires_at, RECEIVER.now + at(2));
}

#[test]
fn no_order_is_given_after_the_lease() {
    let mut contender = leader();
    for purpose in [OrderPurpose::AnnounceTerm, OrderPurpose::Command] {
        assert_eq!(contender.order(at(12), RECEIVER, at(11), purpose), None);
    }
}

#[test]
fn contender_may_only_announce_its_term_before_it_leads() {
    let mut contender = awaiting_predecessor();
    let command = contender.order(at(11), RECEIVER, at(11), OrderPurpose::Command);
    assert_eq!(command, None);
    let announcement = contender.order(at(11), RECEIVER, at(11), OrderPurpose::AnnounceTerm);
    assert!(announcement.is_some());
    let mut contender = queued();
    let announcement = contender.order(at(11), RECEIVER, at(11), OrderPurpose::AnnounceTerm);
    assert_eq!(announcement, None);
}
