//! The session state machine: classifies each input, looks up its transition and performs the transition's effects.

use super::table::{InputKind, TransitionEffect, dial_end_code, find_transition, proves_not_run};
use super::{FinalResponse, SessionEffect, SessionInput, SessionState};
use crate::injected_fault::{InjectedFault, is_injected};
use crate::routing::events::ReasonCode;
use asterramp_placement::PlacementEvent;
use asterramp_placement::event::{Outcome, ServerId, ServerLoad, SessionRequest};
use std::time::Duration;

/// Interval between two dials of a restored session, so that a server that is still starting is not flooded.
const RESTORE_RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// How long after its request a restored session is dialled again; its client is then sent the failure.
const RESTORE_TIMEOUT: Duration = Duration::from_secs(38);
/// Shortest wait that is written into a request line; a wait of zero would leave the server no time.
const MIN_REQUEST_WAIT: Duration = Duration::from_millis(1);
/// By how much [`InjectedFault::DialOutlastsClientWait`] extends a dial's deadline.
const INJECTED_DEADLINE_EXTENSION: Duration = Duration::from_millis(400);

/// The state machine of one session. Times are since the start of the process's clock.
#[derive(Clone, Debug)]
pub struct SessionMachine {
    /// The current state.
    pub state: SessionState,
    /// What the client asked for.
    pub request: SessionRequest,
    /// When the client asked.
    pub requested_at: Duration,
    /// Number of dials begun so far; stays at 255 once it is reached.
    pub dials_started: u8,
    /// The server of the current or last dial; 0 before the first dial.
    pub server: ServerId,
    /// When the current dial times out.
    dial_deadline: Duration,
    /// When it becomes too late to write the current dial's request line; the dial then ends as not sent.
    write_deadline: Duration,
    /// The client is connected and has not been sent a final response.
    client_waiting: bool,
    /// The client has closed its side of the connection, or has broken the protocol and is treated as gone.
    pub client_left: bool,
    /// The current dial's request is written to its last byte, and no outcome has proved that it did not run.
    request_written: bool,
    /// The request of an earlier dial may have run.
    earlier_dial_may_have_run: bool,
    /// The client was told that it may try again, which is sent only where that does no harm.
    told_to_retry: bool,
    /// The session was open before this proxy started; the placement engine is notified only once it is open again.
    restored: bool,
    /// Timeout for the connection to a server to be established.
    connect_timeout: Duration,
}

impl SessionMachine {
    /// A session that a client requests at `now`; `restored` if it was open before this proxy started.
    pub fn new(
        now: Duration,
        request: SessionRequest,
        restored: bool,
        connect_timeout: Duration,
    ) -> SessionMachine {
        SessionMachine {
            state: SessionState::Idle,
            request,
            requested_at: now,
            dials_started: 0,
            server: 0,
            dial_deadline: now,
            write_deadline: now,
            client_waiting: true,
            client_left: false,
            request_written: false,
            earlier_dial_may_have_run: false,
            told_to_retry: false,
            restored,
            connect_timeout,
        }
    }

    /// An open session, taken over from another process of this proxy that opened it at `server`.
    pub fn open(
        now: Duration,
        request: SessionRequest,
        server: ServerId,
        connect_timeout: Duration,
    ) -> SessionMachine {
        SessionMachine {
            state: SessionState::Open,
            dials_started: 1,
            server,
            request_written: true,
            ..SessionMachine::new(now, request, false, connect_timeout)
        }
    }

    /// The number of the current or last dial, from 0.
    pub fn dial_number(&self) -> u8 {
        self.dials_started.saturating_sub(1)
    }

    /// Whether any server may have acted on the request: it was completely written to one whose outcome does not prove the
    /// contrary.
    pub fn may_have_run(&self) -> bool {
        self.request_written || self.earlier_dial_may_have_run
    }

    /// Whether a request with the id of this session may be sent to a server once the session has ended: it surely never ran,
    /// or the client was told that it may try again.
    pub fn may_come_again(&self) -> bool {
        self.told_to_retry || !self.may_have_run()
    }

    /// Until when a restored session may be dialled again.
    pub fn restore_deadline(&self) -> Duration {
        self.requested_at + RESTORE_TIMEOUT
    }

