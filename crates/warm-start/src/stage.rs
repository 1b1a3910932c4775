//! How far a start has come.

use crate::Terms;
#[cfg(feature = "injected-faults")]
use crate::injected_fault::Plant;
use crate::planted;
use std::time::Duration;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Stage {
    /// Nothing has been looked at.
    #[default]
    Dark,
    /// Discovery is waited for.
    Looking,
    /// Other proxies are.
    Asking,
    /// Hosts are asked whether they are there; nobody has answered.
    Probing,
    /// Clients are let in by what hosts can take.
    Admitting,
    Normal,
}

impl Stage {
    pub const ALL: [Stage; 6] = [
        Stage::Dark,
        Stage::Looking,
        Stage::Asking,
        Stage::Probing,
        Stage::Admitting,
        Stage::Normal,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Stage::Dark => "dark",
            Stage::Looking => "looking",
            Stage::Asking => "asking",
            Stage::Probing => "probing",
            Stage::Admitting => "admitting",
            Stage::Normal => "normal",
        }
    }
}

/// How clients are let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Entry {
    /// They wait in the kernel's queue, for as long as discovery is waited for and no longer.
    Shut,
    /// Each is told at once to come back.
    Refused,
    /// So many a second as hosts can take, in order.
    ByDegrees,
    Open,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Input {
    Begun,
    /// Discovery told a whole list of hosts that are warm, or mostly cold.
    ToldWarm,
    ToldCold,
    /// All others have been asked.
    Heard,
    /// A host answers.
    Found,
    /// None is left on whom sessions may be placed.
    NoneLeft,
    /// The stage's time is over.
    Due,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Act {
    Wait,
    Ask,
    Probe,
    Refuse,
    Limit,
    Open,
}

/// Stage, input, next stage, what is done. What is not listed changes nothing. Every stage but the last has a deadline, and
/// none waits for another proxy longer than its own: two that wait for each other both go on.
const TABLE: &[(Stage, Input, Stage, Act)] = &[
    (Stage::Dark, Input::Begun, Stage::Looking, Act::Wait),
    (Stage::Looking, Input::ToldWarm, Stage::Normal, Act::Open),
    (
        Stage::Looking,
        Input::ToldCold,
        Stage::Admitting,
        Act::Limit,
    ),
    (Stage::Looking, Input::Due, Stage::Asking, Act::Ask),
    (Stage::Asking, Input::ToldWarm, Stage::Normal, Act::Open),
    (Stage::Asking, Input::ToldCold, Stage::Admitting, Act::Limit),
    (Stage::Asking, Input::Heard, Stage::Probing, Act::Probe),
    (Stage::Asking, Input::Due, Stage::Probing, Act::Probe),
    (Stage::Probing, Input::ToldWarm, Stage::Normal, Act::Open),
    (
        Stage::Probing,
        Input::ToldCold,
        Stage::Admitting,
        Act::Limit,
    ),
    (Stage::Probing, Input::Found, Stage::Admitting, Act::Limit),
    // Nobody answers yet: clients are told so, and the asking goes on.
    (Stage::Probing, Input::Due, Stage::Probing, Act::Refuse),
    (Stage::Admitting, Input::ToldWarm, Stage::Normal, Act::Open),
    (
        Stage::Admitting,
        Input::NoneLeft,
        Stage::Probing,
        Act::Refuse,
    ),
    (Stage::Admitting, Input::Due, Stage::Normal, Act::Open),
];

#[derive(Clone, Debug, Default)]
pub(crate) struct Machine {
    pub stage: Stage,
    pub since: Duration,
    pub due: Option<Duration>,
    #[cfg(feature = "injected-faults")]
    pub plant: Option<Plant>,
}

impl Machine {
    /// Whether the stage changed, and what is done; `None` where an input changes nothing.
    pub fn step(&mut self, now: Duration, input: Input, terms: &Terms) -> Option<(bool, Act)> {
        if planted!(self, NoneLeftIgnored) && input == Input::NoneLeft {
            return None;
        }
        let row = TABLE
            .iter()
            .find(|row| (row.0, row.1) == (self.stage, input))?;
        let (mut next, mut act) = (row.2, row.3);
        // Who has nobody to ask goes on at once.
        if next == Stage::Asking && !terms.others {
            (next, act) = (Stage::Probing, Act::Probe);
        }
        if planted!(self, OpensAtFirst) && next == Stage::Admitting {
            (next, act) = (Stage::Normal, Act::Open);
        }
        let turned = next != self.stage;
        if turned {
            (self.stage, self.since) = (next, now);
        }
        self.due = match next {
            Stage::Dark | Stage::Normal => None,
            Stage::Asking if planted!(self, AskingHasNoEnd) => None,
            Stage::Looking => Some(now + terms.look),
            Stage::Asking => Some(now + terms.ask),
            Stage::Probing => Some(now + terms.probe),
            Stage::Admitting => Some(now + terms.warm),
        };
        Some((turned, act))
    }
}
