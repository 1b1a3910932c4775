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
    Waiting,
    Connecting,
    /// The connection is up and the line is being written.
    Asked,
    /// Its last byte is written: it may run.
    Sent,
    /// Lines pass.
    Open,
    /// Answered, or its open connection has ended.
    Over,
}

/// What happens to a session. What speaks of its dial names it, so that a late word of an older one is known.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SessionInput {
    /// The module's word, or, for a session that was open before, where it goes back to.
    Dial {
        server: ServerId,
        time_out: Duration,
        /// How long the line may take to be written, or nothing of it is.
        within: Duration,
    },
    CallOff,
    Refuse {
        come_back: Duration,
    },
    TearDown,
    Move,
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
    Written {
        dial: u8,
    },
    Up {
        dial: u8,
    },
    Said {
        dial: u8,
        outcome: Outcome,
        load: Load,
    },
    Ended {
        dial: u8,
    },
    /// The deadline that was watched for.
    Due,
    /// The client ended its side, or spoke before it was answered.
    Left,
    Spoke,
    /// The open connection is over on both sides.
    Closed {
        outcome: Outcome,
        load: Load,
    },
    /// The proxy waits no longer, and ends.
    GoingDown,
    /// The proxy waits no longer, and serves on: the module must hear of it, or it would keep the session's place.
    TurnedAway,
}

/// The final answer that a client is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    Busy(Duration),
    Failed(ReasonCode),
}

#[derive(Clone, Debug)]
pub enum SessionEffect {
    /// Begin the dial's connection.
    Connect {
        server: ServerId,
    },
    /// Write the line, with the wait that this dial has; unchanged for one that was open before.
    Ask {
        wait: Option<Duration>,
    },
    /// Close the dial's connection, before anything else is done for the session.
    Close,
    /// Call `Due` at that time; not any more.
    Watch(Option<Duration>),
    Answer(FinalAnswer),
    /// The client is gone: close its connection.
    Drop,
    /// Pass lines from now on.
    Pass,
    /// Ask the client of an open connection to come again, and end both sides.
    SendAway,
    /// Ask where it was open, and dial there again.
    Restore,
    /// Nothing more is known of it.
    Forget,
    Log(ReasonCode),
    Count(ReasonCode),
    /// The module hears.
    Tell(Event),
}

#[derive(Clone, Debug)]
pub struct SessionMachine {
    pub stage: SessionState,
    pub arrival: SessionRequest,
    pub arrived: Duration,
    pub dials: u8,
    pub to: ServerId,
    pub dial_ends: Duration,
    /// From when on the present dial's line is not written any more.
    pub write_by: Duration,
    /// The client is there and not answered.
    pub present: bool,
    /// The client has ended its side.
    pub left: bool,
    /// It was open before this proxy started.
    pub restored: bool,
    /// Longest that a connection may take to come up.
    connect_within: Duration,
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
    TransitionEffect::Depart(ReasonCode::ClientBad),
    TransitionEffect::TellLeft,
    TransitionEffect::Unask,
];