    /// Handles an input and appends the resulting effects to `effects`, in the order in which to carry them out.
    pub fn step(&mut self, now: Duration, input: SessionInput, effects: &mut Vec<SessionEffect>) {
        let Some(kind) = self.classify(now, input) else {
            return;
        };
        let late_acceptance =
            is_injected(InjectedFault::LateUpAccepted) && kind == InputKind::ServerAccepted;
        let state = if late_acceptance && self.state != SessionState::Ended {
            SessionState::AwaitingResponse
        } else {
            self.state
        };
        let Some(transition) = find_transition(state, kind) else {
            return;
        };
        if self.apply_injected_fault(state, kind, effects) {
            return;
        }
        let keeps_dial = is_injected(InjectedFault::RequestSentForGoneClient)
            && transition
                .effects
                .contains(&TransitionEffect::AbandonUnsentDial);
        self.state = if keeps_dial { state } else { transition.next };
        self.request_written |= kind == InputKind::RequestWritten;
        for effect in transition.effects {
            self.perform(now, *effect, input, effects);
        }
    }

    /// Performs the injected fault that replaces this transition, if any; returns whether one did.
    fn apply_injected_fault(
        &mut self,
        state: SessionState,
        kind: InputKind,
        effects: &mut Vec<SessionEffect>,
    ) -> bool {
        if is_injected(InjectedFault::NoSocketNotReported) && kind == InputKind::NoSocket {
            self.state = SessionState::Idle;
            effects.push(SessionEffect::CloseServer);
            effects.push(SessionEffect::SetDeadline(None));
            return true;
        }
        is_injected(InjectedFault::CancelledDialLeftOpen)
            && state == SessionState::AwaitingResponse
            && kind == InputKind::Cancel
    }

    /// The kind of an input, given the time and the state of the session; `None`, and thus ignored, if it is about an
    /// earlier dial or a client that is already known to have left.
    fn classify(&self, now: Duration, input: SessionInput) -> Option<InputKind> {
        match input {
            SessionInput::Dial { .. } => Some(InputKind::Dial),
            SessionInput::Cancel => Some(InputKind::Cancel),
            SessionInput::Reject { .. } => Some(InputKind::Reject),
            SessionInput::Fail => Some(InputKind::Fail),
            SessionInput::Migrate => Some(InputKind::Migrate),
            SessionInput::NoSocket { dial } => self.if_current_dial(dial, InputKind::NoSocket),
            SessionInput::Unreachable { dial } => {
                self.if_current_dial(dial, InputKind::Unreachable)
            }
            // Too late to write the request: the connection is closed with nothing sent on it.
            SessionInput::Connected { dial } if now >= self.write_deadline => {
                self.if_current_dial(dial, InputKind::NoSocket)
            }
            SessionInput::Connected { dial } => self.if_current_dial(dial, InputKind::Connected),
            SessionInput::RequestWritten { dial } => {
                self.if_current_dial(dial, InputKind::RequestWritten)
            }
            SessionInput::ServerAccepted { dial } => {
                self.if_current_dial(dial, self.classify_acceptance())
            }
            SessionInput::ServerDeclined { dial, .. } => {
                self.if_current_dial(dial, InputKind::ServerDeclined)
            }
            SessionInput::ServerDisconnected { dial } => {
                self.if_current_dial(dial, InputKind::ServerDisconnected)
            }
            SessionInput::DeadlineReached => Some(self.classify_deadline(now)),
            SessionInput::ClientLeft => self.classify_client_input(InputKind::ClientLeft),
            SessionInput::ClientSentEarlyData => {
                self.classify_client_input(InputKind::ClientSentEarlyData)
            }
            SessionInput::SessionClosed { .. } => Some(InputKind::SessionClosed),
            SessionInput::ShutdownCutoff => Some(InputKind::ShutdownCutoff),
            // The engine does not know a restored session that is not open, so it need not be notified.
            SessionInput::DrainCutoff if self.restored => Some(InputKind::ShutdownCutoff),
            SessionInput::DrainCutoff if self.client_left => None,
            SessionInput::DrainCutoff => Some(InputKind::DrainCutoff),
        }
    }

    /// `kind` if `dial` is the current dial.
    fn if_current_dial(&self, dial: u8, kind: InputKind) -> Option<InputKind> {
        let late_acceptance =
            is_injected(InjectedFault::LateUpAccepted) && kind == InputKind::ServerAccepted;
        (dial == self.dial_number() || late_acceptance).then_some(kind)
    }

    fn classify_acceptance(&self) -> InputKind {
        if self.client_waiting || is_injected(InjectedFault::SessionOpenedWithoutClient) {
            InputKind::ServerAccepted
        } else {
            InputKind::ServerAcceptedClientGone
        }
    }

    fn classify_deadline(&self, now: Duration) -> InputKind {
        if self.state == SessionState::Connecting && now >= self.write_deadline {
            InputKind::NoSocket
        } else {
            InputKind::DeadlineReached
        }
    }

    fn classify_client_input(&self, kind: InputKind) -> Option<InputKind> {
        if self.restored && self.state != SessionState::Open {
            Some(InputKind::RestoredClientGone)
        } else if self.client_left {
            None
        } else {
            Some(kind)
        }
    }

