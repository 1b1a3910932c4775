//! A session while it is being placed and open, and its state machine.

use crate::event::{ServerId, SessionId, SessionRequest};
use std::time::Duration;

/// State of a session.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum SessionState {
    /// A server is being selected. Transient: no session is in this state between events.
    Selecting,
    /// Waiting for probes of its candidates.
    AwaitingProbes,
    /// An attempt is in progress.
    Dialing,
    /// Its connection to a server is open.
    Open,
    /// Its client has left or it was migrated, and its attempt or connection has not ended yet.
    Closing,
    /// Answered or closed; also the state of an unused session id.
    #[default]
    Over,
}

/// Input of a session's state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SessionInput {
    Requested,
    ProbesSent,
    /// A candidate's probe was answered or failed, or the wait for it expired.
    ProbesAnswered,
    Dialed,
    NoServerAvailable,
    Opened,
    /// The attempt failed, or its connection ended, and the session may be attempted again.
    AttemptFailed,
    /// The attempt or its connection ended, and the session with it.
    Closed,
    /// The client left, or the session was migrated.
    ClientLeft,
}

/// Effect that the engine applies when a session enters its next state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SessionEffect {
    Nothing,
    SelectServer,
    SendFinalAnswer,
    RecordOpened,
    CancelAttempt,
    ReleaseConnection,
}

#[derive(Clone, Copy, Debug)]
struct Transition {
    from: SessionState,
    input: SessionInput,
    to: SessionState,
    effect: SessionEffect,
}

const fn on(
    from: SessionState,
    input: SessionInput,
    to: SessionState,
    effect: SessionEffect,
) -> Transition {
    Transition {
        from,
        input,
        to,
        effect,
    }
}

/// Transitions of the state machine. An input that isn't listed for a state is late or stray, and is ignored.
const TRANSITIONS: &[Transition] = {
    use SessionEffect::*;
    use SessionInput::*;
    use SessionState::*;
    &[
        on(Selecting, Requested, Selecting, SelectServer),
        on(Selecting, Dialed, Dialing, Nothing),
        on(Selecting, NoServerAvailable, Over, SendFinalAnswer),
        on(Selecting, ProbesSent, AwaitingProbes, Nothing),
        on(AwaitingProbes, ProbesAnswered, Selecting, SelectServer),
        on(AwaitingProbes, ClientLeft, Over, Nothing),
        on(Dialing, Opened, Open, RecordOpened),
        on(Dialing, AttemptFailed, Selecting, SelectServer),
        on(Dialing, Closed, Over, Nothing),
        on(Dialing, ClientLeft, Closing, CancelAttempt),
        on(Open, ClientLeft, Closing, ReleaseConnection),
        on(Open, AttemptFailed, Over, ReleaseConnection),
        on(Open, Closed, Over, ReleaseConnection),
        on(Closing, AttemptFailed, Over, Nothing),
        on(Closing, Closed, Over, Nothing),
    ]
};

/// An attempt to open a session at a server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub(crate) dialed_at: Duration,
    pub(crate) server: ServerId,
}

/// A session. Times are since the clock began.
#[derive(Clone, Debug, Default)]
pub(crate) struct Session {
    pub(crate) state: SessionState,
    pub(crate) request: SessionRequest,
    /// Server of the latest attempt.
    pub(crate) server: ServerId,
    /// Number of attempts so far.
    pub(crate) attempts: u32,
    /// When the latest attempt was dialed; before the first attempt, when the session was requested.
    pub(crate) dialed_at: Duration,
    /// All servers known when the session was requested, in the order in which it draws them.
    pub(crate) ranked_servers: Vec<ServerId>,
    /// The first attempt that a server may have executed.
    pub(crate) first_execution: Option<Attempt>,
    /// Servers that failed the session with an error or a reset. With more than one the session itself is considered
    /// the cause; otherwise it could get every server ejected.
    pub(crate) failed_servers: Vec<ServerId>,
    /// Number of servers that the session waited for to answer a probe.
    pub(crate) probes_requested: u32,
    /// Until when the session may wait for probes.
    pub(crate) probe_deadline: Duration,
    /// Random number in [0, 1): the session may use a zone whose share is greater.
    pub(crate) zone_draw: f64,
}

impl Session {
    /// Enters the next state and returns the effect to apply; `None` where the current state doesn't accept the input.
    pub(crate) fn transition(&mut self, input: SessionInput) -> Option<SessionEffect> {
        let transition = TRANSITIONS
            .iter()
            .find(|row| row.from == self.state && row.input == input)?;
        self.state = transition.to;
        Some(transition.effect)
    }

    pub(crate) fn id(&self) -> SessionId {
        self.request.session
    }

    /// Number of the latest attempt, counted from 0, as events and actions give it.
    pub(crate) fn attempt_number(&self) -> u8 {
        self.attempts.saturating_sub(1) as u8
    }
}
