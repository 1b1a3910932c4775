//! How a proxy is emptied, on request or for good: when it answers the front no more, how many it moves now, what
//! it does at its deadline, and how it is taken back. No I/O; time and what there is to move come in, advice goes
//! out. There is one way to leave: SIGTERM is a drain with a fixed plan and no way back.
#![allow(
    missing_docs,
    unreachable_pub,
    missing_debug_implementations,
    rust_2018_idioms
)] // Not yet brought to the workspace lints.
#![allow(clippy::too_many_lines, clippy::cognitive_complexity)] // Not yet brought to the workspace lints.

use std::time::Duration;

/// Pace at which advice is asked for while a proxy is not simply serving.
pub const STEP: Duration = Duration::from_millis(25);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainState {
    Serving,
    /// The front is told by silence; it still sends, and all is still served.
    Closing,
    Moving,
    /// The deadline wants more than the hosts can absorb.
    Late,
    /// Nobody is left; whoever still comes is served and moved.
    Empty,
    /// For good.
    Exiting,
}

impl DrainState {
    pub fn name(self) -> &'static str {
        match self {
            DrainState::Serving => "serving",
            DrainState::Closing => "closing",
            DrainState::Moving => "moving",
            DrainState::Late => "late",
            DrainState::Empty => "empty",
            DrainState::Exiting => "exiting",
        }
    }
}

/// What an operator sets; see the table `drain` of the operator's file.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DrainSettings {
    /// How long the front goes on sending at most once its questions stay unanswered, and how long nobody new
    /// has come when it seems to have stopped before.
    pub closing: Duration,
    pub quiet: Duration,
    /// Connections moved a second, at most, unless the deadline wants more.
    pub pace: f64,
    /// How long a proxy taken back serves before another should be drained.
    pub back: Duration,
}

impl Default for DrainSettings {
    fn default() -> Self {
        DrainSettings {
            closing: Duration::from_secs(3),
            quiet: Duration::from_secs(1),
            pace: 200.0,
            back: Duration::from_secs(10),
        }
    }
}

/// How a proxy that goes for good does so; times from SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DrainExit {
    /// The front goes on sending for so long.
    pub serve_on: Duration,
    /// When the door closes, if the proxy is not empty before.
    pub door: Duration,
    /// When moving begins, when all that were open are moved, when whoever waits is answered, when the rest is
    /// dropped.
    pub moving: Duration,
    pub moved: Duration,
    pub answered: Duration,
    pub ends: Duration,
}

/// What there is, each time that advice is asked for.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DrainView {
    /// Connections that may be moved.
    pub open: usize,
    /// Sessions not yet up.
    pub pending: usize,
    /// Clients in any state, those told their end among them.
    pub clients: usize,
    /// When a session last came.
    pub last_came: Duration,
    /// Connections that the hosts can absorb now by their own reports; `None` where none has told.
    pub room: Option<f64>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DrainAdvice {
    pub move_now: usize,
    /// Answer whoever still waits.
    pub answer: bool,
    pub exit: bool,
    /// Whoever is left is dropped.
    pub late: bool,
}

/// Part of a drain's time that its closing may take.
const CLOSING_PART: u32 = 8;
/// Over how long the hosts' room may be filled by one proxy's drain: reports are late, and others send too.
const FILLED_IN: f64 = 5.0;
/// Slowest pace, where hosts tell that they have no room: a drain must get somewhere.
const CRAWL: f64 = 2.0;
/// Pace where no host tells anything.
const UNTOLD: f64 = 50.0;

#[derive(Clone, Debug)]
pub struct Drain {
    state: DrainState,
    terms: DrainSettings,
    /// When it began, and its deadline.
    began: Duration,
    deadline: Duration,
    /// The operator's own pace.
    pace: Option<f64>,
    exit: Option<DrainExit>,
    /// Moves that time has allowed and that are not made yet.
    allowed: f64,
    at: Duration,
    moved: u64,
    /// Whoever waited at the deadline has been answered.
    answered: bool,
    /// Since when it serves again.
    back_since: Option<Duration>,
}

/// What cannot be done now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainError {
    /// It goes for good.
    Exiting,
    NotDraining,
}

impl Drain {
    pub fn new(terms: DrainSettings) -> Drain {
        Drain {
            state: DrainState::Serving,
            terms,
            began: Duration::ZERO,
            deadline: Duration::ZERO,
            pace: None,
            exit: None,
            allowed: 0.0,
            at: Duration::ZERO,
            moved: 0,
            answered: false,
            back_since: None,
        }
    }

    pub fn state(&self) -> DrainState {
        self.state
    }

    /// Terms read again; a drain under way goes on by them.
    pub fn set_terms(&mut self, terms: DrainSettings) {
        self.terms = terms;
    }

    pub fn answers_pings(&self) -> bool {
        self.state == DrainState::Serving
    }

    /// Whether nobody is taken in any more.
    pub fn shuts_door(&self, now: Duration) -> bool {
        self.state == DrainState::Exiting && self.exit.is_some_and(|exit| now >= exit.door)
    }

    pub fn moved(&self) -> u64 {
        self.moved
    }

    /// How much is left of the deadline.
    pub fn left(&self, now: Duration) -> Option<Duration> {
        let draining = !matches!(self.state, DrainState::Serving | DrainState::Exiting);
        draining.then(|| self.deadline.saturating_sub(now))
    }

    /// Whether it serves and has done so for long enough that another may be drained.
    pub fn carries(&self, now: Duration) -> bool {
        let back = self
            .back_since
            .is_none_or(|since| now.saturating_sub(since) >= self.terms.back);
        self.state == DrainState::Serving && back
    }