/// Stage, input, next stage, what is done. What is not listed is late or stray, and ignored.
const TABLE: &[(SessionState, InputKind, SessionState, &[TransitionEffect])] = &[
    (
        SessionState::Waiting,
        InputKind::Dial,
        SessionState::Connecting,
        &[TransitionEffect::Begin],
    ),
    (
        SessionState::Waiting,
        InputKind::Refuse,
        SessionState::Over,
        &[TransitionEffect::Refuse],
    ),
    (
        SessionState::Waiting,
        InputKind::TearDown,
        SessionState::Over,
        &[TransitionEffect::TearDown],
    ),
    (
        SessionState::Waiting,
        InputKind::Due,
        SessionState::Waiting,
        &[TransitionEffect::Restore],
    ),
    (
        SessionState::Waiting,
        InputKind::NoSocket,
        SessionState::Waiting,
        &[TransitionEffect::Fail(Outcome::NeverSent)],
    ),
    (
        SessionState::Connecting,
        InputKind::NoSocket,
        SessionState::Waiting,
        &[TransitionEffect::Fail(Outcome::NeverSent)],
    ),
    (
        SessionState::Connecting,
        InputKind::Unreachable,
        SessionState::Waiting,
        &[TransitionEffect::Fail(Outcome::Unreachable)],
    ),
    (
        SessionState::Connecting,
        InputKind::Due,
        SessionState::Waiting,
        &[TransitionEffect::Fail(Outcome::Unreachable)],
    ),
    (
        SessionState::Connecting,
        InputKind::CallOff,
        SessionState::Waiting,
        &[TransitionEffect::Fail(Outcome::CalledOff)],
    ),
    (
        SessionState::Connecting,
        InputKind::Connected,
        SessionState::Asked,
        &[TransitionEffect::Ask],
    ),
    (
        SessionState::Asked,
        InputKind::Written,
        SessionState::Sent,
        &[],
    ),
    // The line's last byte was never written.
    (
        SessionState::Asked,
        InputKind::Ended,
        SessionState::Waiting,
        &[TransitionEffect::Fail(Outcome::Unreachable)],
    ),
    (
        SessionState::Asked,
        InputKind::Due,
        SessionState::Waiting,
        &[TransitionEffect::Fail(Outcome::Unreachable)],
    ),
    (
        SessionState::Asked,
        InputKind::CallOff,
        SessionState::Waiting,
        &[TransitionEffect::Fail(Outcome::CalledOff)],
    ),
    // The client had gone before the line's first byte was written.
    (
        SessionState::Asked,
        InputKind::NoSocket,
        SessionState::Waiting,
        &[TransitionEffect::Fail(Outcome::NeverSent)],
    ),
    (
        SessionState::Sent,
        InputKind::Up,
        SessionState::Open,
        &[TransitionEffect::ComeUp],
    ),
    // A client that left while its dial could not be called off.
    (
        SessionState::Sent,
        InputKind::UpAlone,
        SessionState::Waiting,
        &[TransitionEffect::Fail(Outcome::Ok)],
    ),
    (
        SessionState::Sent,
        InputKind::Said,
        SessionState::Waiting,
        &[TransitionEffect::FailAsSaid],
    ),
    (
        SessionState::Sent,
        InputKind::Ended,
        SessionState::Waiting,
        &[TransitionEffect::Fail(Outcome::Reset)],
    ),
    (
        SessionState::Sent,
        InputKind::Due,
        SessionState::Waiting,
        &[TransitionEffect::Fail(Outcome::TimedOut)],
    ),
    (
        SessionState::Sent,
        InputKind::CallOff,
        SessionState::Waiting,
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
        SessionState::Over,
        &[TransitionEffect::TellEnd],
    ),
    (
        SessionState::Waiting,
        InputKind::Left,
        SessionState::Waiting,
        &[
            TransitionEffect::Depart(ReasonCode::ClientLeft),
            TransitionEffect::TellLeft,
        ],
    ),
    (
        SessionState::Connecting,
        InputKind::Left,
        SessionState::Waiting,
        UNASKED_LEFT,
    ),
    (
        SessionState::Asked,
        InputKind::Left,
        SessionState::Waiting,
        UNASKED_LEFT,
    ),
    (
        SessionState::Sent,
        InputKind::Left,
        SessionState::Sent,
        &[
            TransitionEffect::Depart(ReasonCode::ClientLeft),
            TransitionEffect::TellLeft,
        ],
    ),
    // It was to wait for its answer: what it says would reach its server unasked.
    (
        SessionState::Waiting,
        InputKind::Spoke,
        SessionState::Waiting,
        &[
            TransitionEffect::Depart(ReasonCode::ClientBad),
            TransitionEffect::TellLeft,
        ],
    ),
    (
        SessionState::Connecting,
        InputKind::Spoke,
        SessionState::Waiting,
        UNASKED_BAD,
    ),
    (
        SessionState::Asked,
        InputKind::Spoke,
        SessionState::Waiting,
        UNASKED_BAD,
    ),
    (
        SessionState::Sent,
        InputKind::Spoke,
        SessionState::Sent,
        &[
            TransitionEffect::Depart(ReasonCode::ClientBad),
            TransitionEffect::TellLeft,
        ],
    ),
    (
        SessionState::Waiting,
        InputKind::TurnedAway,
        SessionState::Waiting,
        &[TransitionEffect::TurnAway, TransitionEffect::TellLeft],
    ),
    (
        SessionState::Connecting,
        InputKind::TurnedAway,
        SessionState::Waiting,
        &[
            TransitionEffect::TurnAway,
            TransitionEffect::TellLeft,
            TransitionEffect::Unask,
        ],
    ),
    (
        SessionState::Asked,
        InputKind::TurnedAway,
        SessionState::Waiting,
        &[
            TransitionEffect::TurnAway,
            TransitionEffect::TellLeft,
            TransitionEffect::Unask,
        ],
    ),
    (
        SessionState::Sent,
        InputKind::TurnedAway,
        SessionState::Sent,
        &[TransitionEffect::TurnAway, TransitionEffect::TellLeft],
    ),
    (
        SessionState::Waiting,
        InputKind::Unknown,
        SessionState::Over,
        &[
            TransitionEffect::Depart(ReasonCode::ClientLeft),
            TransitionEffect::Forget,
        ],
    ),
    (
        SessionState::Connecting,
        InputKind::Unknown,
        SessionState::Over,
        &[
            TransitionEffect::Depart(ReasonCode::ClientLeft),
            TransitionEffect::Forget,
        ],
    ),
    (
        SessionState::Asked,
        InputKind::Unknown,
        SessionState::Over,
        &[
            TransitionEffect::Depart(ReasonCode::ClientLeft),
            TransitionEffect::Forget,
        ],
    ),
    (
        SessionState::Sent,
        InputKind::Unknown,
        SessionState::Over,
        &[
            TransitionEffect::Depart(ReasonCode::ClientLeft),
            TransitionEffect::Forget,
        ],
    ),
    (
        SessionState::Waiting,
        InputKind::GoingDown,
        SessionState::Over,
        &[TransitionEffect::GoDown],
    ),
    (
        SessionState::Connecting,
        InputKind::GoingDown,
        SessionState::Over,
        &[TransitionEffect::GoDown],
    ),
    (
        SessionState::Asked,
        InputKind::GoingDown,
        SessionState::Over,
        &[TransitionEffect::GoDown],
    ),
    (
        SessionState::Sent,
        InputKind::GoingDown,
        SessionState::Over,
        &[TransitionEffect::GoDown],
    ),
];

