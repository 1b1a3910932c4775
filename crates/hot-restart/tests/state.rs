//! Valid inputs change the state as the table says; any other input ends the hot restart.

use asterramp_hot_restart::HotRestartEffect::{self, *};
use asterramp_hot_restart::HotRestartInput::{self, *};
use asterramp_hot_restart::HotRestartState::{self, *};
use test_case::test_case;

#[test_case(Idle, PeerConnected, SuccessorConnected, AwaitHello)]
#[test_case(SuccessorConnected, ServingReceived, Idle, CloseLink; "serving before the state was sent")]
#[test_case(StateSent, PeerConnected, StateSent, RejectPeer; "a second successor")]
#[test_case(StateSent, OfferReceived, Idle, CloseLink; "an offer from the successor")]
#[test_case(HandingOver, PeerFailed, Idle, StopHandover)]
#[test_case(HandingOver, LinkClosed, Idle, ResumeOffers)]
#[test_case(HandingOver, HelloReceived, Idle, StopHandover; "a second hello")]
#[test_case(TakingOver, LinkClosed, Idle, AdoptUnconfirmed)]
#[test_case(TakingOver, HandoverStoppedReceived, TakingOver, DiscardUnconfirmed)]
#[test_case(TakingOver, PeerFailed, Idle, CloseLink)]
#[test_case(StateSent, LinkClosed, Idle, CloseLink; "the successor ended before it served")]
#[test_case(StateSent, SessionIdsRequestReceived, StateSent, ShareSessionIds)]
#[test_case(HandingOver, SessionIdsRequestReceived, Idle, StopHandover; "a request for ids after serving")]
#[test_case(TakingOver, SessionIdsReceived, TakingOver, RecordSessionIds)]
#[test_case(HandingOver, SessionIdsReceived, Idle, StopHandover; "ids from the successor")]
#[test_case(TakingOver, ServingReceived, Idle, CloseLink; "serving from the predecessor")]
fn transitions(
    mut state: HotRestartState,
    input: HotRestartInput,
    next: HotRestartState,
    effect: HotRestartEffect,
) {
    assert_eq!((state.apply(input), state), (effect, next));
}
