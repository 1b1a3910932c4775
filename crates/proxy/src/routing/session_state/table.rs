//! The transitions of a session as a table, and what the end of a dial means.

use super::SessionState;
use crate::routing::events::ReasonCode;
use InputKind::{
    Cancel, ClientLeft, ClientSentEarlyData, Connected, DeadlineReached, Dial, DrainCutoff, Fail,
    Migrate, NoSocket, Reject, RequestWritten, RestoredClientGone, ServerAccepted,
    ServerAcceptedClientGone, ServerDeclined, ServerDisconnected, SessionClosed, ShutdownCutoff,
    Unreachable,
};
use SessionState::{AwaitingResponse, Connecting, Ended, Idle, Open, SendingRequest};
use TransitionEffect::{
    AbandonUnsentDial, BeginDial, EndDial, EndDialAsDeclined, FailClient, Forget, MigrateClient,
    NotifyClientLeft, NotifySessionOver, OpenSession, RejectClient, ReleaseClient, Restore,
    SendRequest, ShutDown,
};
use asterramp_placement::event::Outcome;

/// An input without its data, distinguished further by the session that it meets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum InputKind {
    Dial,
    Cancel,
    Reject,
    Fail,
    Migrate,
    NoSocket,
    Unreachable,
    Connected,
    RequestWritten,
    ServerAccepted,
    /// Accepted, but the client has left.
    ServerAcceptedClientGone,
    ServerDeclined,
    ServerDisconnected,
    DeadlineReached,
    ClientLeft,
    ClientSentEarlyData,
    /// The client of a restored session, which the engine has not heard of yet, left or spoke.
    RestoredClientGone,
    SessionClosed,
    ShutdownCutoff,
    DrainCutoff,
}

/// What a transition does; most stand for several [`super::SessionEffect`]s.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TransitionEffect {
    BeginDial,
    SendRequest,
    OpenSession,
    /// Closes the dial and notifies the engine how it ended.
    EndDial(Outcome),
    /// The same, by what its server answered.
    EndDialAsDeclined,
    RejectClient,
    FailClient,
    MigrateClient,
    Restore,
    /// The client has left or broken the protocol: it is dropped or answered, and counts as gone.
    ReleaseClient,
    Forget,
    NotifySessionOver,
    NotifyClientLeft,
    ShutDown,
    /// Closes a dial whose request is not at its server, also where the engine may not cancel dials: nothing runs
    /// there yet, and what would be written now would be an attempt for a client that is gone.
    AbandonUnsentDial,
}

/// One row of the table.
#[derive(Debug)]
pub(super) struct Transition {
    state: SessionState,
    input: InputKind,
    pub(super) next: SessionState,
    pub(super) effects: &'static [TransitionEffect],
}

const fn on(
    state: SessionState,
    input: InputKind,
    next: SessionState,
    effects: &'static [TransitionEffect],
) -> Transition {
    Transition {
        state,
        input,
        next,
        effects,
    }
}

const NEVER_SENT: &[TransitionEffect] = &[EndDial(Outcome::NotSent)];
const UNREACHABLE: &[TransitionEffect] = &[EndDial(Outcome::Unreachable)];
const CANCELLED: &[TransitionEffect] = &[EndDial(Outcome::Cancelled)];
const TIMED_OUT: &[TransitionEffect] = &[EndDial(Outcome::TimedOut)];
const RESET: &[TransitionEffect] = &[EndDial(Outcome::Reset)];
const UNWANTED: &[TransitionEffect] = &[EndDial(Outcome::Ok)];
const CLIENT_GONE: &[TransitionEffect] = &[ReleaseClient, NotifyClientLeft];
const CLIENT_GONE_UNSENT: &[TransitionEffect] =
    &[ReleaseClient, NotifyClientLeft, AbandonUnsentDial];
const CUT_OFF: &[TransitionEffect] = &[FailClient, NotifyClientLeft];
const CUT_OFF_UNSENT: &[TransitionEffect] = &[FailClient, NotifyClientLeft, AbandonUnsentDial];
const RESTORED_CLIENT_GONE: &[TransitionEffect] = &[ReleaseClient, Forget];

