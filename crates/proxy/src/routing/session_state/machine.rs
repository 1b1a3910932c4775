//! The session state machine: looks inputs up in the table and performs what the transitions say.

use super::table::{InputKind, TransitionEffect, dial_end_code, proves_not_run, transition};
use super::{FinalResponse, SessionEffect, SessionInput, SessionState};
use crate::injected_fault::{InjectedFault, is_injected};
use crate::routing::events::ReasonCode;
use asterramp_placement::PlacementEvent;
use asterramp_placement::event::{Outcome, ServerId, ServerLoad, SessionRequest};
use std::time::Duration;

/// Pause between two dials of a restored session: its server may be coming up, and is not to be flooded.
const RESTORE_RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// How long a restored session is dialled again before its client is answered that it failed.
const RESTORE_TIMEOUT: Duration = Duration::from_secs(38);
/// The least wait that a request line may state; zero would ask for nothing.
const SHORTEST_WAIT: Duration = Duration::from_millis(1);
/// By how much [`InjectedFault::DeadlineTooLate`] puts a dial's deadline off.
const INJECTED_DELAY: Duration = Duration::from_millis(400);

/// One session's state. Times are since the start of the process's clock.
#[derive(Clone, Debug)]
pub struct SessionMachine {
    /// Where the session stands.
    pub state: SessionState,
    /// What the client asked for.
    pub request: SessionRequest,
    /// When it asked.
    pub requested_at: Duration,
    /// Dials begun so far; 255 at most, where counting stops.
    pub dials_started: u8,
    /// The server of the present dial or the last; 0 before the first.
    pub server: ServerId,
    /// When the present dial times out.
    dial_deadline: Duration,
    /// From when on the present dial's request line is not written any more.
    write_deadline: Duration,
    /// The client is there and has no final answer.
    client_waiting: bool,
    /// The client has ended its side, or is treated as if it had.
    pub client_left: bool,
    /// It was open before this proxy started, and the engine hears of it once it is open again.
    restored: bool,
    /// Longest that a connection may take to come up.
    connect_timeout: Duration,
}

