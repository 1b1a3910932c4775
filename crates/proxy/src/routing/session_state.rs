//! The life of a session, from its client's first line to its end, as a table. No I/O and no clock: inputs come
//! with the time, effects go out, and whoever drives it has sockets (the router) or a model of them (a checker).

use super::report::ReasonCode;
use crate::injected_fault::{InjectedFault, is_injected};
use asterramp_placement::Event;
use asterramp_placement::event::{Load, Outcome, ServerId, SessionId, SessionRequest};
use std::time::Duration;

/// Pace at which a connection that was open before is tried again, and until when.
const AGAIN: Duration = Duration::from_millis(250);
const RESTORED: Duration = Duration::from_secs(38);

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SessionState {
    /// No dial is out.
    Idle,
    Connecting,
    /// The connection is up and the line is being written.
    SendingRequest,
    /// Its last byte is written: it may run.
    AwaitingAnswer,
    /// Lines pass.
    Open,
    /// Answered, or its open connection has ended.
    Ended,
}

/// What happens to a session. What speaks of its dial names it, so that a late word of an older one is known.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SessionInput {
    /// The module's word, or, for a session that was open before, where it goes back to.
    Dial {
        server: ServerId,
        timeout: Duration,
        /// How long the line may take to be written, or nothing of it is.
        write_within: Duration,
    },
    Cancel,
    Reject {
        retry_after: Duration,
    },
    Fail,
    Migrate,
    /// The dial: there was no socket for it; it was refused or never came up; it is up; its line is written
    /// to the last byte; its server said that it is up, or something that ends it; its connection ended.
    NoSocket {
        dial: u8,
    },
    Unreachable {
        dial: u8,
    },
    Connected {
        dial: u8,
    },
    RequestWritten {
        dial: u8,
    },
    ServerAccepted {
        dial: u8,
    },
    ServerDeclined {
        dial: u8,
        outcome: Outcome,
        load: Load,
    },
    ServerEnded {
        dial: u8,
    },
    /// The deadline that was watched for.
    DeadlineReached,
    /// The client ended its side, or spoke before it was answered.
    ClientLeft,
    ClientSpoke,
    /// The open connection is over on both sides.
    SessionClosed {
        outcome: Outcome,
        load: Load,
    },
    /// The proxy waits no longer, and ends.
    ShutdownCutoff,
    /// The proxy waits no longer, and serves on: the module must hear of it, or it would keep the session's place.
    DrainCutoff,
}

/// The final answer that a client is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    Rejected(Duration),
    Failed(ReasonCode),
}

#[derive(Clone, Debug)]
pub enum SessionEffect {
    /// Begin the dial's connection.
    Connect {
        server: ServerId,
    },
    /// Write the line, with the wait that this dial has; unchanged for one that was open before.
    SendRequest {
        wait: Option<Duration>,
    },
    /// Close the dial's connection, before anything else is done for the session.
    CloseServer,
    /// Call `Due` at that time; not any more.
    SetDeadline(Option<Duration>),
    AnswerClient(FinalAnswer),
    /// The client is gone: close its connection.
    DropClient,
    /// Pass lines from now on.
    StartForwarding,
    /// Ask the client of an open connection to come again, and end both sides.
    Migrate,
    /// Ask where it was open, and dial there again.
    Restore,
    /// Nothing more is known of it.
    Forget,
    Log(ReasonCode),
    Count(ReasonCode),
    /// The module hears.
    Notify(Event),
}

#[derive(Clone, Debug)]
pub struct SessionMachine {
    pub state: SessionState,
    pub request: SessionRequest,
    pub requested_at: Duration,
    pub dials: u8,
    pub server: ServerId,
    pub dial_deadline: Duration,
    /// From when on the present dial's line is not written any more.
    pub write_deadline: Duration,
    /// The client is there and not answered.
    pub client_waiting: bool,
    /// The client has ended its side.
    pub client_left: bool,
    /// It was open before this proxy started.
    pub restored: bool,
    /// Longest that a connection may take to come up.
    connect_timeout: Duration,
}