/// Outcome, whether it proves that the dial never ran, code.
const ENDS: &[(Outcome, bool, Option<ReasonCode>)] = &[
    (Outcome::Ok, false, None),
    (Outcome::Erred, false, Some(ReasonCode::DialErred)),
    (Outcome::Full, true, Some(ReasonCode::DialFull)),
    (Outcome::TimedOut, false, Some(ReasonCode::DialTimedOut)),
    (
        Outcome::Unreachable,
        true,
        Some(ReasonCode::DialUnreachable),
    ),
    (Outcome::Reset, false, Some(ReasonCode::DialReset)),
    (Outcome::CalledOff, false, Some(ReasonCode::DialCalledOff)),
    (Outcome::NeverSent, true, Some(ReasonCode::DialUnsent)),
];

impl SessionMachine {
    pub fn new(
        now: Duration,
        arrival: SessionRequest,
        restored: bool,
        connect_within: Duration,
    ) -> SessionMachine {
        SessionMachine {
            stage: SessionState::Waiting,
            arrival,
            arrived: now,
            dials: 0,
            to: 0,
            dial_ends: now,
            write_by: now,
            present: true,
            left: false,
            restored,
            connect_within,
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
            stage: SessionState::Open,
            dials: 1,
            to,
            ..SessionMachine::new(now, arrival, false, connect_within)
        }
    }

    /// The present dial's number, or the last's.
    pub fn dial(&self) -> u8 {
        self.dials.saturating_sub(1)
    }

    /// Until when one that was open before is tried again.
    pub fn restored_until(&self) -> Duration {
        self.arrived + RESTORED
    }

