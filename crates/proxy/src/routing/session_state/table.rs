//! The transition table of a session, and what the outcome of a dial implies.

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

/// A [`super::SessionInput`] without its data, split further by the state of the session where that decides.
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
    /// The server accepted, but the client has left.
    ServerAcceptedClientGone,
    ServerDeclined,
    ServerDisconnected,
    DeadlineReached,
    ClientLeft,
    ClientSentEarlyData,
    /// The client of a restored session that is not open yet left or sent data; the engine does not know the session.
    RestoredClientGone,
    SessionClosed,
    ShutdownCutoff,
    DrainCutoff,
}

/// An effect of a transition; most expand to several [`super::SessionEffect`]s.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TransitionEffect {
    BeginDial,
    SendRequest,
    OpenSession,
    /// Closes the dial and notifies the engine of this outcome.
    EndDial(Outcome),
    /// Closes the dial and notifies the engine of the outcome in its server's response.
    EndDialAsDeclined,
    RejectClient,
    FailClient,
    MigrateClient,
    /// Dials the server of a restored session again; nothing for any other session.
    Restore,
    /// The client has left (it is dropped) or broken the protocol (it is sent a failure); either way it counts as gone.
    ReleaseClient,
    /// Closes the dial and removes the session, without notifying the engine.
    Forget,
    /// Notifies the engine of the end of an open session.
    NotifySessionOver,
    NotifyClientLeft,
    /// Closes the dial, sends the client a failure and removes the session, without notifying the engine.
    ShutDown,
    /// Closes a dial whose request is not completely written, also where the engine may not cancel dials: the server
    /// has nothing to run yet, and completing the request would start an attempt for a client that is gone.
    AbandonUnsentDial,
}

/// What an input does in a state: the next state and the effects, in order.
#[derive(Debug)]
pub(super) struct Transition {
    state: SessionState,
    input: InputKind,
    pub(super) next: SessionState,
    pub(super) effects: &'static [TransitionEffect],
}

