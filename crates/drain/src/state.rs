//! The states of a drain and the table of their transitions.

use DrainEffect::{BeginDrain, BeginShutdown, ChangeDeadline, NoEffect, Reject, Resume};
use DrainInput::{
    AllSessionsEnded, DeadlineAtRisk, DeadlineSafe, DrainRequested, NewSessionsStopped,
    SessionsOpen, ShutdownRequested, UndrainRequested,
};
use DrainState::{Closing, Empty, Exiting, Late, Migrating, Serving};

/// State of a drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainState {
    /// The proxy is not draining.
    Serving,
    /// The front load balancer's pings are no longer answered. It may still send new sessions, and all sessions are
    /// served.
    Closing,
    /// Open sessions are migrated at the requested rate, or one that endpoints can absorb.
    Migrating,
    /// Open sessions are migrated at the higher rate that the deadline requires.
    Late,
    /// No session is left. One that still arrives is set up, and migrated once it is open.
    Empty,
    /// The proxy is shutting down, which cannot be cancelled.
    Exiting,
}

impl DrainState {
    /// The state's name in the admin status and in log lines.
    pub fn name(self) -> &'static str {
        match self {
            DrainState::Serving => "serving",
            DrainState::Closing => "closing",
            DrainState::Migrating => "moving",
            DrainState::Late => "late",
            DrainState::Empty => "empty",
            DrainState::Exiting => "exiting",
        }
    }
}

/// Input of the state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainInput {
    /// An operator starts a drain, or changes the deadline and rate of the one in progress.
    DrainRequested,
    /// An operator cancels the drain.
    UndrainRequested,
    /// The proxy has to shut down.
    ShutdownRequested,
    /// The front load balancer has stopped sending sessions, or its time to do so has passed.
    NewSessionsStopped,
    /// No session is open or being set up.
    AllSessionsEnded,
    /// There are open sessions.
    SessionsOpen,
    /// The deadline requires a rate over 5 % above the drain's own.
    DeadlineAtRisk,
    /// The deadline requires a rate over 5 % below the drain's own.
    DeadlineSafe,
}

/// What the caller of a transition has to do, besides the change of state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainEffect {
    /// Nothing.
    NoEffect,
    /// Reset the count of migrated sessions and the pacing, and use the request's deadline and rate.
    BeginDrain,
    /// Use the request's deadline and rate in the drain in progress.
    ChangeDeadline,
    /// Record when the proxy began to serve again.
    Resume,
    /// Follow the shutdown's schedule from now on.
    BeginShutdown,
    /// Reject the request.
    Reject(DrainError),
}

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}", self.message())]
pub enum DrainError {
    /// The proxy is shutting down.
    Exiting,
    /// There is no drain to cancel.
    NotDraining,
}

impl DrainError {
    /// The text that operators see.
    pub fn message(self) -> &'static str {
        match self {
            DrainError::Exiting => "the proxy leaves for good",
            DrainError::NotDraining => "the proxy is not draining",
        }
    }
}

/// One row of [`TRANSITIONS`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Transition {
    /// State in which the row applies.
    pub from: DrainState,
    /// Input to which the row applies.
    pub input: DrainInput,
    /// State after the transition.
    pub to: DrainState,
    /// What has to be done.
    pub effect: DrainEffect,
}

const fn transition(
    from: DrainState,
    input: DrainInput,
    to: DrainState,
    effect: DrainEffect,
) -> Transition {
    Transition {
        from,
        input,
        to,
        effect,
    }
}

/// All transitions, with at most one row for each state and input. An input without a row is ignored.
pub const TRANSITIONS: &[Transition] = &[
    transition(Serving, DrainRequested, Closing, BeginDrain),
    transition(Closing, DrainRequested, Closing, ChangeDeadline),
    transition(Migrating, DrainRequested, Migrating, ChangeDeadline),
    transition(Late, DrainRequested, Migrating, ChangeDeadline),
    transition(Empty, DrainRequested, Empty, ChangeDeadline),
    transition(
        Exiting,
        DrainRequested,
        Exiting,
        Reject(DrainError::Exiting),
    ),
    transition(
        Serving,
        UndrainRequested,
        Serving,
        Reject(DrainError::NotDraining),
    ),
    transition(Closing, UndrainRequested, Serving, Resume),
    transition(Migrating, UndrainRequested, Serving, Resume),
    transition(Late, UndrainRequested, Serving, Resume),
    transition(Empty, UndrainRequested, Serving, Resume),
    transition(
        Exiting,
        UndrainRequested,
        Exiting,
        Reject(DrainError::Exiting),
    ),
    transition(Serving, ShutdownRequested, Exiting, BeginShutdown),
    transition(Closing, ShutdownRequested, Exiting, BeginShutdown),
    transition(Migrating, ShutdownRequested, Exiting, BeginShutdown),
    transition(Late, ShutdownRequested, Exiting, BeginShutdown),
    transition(Empty, ShutdownRequested, Exiting, BeginShutdown),
    transition(Closing, NewSessionsStopped, Migrating, NoEffect),
    transition(Migrating, AllSessionsEnded, Empty, NoEffect),
    transition(Late, AllSessionsEnded, Empty, NoEffect),
    transition(Empty, SessionsOpen, Migrating, NoEffect),
    transition(Migrating, DeadlineAtRisk, Late, NoEffect),
    transition(Late, DeadlineSafe, Migrating, NoEffect),
];

impl Transition {
    /// The row for `input` in the state `from`; `None` if the state ignores it.
    pub fn find(from: DrainState, input: DrainInput) -> Option<&'static Transition> {
        TRANSITIONS
            .iter()
            .find(|transition| transition.from == from && transition.input == input)
    }
}