    pub fn step(&mut self, now: Duration, input: SessionInput, out: &mut Vec<SessionEffect>) {
        let Some(word) = self.word(now, input) else {
            return;
        };
        let late_up = is_injected(InjectedFault::LateUpBelieved) && word == InputKind::Up;
        let stage = if late_up && self.stage != SessionState::Over {
            SessionState::Sent
        } else {
            self.stage
        };
        let Some(row) = TABLE.iter().find(|row| row.0 == stage && row.1 == word) else {
            return;
        };
        if is_injected(InjectedFault::NoSocketUntold) && word == InputKind::NoSocket {
            self.stage = SessionState::Waiting;
            return out.extend([SessionEffect::Close, SessionEffect::Watch(None)]);
        }
        if is_injected(InjectedFault::CallOffKept)
            && (stage, word) == (SessionState::Sent, InputKind::CallOff)
        {
            return;
        }
        self.stage =
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
            SessionInput::CallOff => Some(InputKind::CallOff),
            SessionInput::Refuse { .. } => Some(InputKind::Refuse),
            SessionInput::TearDown => Some(InputKind::TearDown),
            SessionInput::Move => Some(InputKind::Move),
            SessionInput::NoSocket { dial } => of(dial, InputKind::NoSocket),
            SessionInput::Unreachable { dial } => of(dial, InputKind::Unreachable),
            // What came up too late for its line has met nobody: nothing is sent.
            SessionInput::Connected { dial } if now >= self.write_by => {
                of(dial, InputKind::NoSocket)
            }
            SessionInput::Due if self.stage == SessionState::Connecting && now >= self.write_by => {
                Some(InputKind::NoSocket)
            }
            SessionInput::Connected { dial } => of(dial, InputKind::Connected),
            SessionInput::Written { dial } => of(dial, InputKind::Written),
            SessionInput::Up { dial } => {
                let served = self.present || is_injected(InjectedFault::OpensAlone);
                of(
                    dial,
                    if served {
                        InputKind::Up
                    } else {
                        InputKind::UpAlone
                    },
                )
            }
            SessionInput::Said { dial, .. } => of(dial, InputKind::Said),
            SessionInput::Ended { dial } => of(dial, InputKind::Ended),
            SessionInput::Due => Some(InputKind::Due),
            SessionInput::Left | SessionInput::Spoke
                if self.restored && self.stage != SessionState::Open =>
            {
                Some(InputKind::Unknown)
            }
            SessionInput::Left | SessionInput::Spoke if self.left => None,
            SessionInput::Left => Some(InputKind::Left),
            SessionInput::Spoke => Some(InputKind::Spoke),
            SessionInput::Closed { .. } => Some(InputKind::Closed),
            SessionInput::GoingDown => Some(InputKind::GoingDown),
            SessionInput::TurnedAway if self.restored => Some(InputKind::GoingDown),
            SessionInput::TurnedAway => (!self.left).then_some(InputKind::TurnedAway),
        }
    }

    fn act(
        &mut self,
        now: Duration,
        act: TransitionEffect,
        input: SessionInput,
        out: &mut Vec<SessionEffect>,
    ) {
        let (sess, dial) = (self.arrival.session, self.dial());
        match act {
            TransitionEffect::Begin => {
                let SessionInput::Dial {
                    server,
                    time_out,
                    within,
                } = input
                else {
                    return;
                };
                (self.to, self.dial_ends, self.write_by) = (server, now + time_out, now + within);
                self.dials = self.dials.saturating_add(1);
                if is_injected(InjectedFault::DeadlineTooLate) {
                    self.dial_ends += Duration::from_millis(400);
                }
                let ends = self.dial_ends.min(self.write_by);
                out.push(SessionEffect::Watch(Some(
                    (now + self.connect_within).min(ends),
                )));
                out.push(SessionEffect::Connect { server });
            }
            TransitionEffect::Ask => {
                let wait = self
                    .dial_ends
                    .saturating_sub(now)
                    .max(Duration::from_millis(1));
                let watched = (!is_injected(InjectedFault::NoDeadline)).then_some(self.dial_ends);
                out.push(SessionEffect::Watch(watched));
                out.push(SessionEffect::Count(ReasonCode::Dialled));
                out.push(SessionEffect::Ask {
                    wait: (!self.restored).then_some(wait),
                });
            }
            TransitionEffect::ComeUp => {
                out.push(SessionEffect::Watch(None));
                if self.restored {
                    self.dials = 1;
                    out.push(SessionEffect::Count(ReasonCode::Restored));
                    out.push(SessionEffect::Tell(Event::SessionInherited(
                        self.arrival,
                        self.to,
                    )));
                } else {
                    out.push(SessionEffect::Count(ReasonCode::Up));
                    out.push(SessionEffect::Tell(Event::SessionOpened {
                        session: sess,
                        dial,
                    }));
                }
                out.push(SessionEffect::Pass);
            }
            TransitionEffect::Fail(outcome) => self.fail(now, outcome, Load::default(), out),
            TransitionEffect::FailAsSaid => {
                let SessionInput::Said { outcome, load, .. } = input else {
                    return;
                };
                self.fail(now, outcome, load, out);
            }
            TransitionEffect::Refuse => {
                let SessionInput::Refuse { come_back } = input else {
                    return;
                };
                self.answer(FinalAnswer::Busy(come_back), out);
            }
            TransitionEffect::TurnAway => {
                self.answer(FinalAnswer::Failed(ReasonCode::TornDown), out)
            }
            TransitionEffect::TearDown => {
                self.answer(FinalAnswer::Failed(ReasonCode::TornDown), out)
            }
            TransitionEffect::SendAway => out.push(SessionEffect::SendAway),
            TransitionEffect::Restore => {
                out.extend(self.restored.then_some(SessionEffect::Restore))
            }
            TransitionEffect::Depart(_) if !self.present => {}
            TransitionEffect::Depart(code) => {
                if input == SessionInput::Spoke {
                    self.answer(FinalAnswer::Failed(ReasonCode::ClientBad), out);
                } else {
                    out.extend([SessionEffect::Log(code), SessionEffect::Drop]);
                }
                (self.present, self.left) = (is_injected(InjectedFault::AnswersTwice), true);
            }
            TransitionEffect::Forget => out.extend([
                SessionEffect::Watch(None),
                SessionEffect::Close,
                SessionEffect::Forget,
            ]),
            TransitionEffect::TellEnd => {
                let SessionInput::Closed { outcome, load } = input else {
                    return;
                };
                out.push(SessionEffect::Watch(None));
                out.push(SessionEffect::Tell(Event::AttemptEnded {
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
                self.left = true;
                out.push(SessionEffect::Tell(Event::ClientLeft { session: sess }));
            }
            TransitionEffect::GoDown => {
                out.extend([SessionEffect::Watch(None), SessionEffect::Close]);
                if !is_injected(InjectedFault::SilentGoingDown) {
                    self.answer(FinalAnswer::Failed(ReasonCode::TornDown), out);
                }
                out.push(SessionEffect::Forget);
            }
        }
    }

    /// The one way to a final answer, which nobody gets who has one, or who has left.
    fn answer(&mut self, answer: FinalAnswer, out: &mut Vec<SessionEffect>) {
        let again = is_injected(InjectedFault::AnswersTwice);
        if std::mem::replace(&mut self.present, again) {
            out.push(SessionEffect::Answer(answer));
        }
    }

    /// Closes the dial before anything else is sent for its session, and tells what it came to.
    fn fail(&mut self, now: Duration, outcome: Outcome, load: Load, out: &mut Vec<SessionEffect>) {
        if is_injected(InjectedFault::AnswersWhileOut)
            && outcome == Outcome::TimedOut
            && self.present
        {
            self.stage = SessionState::Sent;
            return self.answer(FinalAnswer::Failed(ReasonCode::TornDown), out);
        }
        let open = is_injected(InjectedFault::DialBeforeClose) && outcome == Outcome::TimedOut;
        out.extend((!open).then_some(SessionEffect::Close));
        out.push(SessionEffect::Watch(None));
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
                (self.arrival.session, self.dial(), !self.present);
            out.push(SessionEffect::Tell(Event::AttemptEnded {
                session: sess,
                dial,
                outcome,
                session_over: over,
                load,
            }));
        } else if *unrun && now + AGAIN < self.restored_until() {
            out.push(SessionEffect::Watch(Some(now + AGAIN)));
        } else {
            self.stage = SessionState::Over;
            self.answer(FinalAnswer::Failed(ReasonCode::TornDown), out);
            out.push(SessionEffect::Forget);
        }
    }
}