    fn perform(
        &mut self,
        now: Duration,
        effect: TransitionEffect,
        input: SessionInput,
        effects: &mut Vec<SessionEffect>,
    ) {
        match effect {
            TransitionEffect::BeginDial => self.begin_dial(now, input, effects),
            TransitionEffect::SendRequest => self.send_request(now, effects),
            TransitionEffect::OpenSession => self.open_session(effects),
            TransitionEffect::EndDial(outcome) => {
                self.end_dial(now, outcome, ServerLoad::default(), effects);
            }
            TransitionEffect::EndDialAsDeclined => self.end_dial_as_declined(now, input, effects),
            TransitionEffect::RejectClient => self.reject_client(input, effects),
            TransitionEffect::FailClient => {
                self.send_final_response(FinalResponse::Failed(ReasonCode::SessionFailed), effects);
            }
            TransitionEffect::MigrateClient => effects.push(SessionEffect::Migrate),
            TransitionEffect::Restore => {
                if self.restored {
                    effects.push(SessionEffect::Restore);
                }
            }
            TransitionEffect::ReleaseClient => self.release_client(input, effects),
            TransitionEffect::Forget => effects.extend([
                SessionEffect::SetDeadline(None),
                SessionEffect::CloseServer,
                SessionEffect::Forget,
            ]),
            TransitionEffect::NotifySessionOver => self.notify_session_over(input, effects),
            TransitionEffect::NotifyClientLeft => self.notify_client_left(effects),
            TransitionEffect::ShutDown => self.shut_down(effects),
            TransitionEffect::AbandonUnsentDial => {
                if !is_injected(InjectedFault::RequestSentForGoneClient) {
                    self.end_dial(now, Outcome::Cancelled, ServerLoad::default(), effects);
                }
            }
        }
    }

    fn begin_dial(&mut self, now: Duration, input: SessionInput, effects: &mut Vec<SessionEffect>) {
        let SessionInput::Dial {
            server,
            timeout,
            write_timeout,
        } = input
        else {
            return;
        };
        self.server = server;
        self.request_written = false;
        self.dial_deadline = now + timeout;
        self.write_deadline = now + write_timeout;
        self.dials_started = self.dials_started.saturating_add(1);
        if is_injected(InjectedFault::DialOutlastsClientWait) {
            self.dial_deadline += INJECTED_DEADLINE_EXTENSION;
        }
        let connect_deadline = (now + self.connect_timeout)
            .min(self.dial_deadline)
            .min(self.write_deadline);
        effects.push(SessionEffect::SetDeadline(Some(connect_deadline)));
        effects.push(SessionEffect::Connect { server });
    }

    fn send_request(&self, now: Duration, effects: &mut Vec<SessionEffect>) {
        let remaining = self.dial_deadline.saturating_sub(now).max(MIN_REQUEST_WAIT);
        let deadline =
            (!is_injected(InjectedFault::NoResponseDeadline)).then_some(self.dial_deadline);
        effects.push(SessionEffect::SetDeadline(deadline));
        effects.push(SessionEffect::Count(ReasonCode::AttemptSent));
        effects.push(SessionEffect::SendRequest {
            wait: (!self.restored).then_some(remaining),
        });
    }

    fn open_session(&mut self, effects: &mut Vec<SessionEffect>) {
        effects.push(SessionEffect::SetDeadline(None));
        if self.restored {
            self.dials_started = 1;
            effects.push(SessionEffect::Count(ReasonCode::SessionRestored));
            effects.push(SessionEffect::Notify(PlacementEvent::SessionInherited(
                self.request,
                self.server,
            )));
        } else {
            effects.push(SessionEffect::Count(ReasonCode::SessionOpened));
            effects.push(SessionEffect::Notify(PlacementEvent::SessionOpened {
                session: self.request.session,
                attempt: self.dial_number(),
            }));
        }
        effects.push(SessionEffect::StartForwarding);
    }

    fn end_dial_as_declined(
        &mut self,
        now: Duration,
        input: SessionInput,
        effects: &mut Vec<SessionEffect>,
    ) {
        if let SessionInput::ServerDeclined { outcome, load, .. } = input {
            self.end_dial(now, outcome, load, effects);
        }
    }

    fn reject_client(&mut self, input: SessionInput, effects: &mut Vec<SessionEffect>) {
        if let SessionInput::Reject { retry_after } = input {
            self.send_final_response(FinalResponse::Rejected(retry_after), effects);
        }
    }