/// An input without its figures, and told apart by what it meets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum InputKind {
    Dial,
    CallOff,
    Refuse,
    TearDown,
    Move,
    NoSocket,
    Unreachable,
    Connected,
    Written,
    Up,
    /// Up, but its client has left.
    UpAlone,
    Said,
    Ended,
    Due,
    Left,
    Spoke,
    /// The same of one that was open before, which the module has not heard of.
    Unknown,
    Closed,
    GoingDown,
    TurnedAway,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TransitionEffect {
    Begin,
    Ask,
    ComeUp,
    /// Closes the dial and tells how it ended.
    Fail(Outcome),
    /// The same by what its server said.
    FailAsSaid,
    Refuse,
    TearDown,
    TurnAway,
    SendAway,
    Restore,
    Depart(ReasonCode),
    Forget,
    TellEnd,
    TellLeft,
    GoDown,
    /// Closes a dial whose line is not at its server, also where dials may not be called off: nothing runs there yet,
    /// and what were written now would be an attempt for nobody.
    Unask,
}

const UNASKED_LEFT: &[TransitionEffect] = &[
    TransitionEffect::Depart(ReasonCode::ClientLeft),
    TransitionEffect::TellLeft,
    TransitionEffect::Unask,
];
const UNASKED_BAD: &[TransitionEffect] = &[
    TransitionEffect::Depart(ReasonCode::ClientProtocolError),
    TransitionEffect::TellLeft,
    TransitionEffect::Unask,
];

