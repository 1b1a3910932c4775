//! Each state takes only the inputs that have their place in it.

use asterramp_hot_restart::HotRestartEffect::{self, *};
use asterramp_hot_restart::HotRestartInput::{self, *};
use asterramp_hot_restart::HotRestartState::{self, *};
use test_case::test_case;

#[test_case(Idle, PeerConnected, SuccessorConnected, AwaitHello)]
#[test_case(SuccessorConnected, ServingReceived, Idle, CloseLink; "out of turn")]
#[test_case(StateSent, PeerConnected, StateSent, RejectPeer; "a second at once")]
#[test_case(StateSent, OfferReceived, Idle, CloseLink; "the successor offers")]
#[test_case(HandingOver, PeerFailed, Idle, StopHandover)]
#[test_case(HandingOver, LinkClosed, Idle, ResumeOffers)]
#[test_case(HandingOver, HelloReceived, Idle, StopHandover; "hello again")]
#[test_case(TakingOver, LinkClosed, Idle, AdoptUnconfirmed)]
#[test_case(TakingOver, HandoverStoppedReceived, TakingOver, DiscardUnconfirmed)]
#[test_case(TakingOver, PeerFailed, Idle, CloseLink)]
#[test_case(StateSent, LinkClosed, Idle, CloseLink; "it never served")]
#[test_case(TakingOver, ServingReceived, Idle, CloseLink; "the predecessor serves")]
fn transitions(
    mut state: HotRestartState,
    input: HotRestartInput,
    next: HotRestartState,
    effect: HotRestartEffect,
) {
    assert_eq!((state.apply(input), state), (effect, next));
}
