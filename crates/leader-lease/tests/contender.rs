//! The contender's state table, its lease and the ends of its orders.

use asterramp_leader_lease::{
    LeaseContender, LeaseSettings, LeaseState, NO_TERM, OrderPurpose, ReceiverClock,
};
use std::time::Duration;

const SETTINGS: LeaseSettings = LeaseSettings {
    session_timeout: Duration::from_secs(4),
    clock_margin: Duration::from_secs(1),
};
const TERM: u64 = 7;
/// The clock of a receiver that has run for an hour.
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

/// One whose node is the first, by an answer at 10 s.
fn awaiting() -> LeaseContender {
    let mut contender = queued();
    contender.queue_head_read(at(10), TERM);
    contender
}

fn leader() -> LeaseContender {
    let mut contender = awaiting();
    contender.all_receivers_accepted_term();
    contender
}

#[test]
fn a_new_contender_has_no_term_and_no_lease() {
    let mut contender = LeaseContender::new(SETTINGS);
    assert_eq!(contender.state(), LeaseState::NotQueued);
    assert_eq!(contender.term(), NO_TERM);
    contender.store_answered(at(1), at(1));
    contender.queue_head_read(at(1), NO_TERM);
    assert_eq!(contender.state(), LeaseState::NotQueued);
    assert!(!contender.holds_valid_lease(at(1)));
}

#[test]
fn a_contender_behind_another_only_waits() {
    let mut contender = queued();
    contender.queue_head_read(at(10), TERM - 1);
    contender.all_receivers_accepted_term();
    contender.tick(at(100));
    assert_eq!(contender.state(), LeaseState::Queued);
}

#[test]
fn the_first_leads_once_all_receivers_know_its_term() {
    let mut contender = awaiting();
    assert_eq!(contender.state(), LeaseState::AwaitingPredecessor);
    contender.all_receivers_accepted_term();
    assert_eq!(contender.state(), LeaseState::Leader);
}

#[test]
fn the_first_leads_once_its_predecessors_session_must_have_ended() {
    let mut contender = awaiting();
    contender.tick(at(14) - Duration::from_millis(1));
    assert_eq!(contender.state(), LeaseState::AwaitingPredecessor);
    contender.tick(at(14));
    assert_eq!(contender.state(), LeaseState::Leader);
}

#[test]
fn a_leader_that_is_not_the_first_any_more_queues_again() {
    let mut contender = leader();
    contender.queue_head_read(at(11), TERM);
    assert_eq!(contender.state(), LeaseState::Leader);
    contender.queue_head_read(at(11), TERM - 1);
    assert_eq!(contender.state(), LeaseState::Queued);
}

#[test]
fn an_expired_session_ends_the_lead_and_keeps_the_term() {
    let mut contender = leader();
    contender.session_expired();
    assert_eq!(contender.state(), LeaseState::NotQueued);
    assert_eq!(contender.term(), TERM);
}

#[test]
fn a_lease_is_counted_from_the_request_and_ends_by_the_margin_earlier() {
    let contender = leader();
    assert!(contender.holds_valid_lease(at(12) - Duration::from_millis(1)));
    assert!(!contender.holds_valid_lease(at(12)));
}

#[test]
fn a_late_answer_to_an_early_request_does_not_shorten_the_lease() {
    let mut contender = leader();
    contender.store_answered(at(11), at(5));
    assert!(contender.holds_valid_lease(at(11)));
    contender.store_answered(at(13), at(13));
    assert!(contender.holds_valid_lease(at(15)));
}

#[test]
fn an_order_ends_with_the_lease_by_the_receivers_clock() {
    let mut contender = leader();
    let token = contender
        .order(at(11), RECEIVER, at(10), OrderPurpose::Command)
        .expect("it leads");
    assert_eq!(token.term, TERM);
    assert_eq!(token.incarnation, RECEIVER.incarnation);
    // The lease ends at 12 s, two seconds after the clock was read.
    assert_eq!(token.expires_at, RECEIVER.now + at(2));
}

#[test]
fn no_order_is_made_after_the_lease() {
    let mut contender = leader();
    for purpose in [OrderPurpose::AnnounceTerm, OrderPurpose::Command] {
        assert_eq!(contender.order(at(12), RECEIVER, at(11), purpose), None);
    }
}

#[test]
fn before_it_leads_a_contender_may_only_announce_its_term() {
    let mut contender = awaiting();
    let command = contender.order(at(11), RECEIVER, at(11), OrderPurpose::Command);
    assert_eq!(command, None);
    let announcement = contender.order(at(11), RECEIVER, at(11), OrderPurpose::AnnounceTerm);
    assert!(announcement.is_some());
    let mut contender = queued();
    let announcement = contender.order(at(11), RECEIVER, at(11), OrderPurpose::AnnounceTerm);
    assert_eq!(announcement, None);
}