/// Stage, input, next stage, what is done. What is not listed is late or stray, and ignored.
const TABLE: &[(SessionState, InputKind, SessionState, &[TransitionEffect])] = &[
    (
        SessionState::Idle,
        InputKind::Dial,
        SessionState::Connecting,
        &[TransitionEffect::Begin],
    ),
    (
        SessionState::Idle,
        InputKind::Refuse,
        SessionState::Ended,
        &[TransitionEffect::Refuse],
    ),
    (
        SessionState::Idle,
        InputKind::TearDown,
        SessionState::Ended,
        &[TransitionEffect::TearDown],
    ),
    (
        SessionState::Idle,
        InputKind::Due,
        SessionState::Idle,
        &[TransitionEffect::Restore],
    ),
    (
        SessionState::Idle,
        InputKind::NoSocket,
        SessionState::Idle,
        &[TransitionEffect::Fail(Outcome::NeverSent)],
    ),
    (
        SessionState::Connecting,
        InputKind::NoSocket,
        SessionState::Idle,
        &[TransitionEffect::Fail(Outcome::NeverSent)],
    ),
    (
        SessionState::Connecting,
        InputKind::Unreachable,
        SessionState::Idle,
        &[TransitionEffect::Fail(Outcome::Unreachable)],
    ),
    (
        SessionState::Connecting,
        InputKind::Due,
        SessionState::Idle,
        &[TransitionEffect::Fail(Outcome::Unreachable)],
    ),
    (
        SessionState::Connecting,
        InputKind::CallOff,
        SessionState::Idle,
        &[TransitionEffect::Fail(Outcome::CalledOff)],
    ),
    (
        SessionState::Connecting,
        InputKind::Connected,
        SessionState::SendingRequest,
        &[TransitionEffect::Ask],
    ),
    (
        SessionState::SendingRequest,
        InputKind::Written,
        SessionState::AwaitingAnswer,
        &[],
    ),
    // The line's last byte was never written.
    (
        SessionState::SendingRequest,
        InputKind::Ended,
        SessionState::Idle,
        &[TransitionEffect::Fail(Outcome::Unreachable)],
    ),
    (
        SessionState::SendingRequest,
        InputKind::Due,
        SessionState::Idle,
        &[TransitionEffect::Fail(Outcome::Unreachable)],
    ),
    (
        SessionState::SendingRequest,
        InputKind::CallOff,
        SessionState::Idle,
        &[TransitionEffect::Fail(Outcome::CalledOff)],
    ),
    // The client had gone before the line's first byte was written.
    (
        SessionState::SendingRequest,
        InputKind::NoSocket,
        SessionState::Idle,
        &[TransitionEffect::Fail(Outcome::NeverSent)],
    ),
    (
        SessionState::AwaitingAnswer,
        InputKind::Up,
        SessionState::Open,
        &[TransitionEffect::ComeUp],
    ),
    // A client that left while its dial could not be called off.
    (
        SessionState::AwaitingAnswer,
        InputKind::UpAlone,
        SessionState::Idle,
        &[TransitionEffect::Fail(Outcome::Ok)],
    ),
    (
        SessionState::AwaitingAnswer,
        InputKind::Said,
        SessionState::Idle,
        &[TransitionEffect::FailAsSaid],
    ),
    (
        SessionState::AwaitingAnswer,
        InputKind::Ended,
        SessionState::Idle,
        &[TransitionEffect::Fail(Outcome::Reset)],
    ),
    (
        SessionState::AwaitingAnswer,
        InputKind::Due,
        SessionState::Idle,
        &[TransitionEffect::Fail(Outcome::TimedOut)],
    ),
    (
        SessionState::AwaitingAnswer,
        InputKind::CallOff,
        SessionState::Idle,
        &[TransitionEffect::Fail(Outcome::CalledOff)],
    ),
    (
        SessionState::Open,
        InputKind::Move,
        SessionState::Open,
        &[TransitionEffect::SendAway],
    ),
    (
        SessionState::Open,
        InputKind::Left,
        SessionState::Open,
        &[TransitionEffect::TellLeft],
    ),
    (
        SessionState::Open,
        InputKind::Closed,
        SessionState::Ended,
        &[TransitionEffect::TellEnd],
    ),
    (
        SessionState::Idle,
        InputKind::Left,
        SessionState::Idle,
        &[
            TransitionEffect::Depart(ReasonCode::ClientLeft),
            TransitionEffect::TellLeft,
        ],
    ),
    (
        SessionState::Connecting,
        InputKind::Left,
        SessionState::Idle,
        UNASKED_LEFT,
    ),
    (
        SessionState::SendingRequest,
        InputKind::Left,
        SessionState::Idle,
        UNASKED_LEFT,
    ),
    (
        SessionState::AwaitingAnswer,
        InputKind::Left,
        SessionState::AwaitingAnswer,
        &[
            TransitionEffect::Depart(ReasonCode::ClientLeft),
            TransitionEffect::TellLeft,
        ],
    ),
    // It was to wait for its answer: what it says would reach its server unasked.
    (
        SessionState::Idle,
        InputKind::Spoke,
        SessionState::Idle,
        &[
            TransitionEffect::Depart(ReasonCode::ClientProtocolError),
            TransitionEffect::TellLeft,
        ],
    ),
    (
        SessionState::Connecting,
        InputKind::Spoke,
        SessionState::Idle,
        UNASKED_BAD,
    ),
    (
        SessionState::SendingRequest,
        InputKind::Spoke,
        SessionState::Idle,
        UNASKED_BAD,
    ),
    (
        SessionState::AwaitingAnswer,
        InputKind::Spoke,
        SessionState::AwaitingAnswer,
        &[
            TransitionEffect::Depart(ReasonCode::ClientProtocolError),
            TransitionEffect::TellLeft,
        ],
    ),
    (
        SessionState::Idle,
        InputKind::TurnedAway,
        SessionState::Idle,
        &[TransitionEffect::TurnAway, TransitionEffect::TellLeft],
    ),
    (
        SessionState::Connecting,
        InputKind::TurnedAway,
        SessionState::Idle,
        &[
            TransitionEffect::TurnAway,
            TransitionEffect::TellLeft,
            TransitionEffect::Unask,
        ],
    ),
    (
        SessionState::SendingRequest,
        InputKind::TurnedAway,
        SessionState::Idle,
        &[
            TransitionEffect::TurnAway,
            TransitionEffect::TellLeft,
            TransitionEffect::Unask,
        ],
    ),
    (
        SessionState::AwaitingAnswer,
        InputKind::TurnedAway,
        SessionState::AwaitingAnswer,
        &[TransitionEffect::TurnAway, TransitionEffect::TellLeft],
    ),
    (
        SessionState::Idle,
        InputKind::Unknown,
        SessionState::Ended,
        &[
            TransitionEffect::Depart(ReasonCode::ClientLeft),
            TransitionEffect::Forget,
        ],
    ),
    (
        SessionState::Connecting,
        InputKind::Unknown,
        SessionState::Ended,
        &[
            TransitionEffect::Depart(ReasonCode::ClientLeft),
            TransitionEffect::Forget,
        ],
    ),
    (
        SessionState::SendingRequest,
        InputKind::Unknown,
        SessionState::Ended,
        &[
            TransitionEffect::Depart(ReasonCode::ClientLeft),
            TransitionEffect::Forget,
        ],
    ),
    (
        SessionState::AwaitingAnswer,
        InputKind::Unknown,
        SessionState::Ended,
        &[
            TransitionEffect::Depart(ReasonCode::ClientLeft),
            TransitionEffect::Forget,
        ],
    ),
    (
        SessionState::Idle,
        InputKind::GoingDown,
        SessionState::Ended,
        &[TransitionEffect::GoDown],
    ),
    (
        SessionState::Connecting,
        InputKind::GoingDown,
        SessionState::Ended,
        &[TransitionEffect::GoDown],
    ),
    (
        SessionState::SendingRequest,
        InputKind::GoingDown,
        SessionState::Ended,
        &[TransitionEffect::GoDown],
    ),
    (
        SessionState::AwaitingAnswer,
        InputKind::GoingDown,
        SessionState::Ended,
        &[TransitionEffect::GoDown],
    ),
];