impl SessionMachine {
    /// A session that a client asks for at `now`; `restored` if it was open before this proxy started.
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
            restored,
            connect_timeout,
        }
    }

    /// A session that another process of this proxy has opened at `server`.
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
            ..SessionMachine::new(now, request, false, connect_timeout)
        }
    }

    /// The number of the present dial or the last, from 0.
    pub fn dial_number(&self) -> u8 {
        self.dials_started.saturating_sub(1)
    }

    /// Until when a restored session is dialled again.
    pub fn restore_deadline(&self) -> Duration {
        self.requested_at + RESTORE_TIMEOUT
    }

    /// Takes an input in and appends what is to be done to `out`, in order.
    pub fn step(&mut self, now: Duration, input: SessionInput, out: &mut Vec<SessionEffect>) {
        let Some(kind) = self.classify(now, input) else {
            return;
        };
        let late_answer =
            is_injected(InjectedFault::LateUpAccepted) && kind == InputKind::ServerAccepted;
        let state = if late_answer && self.state != SessionState::Ended {
            SessionState::AwaitingResponse
        } else {
            self.state
        };
        let Some(transition) = transition(state, kind) else {
            return;
        };
        if self.replaced_by_fault(state, kind, out) {
            return;
        }
        let keeps_dial = is_injected(InjectedFault::RequestSentForGoneClient)
            && transition
                .effects
                .contains(&TransitionEffect::AbandonUnsentDial);
        self.state = if keeps_dial { state } else { transition.next };
        for effect in transition.effects {
            self.perform(now, *effect, input, out);
        }
    }

    /// Whether an injected fault replaces the transition.
    fn replaced_by_fault(
        &mut self,
        state: SessionState,
        kind: InputKind,
        out: &mut Vec<SessionEffect>,
    ) -> bool {
        if is_injected(InjectedFault::NoSocketNotReported) && kind == InputKind::NoSocket {
            self.state = SessionState::Idle;
            out.push(SessionEffect::CloseServer);
            out.push(SessionEffect::SetDeadline(None));
            return true;
        }
        is_injected(InjectedFault::CancelledDialLeftOpen)
            && state == SessionState::AwaitingResponse
            && kind == InputKind::Cancel
    }

    /// The kind of an input, given the time and the session; `None` if it is about an earlier dial, or about a
    /// client that is known to have left.
    fn classify(&self, now: Duration, input: SessionInput) -> Option<InputKind> {
        match input {
            SessionInput::Dial { .. } => Some(InputKind::Dial),
            SessionInput::Cancel => Some(InputKind::Cancel),
            SessionInput::Reject { .. } => Some(InputKind::Reject),
            SessionInput::Fail => Some(InputKind::Fail),
            SessionInput::Migrate => Some(InputKind::Migrate),
            SessionInput::NoSocket { dial } => self.of_dial(dial, InputKind::NoSocket),
            SessionInput::Unreachable { dial } => self.of_dial(dial, InputKind::Unreachable),
            // A connection that came up too late for its request is closed with nothing sent on it.
            SessionInput::Connected { dial } if now >= self.write_deadline => {
                self.of_dial(dial, InputKind::NoSocket)
            }
            SessionInput::Connected { dial } => self.of_dial(dial, InputKind::Connected),
            SessionInput::RequestWritten { dial } => self.of_dial(dial, InputKind::RequestWritten),
            SessionInput::ServerAccepted { dial } => self.of_dial(dial, self.acceptance()),
            SessionInput::ServerDeclined { dial, .. } => {
                self.of_dial(dial, InputKind::ServerDeclined)
            }
            SessionInput::ServerDisconnected { dial } => {
                self.of_dial(dial, InputKind::ServerDisconnected)
            }
            SessionInput::DeadlineReached => Some(self.deadline_kind(now)),
            SessionInput::ClientLeft => self.client_kind(InputKind::ClientLeft),
            SessionInput::ClientSentEarlyData => self.client_kind(InputKind::ClientSentEarlyData),
            SessionInput::SessionClosed { .. } => Some(InputKind::SessionClosed),
            SessionInput::ShutdownCutoff => Some(InputKind::ShutdownCutoff),
            // The engine has not heard of it, so there is nothing to take back.
            SessionInput::DrainCutoff if self.restored => Some(InputKind::ShutdownCutoff),
            SessionInput::DrainCutoff if self.client_left => None,
            SessionInput::DrainCutoff => Some(InputKind::DrainCutoff),
        }
    }

    /// `kind` if it is about the present dial.
    fn of_dial(&self, dial: u8, kind: InputKind) -> Option<InputKind> {
        let late_answer =
            is_injected(InjectedFault::LateUpAccepted) && kind == InputKind::ServerAccepted;
        (dial == self.dial_number() || late_answer).then_some(kind)
    }

    fn acceptance(&self) -> InputKind {
        if self.client_waiting || is_injected(InjectedFault::SessionOpenedWithoutClient) {
            InputKind::ServerAccepted
        } else {
            InputKind::ServerAcceptedClientGone
        }
    }

    fn deadline_kind(&self, now: Duration) -> InputKind {
        if self.state == SessionState::Connecting && now >= self.write_deadline {
            InputKind::NoSocket
        } else {
            InputKind::DeadlineReached
        }
    }

    fn client_kind(&self, kind: InputKind) -> Option<InputKind> {
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
        out: &mut Vec<SessionEffect>,
    ) {
        match effect {
            TransitionEffect::BeginDial => self.begin_dial(now, input, out),
            TransitionEffect::SendRequest => self.send_request(now, out),
            TransitionEffect::OpenSession => self.open_session(out),
            TransitionEffect::EndDial(outcome) => {
                self.end_dial(now, outcome, ServerLoad::default(), out);
            }
            TransitionEffect::EndDialAsDeclined => self.end_dial_as_declined(now, input, out),
            TransitionEffect::RejectClient => self.reject_client(input, out),
            TransitionEffect::FailClient => {
                self.answer(FinalResponse::Failed(ReasonCode::SessionFailed), out);
            }
            TransitionEffect::MigrateClient => out.push(SessionEffect::Migrate),
            TransitionEffect::Restore => {
                if self.restored {
                    out.push(SessionEffect::Restore);
                }
            }
            TransitionEffect::ReleaseClient => self.release_client(input, out),
            TransitionEffect::Forget => out.extend([
                SessionEffect::SetDeadline(None),
                SessionEffect::CloseServer,
                SessionEffect::Forget,
            ]),
            TransitionEffect::NotifySessionOver => self.notify_session_over(input, out),
            TransitionEffect::NotifyClientLeft => self.notify_client_left(out),
            TransitionEffect::ShutDown => self.shut_down(out),
            TransitionEffect::AbandonUnsentDial => {
                if !is_injected(InjectedFault::RequestSentForGoneClient) {
                    self.end_dial(now, Outcome::Cancelled, ServerLoad::default(), out);
                }
            }
        }
    }

    fn begin_dial(&mut self, now: Duration, input: SessionInput, out: &mut Vec<SessionEffect>) {
        let SessionInput::Dial {
            server,
            timeout,
            write_within,
        } = input
        else {
            return;
        };
        self.server = server;
        self.dial_deadline = now + timeout;
        self.write_deadline = now + write_within;
        self.dials_started = self.dials_started.saturating_add(1);
        if is_injected(InjectedFault::DialOutlastsClientWait) {
            self.dial_deadline += INJECTED_DELAY;
        }
        let connect_deadline = (now + self.connect_timeout)
            .min(self.dial_deadline)
            .min(self.write_deadline);
        out.push(SessionEffect::SetDeadline(Some(connect_deadline)));
        out.push(SessionEffect::Connect { server });
    }

    fn send_request(&self, now: Duration, out: &mut Vec<SessionEffect>) {
        let remaining = self.dial_deadline.saturating_sub(now).max(SHORTEST_WAIT);
        let deadline =
            (!is_injected(InjectedFault::NoResponseDeadline)).then_some(self.dial_deadline);
        out.push(SessionEffect::SetDeadline(deadline));
        out.push(SessionEffect::Count(ReasonCode::AttemptSent));
        out.push(SessionEffect::SendRequest {
            wait: (!self.restored).then_some(remaining),
        });
    }

    fn open_session(&mut self, out: &mut Vec<SessionEffect>) {
        out.push(SessionEffect::SetDeadline(None));
        if self.restored {
            self.dials_started = 1;
            out.push(SessionEffect::Count(ReasonCode::SessionRestored));
            out.push(SessionEffect::Notify(PlacementEvent::SessionInherited(
                self.request,
                self.server,
            )));
        } else {
            out.push(SessionEffect::Count(ReasonCode::SessionOpened));
            out.push(SessionEffect::Notify(PlacementEvent::SessionOpened {
                session: self.request.session,
                attempt: self.dial_number(),
            }));
        }
        out.push(SessionEffect::StartForwarding);
    }

    fn end_dial_as_declined(
        &mut self,
        now: Duration,
        input: SessionInput,
        out: &mut Vec<SessionEffect>,
    ) {
        if let SessionInput::ServerDeclined { outcome, load, .. } = input {
            self.end_dial(now, outcome, load, out);
        }
    }

    fn reject_client(&mut self, input: SessionInput, out: &mut Vec<SessionEffect>) {
        if let SessionInput::Reject { retry_after } = input {
            self.answer(FinalResponse::Rejected(retry_after), out);
        }
    }

    fn release_client(&mut self, input: SessionInput, out: &mut Vec<SessionEffect>) {
        if !self.client_waiting {
            return;
        }
        if input == SessionInput::ClientSentEarlyData {
            self.answer(FinalResponse::Failed(ReasonCode::ClientProtocolError), out);
        } else {
            out.push(SessionEffect::Log(ReasonCode::ClientLeft));
            out.push(SessionEffect::DropClient);
        }
        self.client_waiting = is_injected(InjectedFault::ClientAnsweredTwice);
        self.client_left = true;
    }

    fn notify_client_left(&mut self, out: &mut Vec<SessionEffect>) {
        self.client_left = true;
        out.push(SessionEffect::Notify(PlacementEvent::ClientLeft {
            session: self.request.session,
        }));
    }

    fn notify_session_over(&self, input: SessionInput, out: &mut Vec<SessionEffect>) {
        let SessionInput::SessionClosed { outcome, load } = input else {
            return;
        };
        out.push(SessionEffect::SetDeadline(None));
        out.push(SessionEffect::Notify(PlacementEvent::AttemptEnded {
            session: self.request.session,
            attempt: self.dial_number(),
            outcome,
            session_over: true,
            load,
        }));
    }

    fn shut_down(&mut self, out: &mut Vec<SessionEffect>) {
        out.push(SessionEffect::SetDeadline(None));
        out.push(SessionEffect::CloseServer);
        if !is_injected(InjectedFault::WaitingClientsNotAnswered) {
            self.answer(FinalResponse::Failed(ReasonCode::SessionFailed), out);
        }
        out.push(SessionEffect::Forget);
    }

    /// The only way to a final answer: a client that has one, or has left, gets none.
    fn answer(&mut self, answer: FinalResponse, out: &mut Vec<SessionEffect>) {
        if self.client_waiting {
            out.push(SessionEffect::AnswerClient(answer));
        }
        self.client_waiting = is_injected(InjectedFault::ClientAnsweredTwice);
    }

    /// Closes the dial before anything else is sent for its session, and notifies the engine how it ended.
    fn end_dial(
        &mut self,
        now: Duration,
        outcome: Outcome,
        load: ServerLoad,
        out: &mut Vec<SessionEffect>,
    ) {
        let timed_out = outcome == Outcome::TimedOut;
        if is_injected(InjectedFault::ClientAnsweredDuringDial) && timed_out && self.client_waiting
        {
            self.state = SessionState::AwaitingResponse;
            return self.answer(FinalResponse::Failed(ReasonCode::SessionFailed), out);
        }
        if !(is_injected(InjectedFault::DialBeforePreviousClosed) && timed_out) {
            out.push(SessionEffect::CloseServer);
        }
        out.push(SessionEffect::SetDeadline(None));
        let outcome = outcome_with_faults(outcome);
        if let Some(code) = dial_end_code(outcome) {
            out.push(SessionEffect::Log(code));
        }
        if self.restored {
            self.restore_again_or_fail(now, outcome, out);
        } else {
            out.push(SessionEffect::Notify(PlacementEvent::AttemptEnded {
                session: self.request.session,
                attempt: self.dial_number(),
                outcome,
                session_over: !self.client_waiting,
                load,
            }));
        }
    }

    /// Dials a restored session again after a pause, if that is safe and there is time; or gives it up.
    fn restore_again_or_fail(
        &mut self,
        now: Duration,
        outcome: Outcome,
        out: &mut Vec<SessionEffect>,
    ) {
        let next_dial = now + RESTORE_RETRY_INTERVAL;
        if proves_not_run(outcome) && next_dial < self.restore_deadline() {
            out.push(SessionEffect::SetDeadline(Some(next_dial)));
        } else {
            self.state = SessionState::Ended;
            self.answer(FinalResponse::Failed(ReasonCode::SessionFailed), out);
            out.push(SessionEffect::Forget);
        }
    }
}

/// The outcome as the engine hears it; another than the true one only where a fault is injected.
fn outcome_with_faults(outcome: Outcome) -> Outcome {
    let hidden = match outcome {
        Outcome::TimedOut => is_injected(InjectedFault::TimeoutReportedAsNeverRun),
        Outcome::Reset => is_injected(InjectedFault::ResetReportedAsNeverConnected),
        _ => false,
    };
    if hidden {
        Outcome::Unreachable
    } else {
        outcome
    }
}
