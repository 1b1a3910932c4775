//! How far a start has come.

use crate::WarmStartSettings;
#[cfg(feature = "injected-faults")]
use crate::injected_fault::InjectedFault;
use asterramp_injected_faults::is_injected;
use std::time::Duration;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum WarmStartStage {
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

impl WarmStartStage {
    pub const ALL: [WarmStartStage; 6] = [
        WarmStartStage::Dark,
        WarmStartStage::Looking,
        WarmStartStage::Asking,
        WarmStartStage::Probing,
        WarmStartStage::Admitting,
        WarmStartStage::Normal,
    ];

    pub fn name(self) -> &'static str {
        match self {
            WarmStartStage::Dark => "dark",
            WarmStartStage::Looking => "looking",
            WarmStartStage::Asking => "asking",
            WarmStartStage::Probing => "probing",
            WarmStartStage::Admitting => "admitting",
            WarmStartStage::Normal => "normal",
        }
    }
}

/// How clients are let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StartMode {
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
const TABLE: &[(WarmStartStage, Input, WarmStartStage, Act)] = &[
    (
        WarmStartStage::Dark,
        Input::Begun,
        WarmStartStage::Looking,
        Act::Wait,
    ),
    (
        WarmStartStage::Looking,
        Input::ToldWarm,
        WarmStartStage::Normal,
        Act::Open,
    ),
    (
        WarmStartStage::Looking,
        Input::ToldCold,
        WarmStartStage::Admitting,
        Act::Limit,
    ),
    (
        WarmStartStage::Looking,
        Input::Due,
        WarmStartStage::Asking,
        Act::Ask,
    ),
    (
        WarmStartStage::Asking,
        Input::ToldWarm,
        WarmStartStage::Normal,
        Act::Open,
    ),
    (
        WarmStartStage::Asking,
        Input::ToldCold,
        WarmStartStage::Admitting,
        Act::Limit,
    ),
    (
        WarmStartStage::Asking,
        Input::Heard,
        WarmStartStage::Probing,
        Act::Probe,
    ),
    (
        WarmStartStage::Asking,
        Input::Due,
        WarmStartStage::Probing,
        Act::Probe,
    ),
    (
        WarmStartStage::Probing,
        Input::ToldWarm,
        WarmStartStage::Normal,
        Act::Open,
    ),
    (
        WarmStartStage::Probing,
        Input::ToldCold,
        WarmStartStage::Admitting,
        Act::Limit,
    ),
    (
        WarmStartStage::Probing,
        Input::Found,
        WarmStartStage::Admitting,
        Act::Limit,
    ),
    // Nobody answers yet: clients are told so, and the asking goes on.
    (
        WarmStartStage::Probing,
        Input::Due,
        WarmStartStage::Probing,
        Act::Refuse,
    ),
    (
        WarmStartStage::Admitting,
        Input::ToldWarm,
        WarmStartStage::Normal,
        Act::Open,
    ),
    (
        WarmStartStage::Admitting,
        Input::NoneLeft,
        WarmStartStage::Probing,
        Act::Refuse,
    ),
    (
        WarmStartStage::Admitting,
        Input::Due,
        WarmStartStage::Normal,
        Act::Open,
    ),
];

#[derive(Clone, Debug, Default)]
pub(crate) struct Machine {
    pub stage: WarmStartStage,
    pub since: Duration,
    pub due: Option<Duration>,
    #[cfg(feature = "injected-faults")]
    pub injected_fault: Option<InjectedFault>,
}

impl Machine {
    /// Whether the stage changed, and what is done; `None` where an input changes nothing.
    pub fn step(
        &mut self,
        now: Duration,
        input: Input,
        terms: &WarmStartSettings,
    ) -> Option<(bool, Act)> {
        if is_injected!(self, NoneLeftIgnored) && input == Input::NoneLeft {
            return None;
        }
        let row = TABLE
            .iter()
            .find(|row| (row.0, row.1) == (self.stage, input))?;
        let (mut next, mut act) = (row.2, row.3);
        // Who has nobody to ask goes on at once.
        if next == WarmStartStage::Asking && !terms.others {
            (next, act) = (WarmStartStage::Probing, Act::Probe);
        }
        if is_injected!(self, OpensAtFirst) && next == WarmStartStage::Admitting {
            (next, act) = (WarmStartStage::Normal, Act::Open);
        }
        let turned = next != self.stage;
        if turned {
            (self.stage, self.since) = (next, now);
        }
        self.due = match next {
            WarmStartStage::Dark | WarmStartStage::Normal => None,
            WarmStartStage::Asking if is_injected!(self, AskingHasNoEnd) => None,
            WarmStartStage::Looking => Some(now + terms.look),
            WarmStartStage::Asking => Some(now + terms.ask),
            WarmStartStage::Probing => Some(now + terms.probe),
            WarmStartStage::Admitting => Some(now + terms.warm),
        };
        Some((turned, act))
    }
}