/// Outcome, whether it proves that the dial never ran, code.
const ENDS: &[(Outcome, bool, Option<ReasonCode>)] = &[
    (Outcome::Ok, false, None),
    (Outcome::Erred, false, Some(ReasonCode::AttemptErred)),
    (Outcome::Full, true, Some(ReasonCode::AttemptServerFull)),
    (Outcome::TimedOut, false, Some(ReasonCode::AttemptTimedOut)),
    (
        Outcome::Unreachable,
        true,
        Some(ReasonCode::AttemptUnreachable),
    ),
    (Outcome::Reset, false, Some(ReasonCode::AttemptReset)),
    (Outcome::CalledOff, false, Some(ReasonCode::AttemptCanceled)),
    (Outcome::NeverSent, true, Some(ReasonCode::AttemptNotSent)),
];

impl SessionMachine {
    pub fn new(
        now: Duration,
        arrival: SessionRequest,
        restored: bool,
        connect_within: Duration,
    ) -> SessionMachine {
        SessionMachine {
            state: SessionState::Idle,
            request: arrival,
            requested_at: now,
            dials: 0,
            server: 0,
            dial_deadline: now,
            write_deadline: now,
            client_waiting: true,
            client_left: false,
            restored,
            connect_timeout: connect_within,
        }
    }

    /// One that another process of this proxy brought up.
    pub fn open(
        now: Duration,
        arrival: SessionRequest,
        to: ServerId,
        connect_within: Duration,
    ) -> SessionMachine {
        SessionMachine {
            state: SessionState::Open,
            dials: 1,
            server: to,
            ..SessionMachine::new(now, arrival, false, connect_within)
        }
    }

    /// The present dial's number, or the last's.
    pub fn dial(&self) -> u8 {
        self.dials.saturating_sub(1)
    }

    /// Until when one that was open before is tried again.
    pub fn restored_until(&self) -> Duration {
        self.requested_at + RESTORED
    }

    pub fn step(&mut self, now: Duration, input: SessionInput, out: &mut Vec<SessionEffect>) {
        let Some(word) = self.word(now, input) else {
            return;
        };
        let late_up = is_injected(InjectedFault::LateUpBelieved) && word == InputKind::Up;
        let stage = if late_up && self.state != SessionState::Ended {
            SessionState::AwaitingAnswer
        } else {
            self.state
        };
        let Some(row) = TABLE.iter().find(|row| row.0 == stage && row.1 == word) else {
            return;
        };
        if is_injected(InjectedFault::NoSocketUntold) && word == InputKind::NoSocket {
            self.state = SessionState::Idle;
            return out.extend([SessionEffect::CloseServer, SessionEffect::SetDeadline(None)]);
        }
        if is_injected(InjectedFault::CallOffKept)
            && (stage, word) == (SessionState::AwaitingAnswer, InputKind::CallOff)
        {
            return;
        }
        self.state =
            if is_injected(InjectedFault::GoneAsked) && row.3.contains(&TransitionEffect::Unask) {
                stage
            } else {
                row.2
            };
        row.3.iter().for_each(|act| self.act(now, *act, input, out));
    }

