//! The life of a session, from its client's first line to its end, as a table. No I/O and no clock: inputs come
//! with the time, effects go out, and whoever drives it has sockets (the router) or a model of them (a checker).

use super::report::Code;
use crate::injected_fault::{Plant, planted};
use asterramp_placement::Event;
use asterramp_placement::event::{Arrival, Load, Outcome, ServerId, SessId};
use std::time::Duration;

/// Pace at which a connection that was open before is tried again, and until when.
const AGAIN: Duration = Duration::from_millis(250);
const RESTORED: Duration = Duration::from_secs(38);

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Stage {
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
pub enum Input {
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
pub enum Answer {
    Busy(Duration),
    Failed(Code),
}

#[derive(Clone, Debug)]
pub enum Effect {
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
    Answer(Answer),
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
    Log(Code),
    Count(Code),
    /// The module hears.
    Tell(Event),
}

#[derive(Clone, Debug)]
pub struct Life {
    pub stage: Stage,
    pub arrival: Arrival,
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
enum Word {
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
enum Act {
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
    Depart(Code),
    Forget,
    TellEnd,
    TellLeft,
    GoDown,
    /// Closes a dial whose line is not at its server, also where dials may not be called off: nothing runs there yet,
    /// and what were written now would be an attempt for nobody.
    Unask,
}

const UNASKED_LEFT: &[Act] = &[Act::Depart(Code::ClientLeft), Act::TellLeft, Act::Unask];
const UNASKED_BAD: &[Act] = &[Act::Depart(Code::ClientBad), Act::TellLeft, Act::Unask];

/// Stage, input, next stage, what is done. What is not listed is late or stray, and ignored.
const TABLE: &[(Stage, Word, Stage, &[Act])] = &[
    (Stage::Waiting, Word::Dial, Stage::Connecting, &[Act::Begin]),
    (Stage::Waiting, Word::Refuse, Stage::Over, &[Act::Refuse]),
    (
        Stage::Waiting,
        Word::TearDown,
        Stage::Over,
        &[Act::TearDown],
    ),
    (Stage::Waiting, Word::Due, Stage::Waiting, &[Act::Restore]),
    (
        Stage::Waiting,
        Word::NoSocket,
        Stage::Waiting,
        &[Act::Fail(Outcome::NeverSent)],
    ),
    (
        Stage::Connecting,
        Word::NoSocket,
        Stage::Waiting,
        &[Act::Fail(Outcome::NeverSent)],
    ),
    (
        Stage::Connecting,
        Word::Unreachable,
        Stage::Waiting,
        &[Act::Fail(Outcome::Unreachable)],
    ),
    (
        Stage::Connecting,
        Word::Due,
        Stage::Waiting,
        &[Act::Fail(Outcome::Unreachable)],
    ),
    (
        Stage::Connecting,
        Word::CallOff,
        Stage::Waiting,
        &[Act::Fail(Outcome::CalledOff)],
    ),
    (
        Stage::Connecting,
        Word::Connected,
        Stage::Asked,
        &[Act::Ask],
    ),
    (Stage::Asked, Word::Written, Stage::Sent, &[]),
    // The line's last byte was never written.
    (
        Stage::Asked,
        Word::Ended,
        Stage::Waiting,
        &[Act::Fail(Outcome::Unreachable)],
    ),
    (
        Stage::Asked,
        Word::Due,
        Stage::Waiting,
        &[Act::Fail(Outcome::Unreachable)],
    ),
    (
        Stage::Asked,
        Word::CallOff,
        Stage::Waiting,
        &[Act::Fail(Outcome::CalledOff)],
    ),
    // The client had gone before the line's first byte was written.
    (
        Stage::Asked,
        Word::NoSocket,
        Stage::Waiting,
        &[Act::Fail(Outcome::NeverSent)],
    ),
    (Stage::Sent, Word::Up, Stage::Open, &[Act::ComeUp]),
    // A client that left while its dial could not be called off.
    (
        Stage::Sent,
        Word::UpAlone,
        Stage::Waiting,
        &[Act::Fail(Outcome::Ok)],
    ),
    (Stage::Sent, Word::Said, Stage::Waiting, &[Act::FailAsSaid]),
    (
        Stage::Sent,
        Word::Ended,
        Stage::Waiting,
        &[Act::Fail(Outcome::Reset)],
    ),
    (
        Stage::Sent,
        Word::Due,
        Stage::Waiting,
        &[Act::Fail(Outcome::TimedOut)],
    ),
    (
        Stage::Sent,
        Word::CallOff,
        Stage::Waiting,
        &[Act::Fail(Outcome::CalledOff)],
    ),
    (Stage::Open, Word::Move, Stage::Open, &[Act::SendAway]),
    (Stage::Open, Word::Left, Stage::Open, &[Act::TellLeft]),
    (Stage::Open, Word::Closed, Stage::Over, &[Act::TellEnd]),
    (
        Stage::Waiting,
        Word::Left,
        Stage::Waiting,
        &[Act::Depart(Code::ClientLeft), Act::TellLeft],
    ),
    (Stage::Connecting, Word::Left, Stage::Waiting, UNASKED_LEFT),
    (Stage::Asked, Word::Left, Stage::Waiting, UNASKED_LEFT),
    (
        Stage::Sent,
        Word::Left,
        Stage::Sent,
        &[Act::Depart(Code::ClientLeft), Act::TellLeft],
    ),
    // It was to wait for its answer: what it says would reach its server unasked.
    (
        Stage::Waiting,
        Word::Spoke,
        Stage::Waiting,
        &[Act::Depart(Code::ClientBad), Act::TellLeft],
    ),
    (Stage::Connecting, Word::Spoke, Stage::Waiting, UNASKED_BAD),
    (Stage::Asked, Word::Spoke, Stage::Waiting, UNASKED_BAD),
    (
        Stage::Sent,
        Word::Spoke,
        Stage::Sent,
        &[Act::Depart(Code::ClientBad), Act::TellLeft],
    ),
    (
        Stage::Waiting,
        Word::TurnedAway,
        Stage::Waiting,
        &[Act::TurnAway, Act::TellLeft],
    ),
    (
        Stage::Connecting,
        Word::TurnedAway,
        Stage::Waiting,
        &[Act::TurnAway, Act::TellLeft, Act::Unask],
    ),
    (
        Stage::Asked,
        Word::TurnedAway,
        Stage::Waiting,
        &[Act::TurnAway, Act::TellLeft, Act::Unask],
    ),
    (
        Stage::Sent,
        Word::TurnedAway,
        Stage::Sent,
        &[Act::TurnAway, Act::TellLeft],
    ),
    (
        Stage::Waiting,
        Word::Unknown,
        Stage::Over,
        &[Act::Depart(Code::ClientLeft), Act::Forget],
    ),
    (
        Stage::Connecting,
        Word::Unknown,
        Stage::Over,
        &[Act::Depart(Code::ClientLeft), Act::Forget],
    ),
    (
        Stage::Asked,
        Word::Unknown,
        Stage::Over,
        &[Act::Depart(Code::ClientLeft), Act::Forget],
    ),
    (
        Stage::Sent,
        Word::Unknown,
        Stage::Over,
        &[Act::Depart(Code::ClientLeft), Act::Forget],
    ),
    (Stage::Waiting, Word::GoingDown, Stage::Over, &[Act::GoDown]),
    (
        Stage::Connecting,
        Word::GoingDown,
        Stage::Over,
        &[Act::GoDown],
    ),
    (Stage::Asked, Word::GoingDown, Stage::Over, &[Act::GoDown]),
    (Stage::Sent, Word::GoingDown, Stage::Over, &[Act::GoDown]),
];

/// Outcome, whether it proves that the dial never ran, code.
const ENDS: &[(Outcome, bool, Option<Code>)] = &[
    (Outcome::Ok, false, None),
    (Outcome::Erred, false, Some(Code::DialErred)),
    (Outcome::Full, true, Some(Code::DialFull)),
    (Outcome::TimedOut, false, Some(Code::DialTimedOut)),
    (Outcome::Unreachable, true, Some(Code::DialUnreachable)),
    (Outcome::Reset, false, Some(Code::DialReset)),
    (Outcome::CalledOff, false, Some(Code::DialCalledOff)),
    (Outcome::NeverSent, true, Some(Code::DialUnsent)),
];

impl Life {
    pub fn new(now: Duration, arrival: Arrival, restored: bool, connect_within: Duration) -> Life {
        Life {
            stage: Stage::Waiting,
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
    pub fn open(now: Duration, arrival: Arrival, to: ServerId, connect_within: Duration) -> Life {
        Life {
            stage: Stage::Open,
            dials: 1,
            to,
            ..Life::new(now, arrival, false, connect_within)
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

    pub fn step(&mut self, now: Duration, input: Input, out: &mut Vec<Effect>) {
        let Some(word) = self.word(now, input) else {
            return;
        };
        let late_up = planted(Plant::LateUpBelieved) && word == Word::Up;
        let stage = if late_up && self.stage != Stage::Over {
            Stage::Sent
        } else {
            self.stage
        };
        let Some(row) = TABLE.iter().find(|row| row.0 == stage && row.1 == word) else {
            return;
        };
        if planted(Plant::NoSocketUntold) && word == Word::NoSocket {
            self.stage = Stage::Waiting;
            return out.extend([Effect::Close, Effect::Watch(None)]);
        }
        if planted(Plant::CallOffKept) && (stage, word) == (Stage::Sent, Word::CallOff) {
            return;
        }
        self.stage = if planted(Plant::GoneAsked) && row.3.contains(&Act::Unask) {
            stage
        } else {
            row.2
        };
        row.3.iter().for_each(|act| self.act(now, *act, input, out));
    }

    /// `None` for what speaks of an older dial.
    fn word(&self, now: Duration, input: Input) -> Option<Word> {
        let of = |dial: u8, word| {
            let late_up = planted(Plant::LateUpBelieved) && word == Word::Up;
            (dial == self.dial() || late_up).then_some(word)
        };
        match input {
            Input::Dial { .. } => Some(Word::Dial),
            Input::CallOff => Some(Word::CallOff),
            Input::Refuse { .. } => Some(Word::Refuse),
            Input::TearDown => Some(Word::TearDown),
            Input::Move => Some(Word::Move),
            Input::NoSocket { dial } => of(dial, Word::NoSocket),
            Input::Unreachable { dial } => of(dial, Word::Unreachable),
            // What came up too late for its line has met nobody: nothing is sent.
            Input::Connected { dial } if now >= self.write_by => of(dial, Word::NoSocket),
            Input::Due if self.stage == Stage::Connecting && now >= self.write_by => {
                Some(Word::NoSocket)
            }
            Input::Connected { dial } => of(dial, Word::Connected),
            Input::Written { dial } => of(dial, Word::Written),
            Input::Up { dial } => {
                let served = self.present || planted(Plant::OpensAlone);
                of(dial, if served { Word::Up } else { Word::UpAlone })
            }
            Input::Said { dial, .. } => of(dial, Word::Said),
            Input::Ended { dial } => of(dial, Word::Ended),
            Input::Due => Some(Word::Due),
            Input::Left | Input::Spoke if self.restored && self.stage != Stage::Open => {
                Some(Word::Unknown)
            }
            Input::Left | Input::Spoke if self.left => None,
            Input::Left => Some(Word::Left),
            Input::Spoke => Some(Word::Spoke),
            Input::Closed { .. } => Some(Word::Closed),
            Input::GoingDown => Some(Word::GoingDown),
            Input::TurnedAway if self.restored => Some(Word::GoingDown),
            Input::TurnedAway => (!self.left).then_some(Word::TurnedAway),
        }
    }

    fn act(&mut self, now: Duration, act: Act, input: Input, out: &mut Vec<Effect>) {
        let (sess, dial) = (self.arrival.sess, self.dial());
        match act {
            Act::Begin => {
                let Input::Dial {
                    server,
                    time_out,
                    within,
                } = input
                else {
                    return;
                };
                (self.to, self.dial_ends, self.write_by) = (server, now + time_out, now + within);
                self.dials = self.dials.saturating_add(1);
                if planted(Plant::DeadlineTooLate) {
                    self.dial_ends += Duration::from_millis(400);
                }
                let ends = self.dial_ends.min(self.write_by);
                out.push(Effect::Watch(Some((now + self.connect_within).min(ends))));
                out.push(Effect::Connect { server });
            }
            Act::Ask => {
                let wait = self
                    .dial_ends
                    .saturating_sub(now)
                    .max(Duration::from_millis(1));
                let watched = (!planted(Plant::NoDeadline)).then_some(self.dial_ends);
                out.push(Effect::Watch(watched));
                out.push(Effect::Count(Code::Dialled));
                out.push(Effect::Ask {
                    wait: (!self.restored).then_some(wait),
                });
            }
            Act::ComeUp => {
                out.push(Effect::Watch(None));
                if self.restored {
                    self.dials = 1;
                    out.push(Effect::Count(Code::Restored));
                    out.push(Effect::Tell(Event::Inherited(self.arrival, self.to)));
                } else {
                    out.push(Effect::Count(Code::Up));
                    out.push(Effect::Tell(Event::Began { sess, dial }));
                }
                out.push(Effect::Pass);
            }
            Act::Fail(outcome) => self.fail(now, outcome, Load::default(), out),
            Act::FailAsSaid => {
                let Input::Said { outcome, load, .. } = input else {
                    return;
                };
                self.fail(now, outcome, load, out);
            }
            Act::Refuse => {
                let Input::Refuse { come_back } = input else {
                    return;
                };
                self.answer(Answer::Busy(come_back), out);
            }
            Act::TurnAway => self.answer(Answer::Failed(Code::TornDown), out),
            Act::TearDown => self.answer(Answer::Failed(Code::TornDown), out),
            Act::SendAway => out.push(Effect::SendAway),
            Act::Restore => out.extend(self.restored.then_some(Effect::Restore)),
            Act::Depart(_) if !self.present => {}
            Act::Depart(code) => {
                if input == Input::Spoke {
                    self.answer(Answer::Failed(Code::ClientBad), out);
                } else {
                    out.extend([Effect::Log(code), Effect::Drop]);
                }
                (self.present, self.left) = (planted(Plant::AnswersTwice), true);
            }
            Act::Forget => out.extend([Effect::Watch(None), Effect::Close, Effect::Forget]),
            Act::TellEnd => {
                let Input::Closed { outcome, load } = input else {
                    return;
                };
                out.push(Effect::Watch(None));
                out.push(Effect::Tell(Event::Ended {
                    sess,
                    dial,
                    outcome,
                    over: true,
                    load,
                }));
            }
            Act::Unask if planted(Plant::GoneAsked) => {}
            Act::Unask => self.fail(now, Outcome::CalledOff, Load::default(), out),
            Act::TellLeft => {
                self.left = true;
                out.push(Effect::Tell(Event::Left { sess }));
            }
            Act::GoDown => {
                out.extend([Effect::Watch(None), Effect::Close]);
                if !planted(Plant::SilentGoingDown) {
                    self.answer(Answer::Failed(Code::TornDown), out);
                }
                out.push(Effect::Forget);
            }
        }
    }

    /// The one way to a final answer, which nobody gets who has one, or who has left.
    fn answer(&mut self, answer: Answer, out: &mut Vec<Effect>) {
        let again = planted(Plant::AnswersTwice);
        if std::mem::replace(&mut self.present, again) {
            out.push(Effect::Answer(answer));
        }
    }

    /// Closes the dial before anything else is sent for its session, and tells what it came to.
    fn fail(&mut self, now: Duration, outcome: Outcome, load: Load, out: &mut Vec<Effect>) {
        if planted(Plant::AnswersWhileOut) && outcome == Outcome::TimedOut && self.present {
            self.stage = Stage::Sent;
            return self.answer(Answer::Failed(Code::TornDown), out);
        }
        let open = planted(Plant::DialBeforeClose) && outcome == Outcome::TimedOut;
        out.extend((!open).then_some(Effect::Close));
        out.push(Effect::Watch(None));
        let proves = planted(Plant::TimeOutProvesNothing) && outcome == Outcome::TimedOut
            || planted(Plant::ResetProvesNothing) && outcome == Outcome::Reset;
        let outcome = if proves {
            Outcome::Unreachable
        } else {
            outcome
        };
        let Some((_, unrun, code)) = ENDS.iter().find(|end| end.0 == outcome) else {
            return;
        };
        out.extend(code.map(Effect::Log));
        if !self.restored {
            let (sess, dial, over): (SessId, u8, bool) =
                (self.arrival.sess, self.dial(), !self.present);
            out.push(Effect::Tell(Event::Ended {
                sess,
                dial,
                outcome,
                over,
                load,
            }));
        } else if *unrun && now + AGAIN < self.restored_until() {
            out.push(Effect::Watch(Some(now + AGAIN)));
        } else {
            self.stage = Stage::Over;
            self.answer(Answer::Failed(Code::TornDown), out);
            out.push(Effect::Forget);
        }
    }
}