    fn release_client(&mut self, input: SessionInput, effects: &mut Vec<SessionEffect>) {
        if !self.client_waiting {
            return;
        }
        if input == SessionInput::ClientSentEarlyData {
            self.send_final_response(
                FinalResponse::Failed(ReasonCode::ClientProtocolError),
                effects,
            );
        } else {
            effects.push(SessionEffect::Log(ReasonCode::ClientLeft));
            effects.push(SessionEffect::DropClient);
        }
        self.client_waiting = is_injected(InjectedFault::ClientAnsweredTwice);
        self.client_left = true;
    }

    fn notify_client_left(&mut self, effects: &mut Vec<SessionEffect>) {
        self.client_left = true;
        effects.push(SessionEffect::Notify(PlacementEvent::ClientLeft {
            session: self.request.session,
        }));
    }

    fn notify_session_over(&self, input: SessionInput, effects: &mut Vec<SessionEffect>) {
        let SessionInput::SessionClosed { outcome, load } = input else {
            return;
        };
        effects.push(SessionEffect::SetDeadline(None));
        effects.push(SessionEffect::Notify(PlacementEvent::AttemptEnded {
            session: self.request.session,
            attempt: self.dial_number(),
            outcome,
            session_over: true,
            load,
        }));
    }

    fn shut_down(&mut self, effects: &mut Vec<SessionEffect>) {
        effects.push(SessionEffect::SetDeadline(None));
        effects.push(SessionEffect::CloseServer);
        if !is_injected(InjectedFault::WaitingClientsNotAnswered) {
            self.send_final_response(FinalResponse::Failed(ReasonCode::SessionFailed), effects);
        }
        effects.push(SessionEffect::Forget);
    }

    /// Sends the client its final response, unless it has had one or has left. Every final response goes through here.
    fn send_final_response(&mut self, response: FinalResponse, effects: &mut Vec<SessionEffect>) {
        if self.client_waiting {
            self.told_to_retry = matches!(response, FinalResponse::Rejected(_));
            effects.push(SessionEffect::AnswerClient(response));
        }
        self.client_waiting = is_injected(InjectedFault::ClientAnsweredTwice);
    }

    /// Closes the dial before anything else is sent for its session, and notifies the engine of its outcome.
    fn end_dial(
        &mut self,
        now: Duration,
        outcome: Outcome,
        load: ServerLoad,
        effects: &mut Vec<SessionEffect>,
    ) {
        let timed_out = outcome == Outcome::TimedOut;
        if is_injected(InjectedFault::ClientAnsweredDuringDial) && timed_out && self.client_waiting
        {
            self.state = SessionState::AwaitingResponse;
            return self
                .send_final_response(FinalResponse::Failed(ReasonCode::SessionFailed), effects);
        }
        if !(is_injected(InjectedFault::DialBeforePreviousClosed) && timed_out) {
            effects.push(SessionEffect::CloseServer);
        }
        effects.push(SessionEffect::SetDeadline(None));
        self.earlier_dial_may_have_run |= self.request_written && !proves_not_run(outcome);
        self.request_written = false;
        let outcome = reported_outcome(outcome);
        if let Some(code) = dial_end_code(outcome) {
            effects.push(SessionEffect::Log(code));
        }
        if self.restored {
            self.retry_restore_or_fail(now, outcome, effects);
        } else {
            effects.push(SessionEffect::Notify(PlacementEvent::AttemptEnded {
                session: self.request.session,
                attempt: self.dial_number(),
                outcome,
                session_over: !self.client_waiting,
                load,
            }));
        }
    }

    /// Schedules the next dial of a restored session, or fails the session if its server may have acted on the request
    /// or the time for restoring it is over.
    fn retry_restore_or_fail(
        &mut self,
        now: Duration,
        outcome: Outcome,
        effects: &mut Vec<SessionEffect>,
    ) {
        let next_dial = now + RESTORE_RETRY_INTERVAL;
        if proves_not_run(outcome) && next_dial < self.restore_deadline() {
            effects.push(SessionEffect::SetDeadline(Some(next_dial)));
        } else {
            self.state = SessionState::Ended;
            self.send_final_response(FinalResponse::Failed(ReasonCode::SessionFailed), effects);
            effects.push(SessionEffect::Forget);
        }
    }
}

/// The outcome that is reported to the engine; differs from the true one only under an injected fault.
fn reported_outcome(outcome: Outcome) -> Outcome {
    let is_misreported = match outcome {
        Outcome::TimedOut => is_injected(InjectedFault::TimeoutReportedAsNeverRun),
        Outcome::Reset => is_injected(InjectedFault::ResetReportedAsNeverConnected),
        _ => false,
    };
    if is_misreported {
        Outcome::Unreachable
    } else {
        outcome
    }
}