    /// `None` for what speaks of an older dial.
    fn word(&self, now: Duration, input: SessionInput) -> Option<InputKind> {
        let of = |dial: u8, word| {
            let late_up = is_injected(InjectedFault::LateUpBelieved) && word == InputKind::Up;
            (dial == self.dial() || late_up).then_some(word)
        };
        match input {
            SessionInput::Dial { .. } => Some(InputKind::Dial),
            SessionInput::Cancel => Some(InputKind::CallOff),
            SessionInput::Reject { .. } => Some(InputKind::Refuse),
            SessionInput::Fail => Some(InputKind::TearDown),
            SessionInput::Migrate => Some(InputKind::Move),
            SessionInput::NoSocket { dial } => of(dial, InputKind::NoSocket),
            SessionInput::Unreachable { dial } => of(dial, InputKind::Unreachable),
            // What came up too late for its line has met nobody: nothing is sent.
            SessionInput::Connected { dial } if now >= self.write_deadline => {
                of(dial, InputKind::NoSocket)
            }
            SessionInput::DeadlineReached
                if self.state == SessionState::Connecting && now >= self.write_deadline =>
            {
                Some(InputKind::NoSocket)
            }
            SessionInput::Connected { dial } => of(dial, InputKind::Connected),
            SessionInput::RequestWritten { dial } => of(dial, InputKind::Written),
            SessionInput::ServerAccepted { dial } => {
                let served = self.client_waiting || is_injected(InjectedFault::OpensAlone);
                of(
                    dial,
                    if served {
                        InputKind::Up
                    } else {
                        InputKind::UpAlone
                    },
                )
            }
            SessionInput::ServerDeclined { dial, .. } => of(dial, InputKind::Said),
            SessionInput::ServerEnded { dial } => of(dial, InputKind::Ended),
            SessionInput::DeadlineReached => Some(InputKind::Due),
            SessionInput::ClientLeft | SessionInput::ClientSpoke
                if self.restored && self.state != SessionState::Open =>
            {
                Some(InputKind::Unknown)
            }
            SessionInput::ClientLeft | SessionInput::ClientSpoke if self.client_left => None,
            SessionInput::ClientLeft => Some(InputKind::Left),
            SessionInput::ClientSpoke => Some(InputKind::Spoke),
            SessionInput::SessionClosed { .. } => Some(InputKind::Closed),
            SessionInput::ShutdownCutoff => Some(InputKind::GoingDown),
            SessionInput::DrainCutoff if self.restored => Some(InputKind::GoingDown),
            SessionInput::DrainCutoff => (!self.client_left).then_some(InputKind::TurnedAway),
        }
    }

    fn act(
        &mut self,
        now: Duration,
        act: TransitionEffect,
        input: SessionInput,
        out: &mut Vec<SessionEffect>,
    ) {
        let (sess, dial) = (self.request.session, self.dial());
        match act {
            TransitionEffect::Begin => {
                let SessionInput::Dial {
                    server,
                    timeout: time_out,
                    write_within: within,
                } = input
                else {
                    return;
                };
                (self.server, self.dial_deadline, self.write_deadline) =
                    (server, now + time_out, now + within);
                self.dials = self.dials.saturating_add(1);
                if is_injected(InjectedFault::DeadlineTooLate) {
                    self.dial_deadline += Duration::from_millis(400);
                }
                let ends = self.dial_deadline.min(self.write_deadline);
                out.push(SessionEffect::SetDeadline(Some(
                    (now + self.connect_timeout).min(ends),
                )));
                out.push(SessionEffect::Connect { server });
            }
            TransitionEffect::Ask => {
                let wait = self
                    .dial_deadline
                    .saturating_sub(now)
                    .max(Duration::from_millis(1));
                let watched =
                    (!is_injected(InjectedFault::NoDeadline)).then_some(self.dial_deadline);
                out.push(SessionEffect::SetDeadline(watched));
                out.push(SessionEffect::Count(ReasonCode::AttemptSent));
                out.push(SessionEffect::SendRequest {
                    wait: (!self.restored).then_some(wait),
                });
            }
            TransitionEffect::ComeUp => {
                out.push(SessionEffect::SetDeadline(None));
                if self.restored {
                    self.dials = 1;
                    out.push(SessionEffect::Count(ReasonCode::SessionRestored));
                    out.push(SessionEffect::Notify(Event::SessionInherited(
                        self.request,
                        self.server,
                    )));
                } else {
                    out.push(SessionEffect::Count(ReasonCode::SessionOpened));
                    out.push(SessionEffect::Notify(Event::SessionOpened {
                        session: sess,
                        dial,
                    }));
                }
                out.push(SessionEffect::StartForwarding);
            }
            TransitionEffect::Fail(outcome) => self.fail(now, outcome, Load::default(), out),
            TransitionEffect::FailAsSaid => {
                let SessionInput::ServerDeclined { outcome, load, .. } = input else {
                    return;
                };
                self.fail(now, outcome, load, out);
            }
            TransitionEffect::Refuse => {
                let SessionInput::Reject {
                    retry_after: come_back,
                } = input
                else {
                    return;
                };
                self.answer(FinalAnswer::Rejected(come_back), out);
            }
            TransitionEffect::TurnAway => {
                self.answer(FinalAnswer::Failed(ReasonCode::SessionFailed), out)
            }
            TransitionEffect::TearDown => {
                self.answer(FinalAnswer::Failed(ReasonCode::SessionFailed), out)
            }
            TransitionEffect::SendAway => out.push(SessionEffect::Migrate),
            TransitionEffect::Restore => {
                out.extend(self.restored.then_some(SessionEffect::Restore))
            }
            TransitionEffect::Depart(_) if !self.client_waiting => {}
            TransitionEffect::Depart(code) => {
                if input == SessionInput::ClientSpoke {
                    self.answer(FinalAnswer::Failed(ReasonCode::ClientProtocolError), out);
                } else {
                    out.extend([SessionEffect::Log(code), SessionEffect::DropClient]);
                }
                (self.client_waiting, self.client_left) =
                    (is_injected(InjectedFault::AnswersTwice), true);
            }
            TransitionEffect::Forget => out.extend([
                SessionEffect::SetDeadline(None),
                SessionEffect::CloseServer,
                SessionEffect::Forget,
            ]),
            TransitionEffect::TellEnd => {
                let SessionInput::SessionClosed { outcome, load } = input else {
                    return;
                };
                out.push(SessionEffect::SetDeadline(None));
                out.push(SessionEffect::Notify(Event::AttemptEnded {
                    session: sess,
                    dial,
                    outcome,
                    session_over: true,
                    load,
                }));
            }
            TransitionEffect::Unask if is_injected(InjectedFault::GoneAsked) => {}
            TransitionEffect::Unask => self.fail(now, Outcome::CalledOff, Load::default(), out),
            TransitionEffect::TellLeft => {
                self.client_left = true;
                out.push(SessionEffect::Notify(Event::ClientLeft { session: sess }));
            }
            TransitionEffect::GoDown => {
                out.extend([SessionEffect::SetDeadline(None), SessionEffect::CloseServer]);
                if !is_injected(InjectedFault::SilentGoingDown) {
                    self.answer(FinalAnswer::Failed(ReasonCode::SessionFailed), out);
                }
                out.push(SessionEffect::Forget);
            }
        }
    }