/// All transitions. An input that its state does not list is late or stray, and ignored.
const TRANSITIONS: &[Transition] = &[
    on(Idle, Dial, Connecting, &[BeginDial]),
    on(Idle, Reject, Ended, &[RejectClient]),
    on(Idle, Fail, Ended, &[FailClient]),
    on(Idle, DeadlineReached, Idle, &[Restore]),
    on(Idle, NoSocket, Idle, NEVER_SENT),
    on(Connecting, NoSocket, Idle, NEVER_SENT),
    on(Connecting, Unreachable, Idle, UNREACHABLE),
    on(Connecting, DeadlineReached, Idle, UNREACHABLE),
    on(Connecting, Cancel, Idle, CANCELLED),
    on(Connecting, Connected, SendingRequest, &[SendRequest]),
    on(SendingRequest, RequestWritten, AwaitingResponse, &[]),
    // The request's last byte was never written.
    on(SendingRequest, ServerDisconnected, Idle, UNREACHABLE),
    on(SendingRequest, DeadlineReached, Idle, UNREACHABLE),
    on(SendingRequest, Cancel, Idle, CANCELLED),
    // The client had gone before the request's first byte was written.
    on(SendingRequest, NoSocket, Idle, NEVER_SENT),
    on(AwaitingResponse, ServerAccepted, Open, &[OpenSession]),
    // The client left while its dial could not be cancelled.
    on(AwaitingResponse, ServerAcceptedClientGone, Idle, UNWANTED),
    on(AwaitingResponse, ServerDeclined, Idle, &[EndDialAsDeclined]),
    on(AwaitingResponse, ServerDisconnected, Idle, RESET),
    on(AwaitingResponse, DeadlineReached, Idle, TIMED_OUT),
    on(AwaitingResponse, Cancel, Idle, CANCELLED),
    on(Open, Migrate, Open, &[MigrateClient]),
    on(Open, ClientLeft, Open, &[NotifyClientLeft]),
    on(Open, SessionClosed, Ended, &[NotifySessionOver]),
    on(Idle, ClientLeft, Idle, CLIENT_GONE),
    on(Connecting, ClientLeft, Idle, CLIENT_GONE_UNSENT),
    on(SendingRequest, ClientLeft, Idle, CLIENT_GONE_UNSENT),
    on(AwaitingResponse, ClientLeft, AwaitingResponse, CLIENT_GONE),
    // It was to wait for its answer: what it said would reach its server unasked.
    on(Idle, ClientSentEarlyData, Idle, CLIENT_GONE),
    on(Connecting, ClientSentEarlyData, Idle, CLIENT_GONE_UNSENT),
    on(
        SendingRequest,
        ClientSentEarlyData,
        Idle,
        CLIENT_GONE_UNSENT,
    ),
    on(
        AwaitingResponse,
        ClientSentEarlyData,
        AwaitingResponse,
        CLIENT_GONE,
    ),
    on(Idle, DrainCutoff, Idle, CUT_OFF),
    on(Connecting, DrainCutoff, Idle, CUT_OFF_UNSENT),
    on(SendingRequest, DrainCutoff, Idle, CUT_OFF_UNSENT),
    on(AwaitingResponse, DrainCutoff, AwaitingResponse, CUT_OFF),
    on(Idle, RestoredClientGone, Ended, RESTORED_CLIENT_GONE),
    on(Connecting, RestoredClientGone, Ended, RESTORED_CLIENT_GONE),
    on(
        SendingRequest,
        RestoredClientGone,
        Ended,
        RESTORED_CLIENT_GONE,
    ),
    on(
        AwaitingResponse,
        RestoredClientGone,
        Ended,
        RESTORED_CLIENT_GONE,
    ),
    on(Idle, ShutdownCutoff, Ended, &[ShutDown]),
    on(Connecting, ShutdownCutoff, Ended, &[ShutDown]),
    on(SendingRequest, ShutdownCutoff, Ended, &[ShutDown]),
    on(AwaitingResponse, ShutdownCutoff, Ended, &[ShutDown]),
];

/// The transition of a state on an input, if there is one.
pub(super) fn transition(state: SessionState, input: InputKind) -> Option<&'static Transition> {
    TRANSITIONS
        .iter()
        .find(|row| row.state == state && row.input == input)
}

/// Whether the end of a dial proves that its server did not act on the request, so that it may be sent again.
pub(super) fn proves_not_run(outcome: Outcome) -> bool {
    match outcome {
        Outcome::Full | Outcome::Unreachable | Outcome::NotSent => true,
        Outcome::Ok
        | Outcome::ServerError
        | Outcome::TimedOut
        | Outcome::Reset
        | Outcome::Cancelled => false,
    }
}

/// The code under which the end of a dial is logged; none for one that was accepted.
pub(super) fn dial_end_code(outcome: Outcome) -> Option<ReasonCode> {
    match outcome {
        Outcome::Ok => None,
        Outcome::ServerError => Some(ReasonCode::AttemptErred),
        Outcome::Full => Some(ReasonCode::AttemptServerFull),
        Outcome::TimedOut => Some(ReasonCode::AttemptTimedOut),
        Outcome::Unreachable => Some(ReasonCode::AttemptUnreachable),
        Outcome::Reset => Some(ReasonCode::AttemptReset),
        Outcome::Cancelled => Some(ReasonCode::AttemptCancelled),
        Outcome::NotSent => Some(ReasonCode::AttemptNotSent),
    }
}