    /// Begins to empty the proxy, or changes the deadline and pace of a drain under way.
    pub fn drain(
        &mut self,
        now: Duration,
        within: Duration,
        pace: Option<f64>,
    ) -> Result<(), DrainError> {
        match self.state {
            DrainState::Exiting => return Err(DrainError::Exiting),
            DrainState::Serving => {
                (self.state, self.began, self.at) = (DrainState::Closing, now, now);
                (self.allowed, self.moved, self.back_since) = (0.0, 0, None);
            }
            DrainState::Late => self.state = DrainState::Moving,
            _ => {}
        }
        (self.deadline, self.pace, self.answered) = (now + within, pace, false);
        Ok(())
    }

    /// Takes the proxy back into service.
    pub fn undrain(&mut self, now: Duration) -> Result<(), DrainError> {
        match self.state {
            DrainState::Exiting => Err(DrainError::Exiting),
            DrainState::Serving => Err(DrainError::NotDraining),
            _ => {
                (self.state, self.back_since) = (DrainState::Serving, Some(now));
                Ok(())
            }
        }
    }

    /// For good; a drain under way becomes this one. `exit`'s times are absolute.
    pub fn exit(&mut self, exit: DrainExit) {
        if self.exit.is_none() {
            (self.state, self.exit) = (DrainState::Exiting, Some(exit));
        }
    }

    /// Connections a second that it moves now.
    pub fn pace(&self, view: &DrainView) -> f64 {
        let absorbed = view
            .room
            .map_or(UNTOLD, |room| (room / FILLED_IN).max(CRAWL));
        self.pace.unwrap_or(absorbed).min(self.terms.pace)
    }

    /// When it will be empty at this pace.
    pub fn expected(&self, now: Duration, view: &DrainView) -> Option<Duration> {
        let pace = self.pace(view).max(1e-3);
        let moving = matches!(
            self.state,
            DrainState::Closing | DrainState::Moving | DrainState::Late
        );
        moving.then(|| {
            Duration::from_secs_f64((view.open as f64 / pace).min(1e6))
                .min(self.deadline - now.min(self.deadline))
        })
    }

    /// What to do now. Asked for at each `STEP`, and at once when something was ordered.
    pub fn advise(&mut self, now: Duration, view: &DrainView) -> DrainAdvice {
        match (self.state, self.exit) {
            (DrainState::Exiting, Some(exit)) => self.leave(now, view, &exit),
            (DrainState::Closing, _) => {
                let quiet = now.saturating_sub(view.last_came.max(self.began)) >= self.terms.quiet;
                // A short drain has no time for a slow front.
                let most = self
                    .terms
                    .closing
                    .min(self.deadline.saturating_sub(self.began) / CLOSING_PART);
                let over = quiet || now >= self.began + most;
                if !over {
                    return DrainAdvice::default();
                }
                (self.state, self.at) = (DrainState::Moving, now);
                self.go_on(now, view)
            }
            (DrainState::Moving | DrainState::Late | DrainState::Empty, _) => self.go_on(now, view),
            _ => DrainAdvice::default(),
        }
    }

    fn go_on(&mut self, now: Duration, view: &DrainView) -> DrainAdvice {
        let span = now.saturating_sub(self.at).as_secs_f64();
        self.at = now;
        // Whoever still waits at the deadline is answered; who comes after it is served, and moved once up.
        let answer = now + STEP >= self.deadline
            && !std::mem::replace(&mut self.answered, now + STEP >= self.deadline);
        if view.open == 0 {
            self.allowed = 0.0;
            if view.pending == 0 {
                self.state = DrainState::Empty;
            }
            return DrainAdvice {
                answer,
                ..DrainAdvice::default()
            };
        }
        if self.state == DrainState::Empty {
            self.state = DrainState::Moving;
        }
        let left = self.deadline.saturating_sub(now).as_secs_f64();
        let pace = self.pace(view);
        // A pace that only just meets the deadline meets it a step late.
        let wanted = view.open as f64 / (left - STEP.as_secs_f64()).max(1e-9);
        if wanted > pace * 1.05 {
            self.state = DrainState::Late;
        } else if wanted < pace * 0.95 {
            self.state = DrainState::Moving;
        }
        // What hosts had no room for a moment ago is not owed to them in one burst.
        self.allowed = (self.allowed + pace.max(wanted.min(1e9)) * span).min(view.open as f64);
        let all = now + STEP >= self.deadline;
        let moves = if all {
            view.open
        } else {
            self.allowed as usize
        };
        self.allowed -= moves as f64;
        self.allowed = self.allowed.max(0.0);
        self.moved += moves as u64;
        DrainAdvice {
            move_now: moves,
            answer,
            ..DrainAdvice::default()
        }
    }

    fn leave(&mut self, now: Duration, view: &DrainView, exit: &DrainExit) -> DrainAdvice {
        if now < exit.serve_on {
            return DrainAdvice::default();
        }
        // Moved in even steps, the last of them a little after the time for the last answer.
        let steps = exit.moved.saturating_sub(now).as_millis() / STEP.as_millis() + 1;
        let share = view.open.div_ceil(steps as usize);
        let moves = if now < exit.moving { 0 } else { share };
        self.moved += moves as u64;
        let late = now >= exit.ends;
        DrainAdvice {
            move_now: moves,
            answer: now >= exit.answered,
            exit: late || view.clients == 0,
            late,
        }
    }
}
