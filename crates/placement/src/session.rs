//! A session and its state machine.

use crate::event::{ServerId, SessionId, SessionRequest};
use std::time::Duration;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum SessionState {
    /// A server is being selected; no session rests in this state between events.
    Selecting,
    /// It waits for probes of its candidates.
    AwaitingProbes,
    Dialing,
    Open,
    /// Its client has left; the end of its attempt or connection is still to come.
    Closing,
    /// Answered or closed, or never used.
    #[default]
    Over,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SessionInput {
    Requested,
    ProbesSent,
    ProbesAnswered,
    Dialed,
    NoServerAvailable,
    Opened,
    AttemptFailed,
    Closed,
    ClientLeft,
}

/// What the engine does as a session enters its next state.
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

/// What is not listed is late or stray, and ignored.
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

#[derive(Clone, Debug, Default)]
pub(crate) struct Session {
    pub(crate) state: SessionState,
    pub(crate) request: SessionRequest,
    /// Server of the latest attempt.
    pub(crate) server: ServerId,
    /// Attempts so far.
    pub(crate) attempts: u32,
    /// When the latest attempt began; the arrival before the first.
    pub(crate) dialed_at: Duration,
    /// All servers, in the order in which this session draws them.
    pub(crate) ranked_servers: Vec<ServerId>,
    /// The first attempt that a server may have executed.
    pub(crate) first_execution: Option<Attempt>,
    /// Servers that failed it at once. With more than one the session itself is taken to be at fault, or it
    /// would have every server ejected.
    pub(crate) failed_servers: Vec<ServerId>,
    /// Probes that were sent for its sake.
    pub(crate) probes_requested: u32,
    /// How long it waits for their answers.
    pub(crate) probe_deadline: Duration,
    /// In [0, 1): it may use a zone whose share is above this.
    pub(crate) zone_draw: f64,
}

impl Session {
    /// Enters the next state; `None` where the input means nothing in this one.
    pub(crate) fn transition(&mut self, input: SessionInput) -> Option<SessionEffect> {
        let found = TRANSITIONS
            .iter()
            .find(|row| row.from == self.state && row.input == input)?;
        self.state = found.to;
        Some(found.effect)
    }

    pub(crate) fn id(&self) -> SessionId {
        self.request.session
    }

    /// Number of the latest attempt, counted from 0, as events and actions give it.
    pub(crate) fn attempt_number(&self) -> u8 {
        self.attempts.saturating_sub(1) as u8
    }
}