    /// The one way to a final answer, which nobody gets who has one, or who has left.
    fn answer(&mut self, answer: FinalAnswer, out: &mut Vec<SessionEffect>) {
        let again = is_injected(InjectedFault::AnswersTwice);
        if std::mem::replace(&mut self.client_waiting, again) {
            out.push(SessionEffect::AnswerClient(answer));
        }
    }

    /// Closes the dial before anything else is sent for its session, and tells what it came to.
    fn fail(&mut self, now: Duration, outcome: Outcome, load: Load, out: &mut Vec<SessionEffect>) {
        if is_injected(InjectedFault::AnswersWhileOut)
            && outcome == Outcome::TimedOut
            && self.client_waiting
        {
            self.state = SessionState::AwaitingAnswer;
            return self.answer(FinalAnswer::Failed(ReasonCode::SessionFailed), out);
        }
        let open = is_injected(InjectedFault::DialBeforeClose) && outcome == Outcome::TimedOut;
        out.extend((!open).then_some(SessionEffect::CloseServer));
        out.push(SessionEffect::SetDeadline(None));
        let proves = is_injected(InjectedFault::TimeOutProvesNothing)
            && outcome == Outcome::TimedOut
            || is_injected(InjectedFault::ResetProvesNothing) && outcome == Outcome::Reset;
        let outcome = if proves {
            Outcome::Unreachable
        } else {
            outcome
        };
        let Some((_, unrun, code)) = ENDS.iter().find(|end| end.0 == outcome) else {
            return;
        };
        out.extend(code.map(SessionEffect::Log));
        if !self.restored {
            let (sess, dial, over): (SessionId, u8, bool) =
                (self.request.session, self.dial(), !self.client_waiting);
            out.push(SessionEffect::Notify(Event::AttemptEnded {
                session: sess,
                dial,
                outcome,
                session_over: over,
                load,
            }));
        } else if *unrun && now + AGAIN < self.restored_until() {
            out.push(SessionEffect::SetDeadline(Some(now + AGAIN)));
        } else {
            self.state = SessionState::Ended;
            self.answer(FinalAnswer::Failed(ReasonCode::SessionFailed), out);
            out.push(SessionEffect::Forget);
        }
    }
}