/// One row of the table.
const fn row(
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

// Effect lists that several rows share, or that a row needs a name for.
const NOT_SENT: &[TransitionEffect] = &[EndDial(Outcome::NotSent)];
const UNREACHABLE: &[TransitionEffect] = &[EndDial(Outcome::Unreachable)];
const CANCELLED: &[TransitionEffect] = &[EndDial(Outcome::Cancelled)];
const TIMED_OUT: &[TransitionEffect] = &[EndDial(Outcome::TimedOut)];
const RESET: &[TransitionEffect] = &[EndDial(Outcome::Reset)];
const ACCEPTED_CLIENT_GONE: &[TransitionEffect] = &[EndDial(Outcome::Ok)];
const CLIENT_GONE: &[TransitionEffect] = &[ReleaseClient, NotifyClientLeft];
const CLIENT_GONE_UNSENT: &[TransitionEffect] =
    &[ReleaseClient, NotifyClientLeft, AbandonUnsentDial];
const CUT_OFF: &[TransitionEffect] = &[FailClient, NotifyClientLeft];
const CUT_OFF_UNSENT: &[TransitionEffect] = &[FailClient, NotifyClientLeft, AbandonUnsentDial];
const RESTORED_CLIENT_GONE: &[TransitionEffect] = &[ReleaseClient, Forget];

/// All transitions. An input without a row for the current state is late or stray, and is ignored.
const TRANSITIONS: &[Transition] = &[
    row(Idle, Dial, Connecting, &[BeginDial]),
    row(Idle, Reject, Ended, &[RejectClient]),
    row(Idle, Fail, Ended, &[FailClient]),
    row(Idle, DeadlineReached, Idle, &[Restore]),
    row(Idle, NoSocket, Idle, NOT_SENT),
    row(Connecting, NoSocket, Idle, NOT_SENT),
    row(Connecting, Unreachable, Idle, UNREACHABLE),
    row(Connecting, DeadlineReached, Idle, UNREACHABLE),
    row(Connecting, Cancel, Idle, CANCELLED),
    row(Connecting, Connected, SendingRequest, &[SendRequest]),
    row(SendingRequest, RequestWritten, AwaitingResponse, &[]),
    // The request's last byte was not written, so the server cannot have acted on it.
    row(SendingRequest, ServerDisconnected, Idle, UNREACHABLE),
    row(SendingRequest, DeadlineReached, Idle, UNREACHABLE),
    row(SendingRequest, Cancel, Idle, CANCELLED),
    // The client left before the request's first byte was written.
    row(SendingRequest, NoSocket, Idle, NOT_SENT),
    row(AwaitingResponse, ServerAccepted, Open, &[OpenSession]),
    // The client left earlier, when the dial could not be cancelled.
    row(
        AwaitingResponse,
        ServerAcceptedClientGone,
        Idle,
        ACCEPTED_CLIENT_GONE,
    ),
    row(AwaitingResponse, ServerDeclined, Idle, &[EndDialAsDeclined]),
    row(AwaitingResponse, ServerDisconnected, Idle, RESET),
    row(AwaitingResponse, DeadlineReached, Idle, TIMED_OUT),
    row(AwaitingResponse, Cancel, Idle, CANCELLED),
    row(Open, Migrate, Open, &[MigrateClient]),
    row(Open, ClientLeft, Open, &[NotifyClientLeft]),
    row(Open, SessionClosed, Ended, &[NotifySessionOver]),
    row(Idle, ClientLeft, Idle, CLIENT_GONE),
    row(Connecting, ClientLeft, Idle, CLIENT_GONE_UNSENT),
    row(SendingRequest, ClientLeft, Idle, CLIENT_GONE_UNSENT),
    row(AwaitingResponse, ClientLeft, AwaitingResponse, CLIENT_GONE),
    // The client must wait for its response: data sent before would be forwarded to a server that has not accepted.
    row(Idle, ClientSentEarlyData, Idle, CLIENT_GONE),
    row(Connecting, ClientSentEarlyData, Idle, CLIENT_GONE_UNSENT),
    row(
        SendingRequest,
        ClientSentEarlyData,
        Idle,
        CLIENT_GONE_UNSENT,
    ),
    row(
        AwaitingResponse,
        ClientSentEarlyData,
        AwaitingResponse,
        CLIENT_GONE,
    ),
    row(Idle, DrainCutoff, Idle, CUT_OFF),
    row(Connecting, DrainCutoff, Idle, CUT_OFF_UNSENT),
    row(SendingRequest, DrainCutoff, Idle, CUT_OFF_UNSENT),
    row(AwaitingResponse, DrainCutoff, AwaitingResponse, CUT_OFF),
    row(Idle, RestoredClientGone, Ended, RESTORED_CLIENT_GONE),
    row(Connecting, RestoredClientGone, Ended, RESTORED_CLIENT_GONE),
    row(
        SendingRequest,
        RestoredClientGone,
        Ended,
        RESTORED_CLIENT_GONE,
    ),
    row(
        AwaitingResponse,
        RestoredClientGone,
        Ended,
        RESTORED_CLIENT_GONE,
    ),
    row(Idle, ShutdownCutoff, Ended, &[ShutDown]),
    row(Connecting, ShutdownCutoff, Ended, &[ShutDown]),
    row(SendingRequest, ShutdownCutoff, Ended, &[ShutDown]),
    row(AwaitingResponse, ShutdownCutoff, Ended, &[ShutDown]),
];

/// The transition of a state on an input; `None` if the input is to be ignored.
pub(super) fn find_transition(
    state: SessionState,
    input: InputKind,
) -> Option<&'static Transition> {
    TRANSITIONS
        .iter()
        .find(|row| row.state == state && row.input == input)
}

/// Whether the outcome of a dial proves that the server did not act on the request, so that a retry is safe.
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

/// The reason code under which the outcome of a dial is logged; `None` for a dial that was accepted.
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
