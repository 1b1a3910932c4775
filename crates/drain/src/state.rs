//! The states of a drain and the table of their transitions.

use DrainEffect::{BeginDrain, BeginShutdown, ChangeDeadline, NoEffect, Reject, Resume};
use DrainInput::{
    AllSessionsEnded, DeadlineAtRisk, DeadlineSafe, DrainRequested, NewSessionsStopped,
    SessionsOpen, ShutdownRequested, UndrainRequested,
};
use DrainState::{Closing, Empty, Exiting, Late, Migrating, Serving};

/// Where a drain stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainState {
    /// The proxy is not draining.
    Serving,
    /// Pings of the front are no longer answered; it still sends new sessions, and everything is served.
    Closing,
    /// Open sessions are migrated at a pace that endpoints can absorb.
    Migrating,
    /// The deadline needs a higher pace than that.
    Late,
    /// No session is left. Any that still comes is served and migrated.
    Empty,
    /// The proxy shuts down; there is no way back.
    Exiting,
}

impl DrainState {
    /// The state's name in statuses and log lines.
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

/// What a drain reacts to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainInput {
    /// An operator asks for a drain, or for another deadline of the one in progress.
    DrainRequested,
    /// An operator cancels the drain.
    UndrainRequested,
    /// The proxy is to shut down.
    ShutdownRequested,
    /// The front has stopped sending sessions, or has had enough time to.
    NewSessionsStopped,
    /// No session is open or being set up.
    AllSessionsEnded,
    /// Sessions are open.
    SessionsOpen,
    /// The deadline needs a clearly higher pace than endpoints can absorb.
    DeadlineAtRisk,
    /// The deadline needs a clearly lower one.
    DeadlineSafe,
}

/// What a transition does, beside the change of state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainEffect {
    /// Nothing.
    NoEffect,
    /// Start counting and pacing anew, by the request's deadline and pace.
    BeginDrain,
    /// Go on by the request's deadline and pace.
    ChangeDeadline,
    /// Remember since when the proxy serves again.
    Resume,
    /// Go by the shutdown's schedule from now on.
    BeginShutdown,
    /// The request cannot be carried out.
    Reject(DrainError),
}

/// Why a request cannot be carried out.
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

/// A row of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Transition {
    /// The state before.
    pub from: DrainState,
    /// What happens.
    pub input: DrainInput,
    /// The state after.
    pub to: DrainState,
    /// What is done.
    pub effect: DrainEffect,
}

const fn row(
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

/// All transitions. A state ignores an input that it has no row for.
pub const TRANSITIONS: &[Transition] = &[
    row(Serving, DrainRequested, Closing, BeginDrain),
    row(Closing, DrainRequested, Closing, ChangeDeadline),
    row(Migrating, DrainRequested, Migrating, ChangeDeadline),
    row(Late, DrainRequested, Migrating, ChangeDeadline),
    row(Empty, DrainRequested, Empty, ChangeDeadline),
    row(
        Exiting,
        DrainRequested,
        Exiting,
        Reject(DrainError::Exiting),
    ),
    row(
        Serving,
        UndrainRequested,
        Serving,
        Reject(DrainError::NotDraining),
    ),
    row(Closing, UndrainRequested, Serving, Resume),
    row(Migrating, UndrainRequested, Serving, Resume),
    row(Late, UndrainRequested, Serving, Resume),
    row(Empty, UndrainRequested, Serving, Resume),
    row(
        Exiting,
        UndrainRequested,
        Exiting,
        Reject(DrainError::Exiting),
    ),
    row(Serving, ShutdownRequested, Exiting, BeginShutdown),
    row(Closing, ShutdownRequested, Exiting, BeginShutdown),
    row(Migrating, ShutdownRequested, Exiting, BeginShutdown),
    row(Late, ShutdownRequested, Exiting, BeginShutdown),
    row(Empty, ShutdownRequested, Exiting, BeginShutdown),
    row(Closing, NewSessionsStopped, Migrating, NoEffect),
    row(Migrating, AllSessionsEnded, Empty, NoEffect),
    row(Late, AllSessionsEnded, Empty, NoEffect),
    row(Empty, SessionsOpen, Migrating, NoEffect),
    row(Migrating, DeadlineAtRisk, Late, NoEffect),
    row(Late, DeadlineSafe, Migrating, NoEffect),
];

impl Transition {
    /// The transition that an input leads to; `None` if the state ignores it.
    pub fn find(from: DrainState, input: DrainInput) -> Option<&'static Transition> {
        TRANSITIONS
            .iter()
            .find(|transition| transition.from == from && transition.input == input)
    }
}
