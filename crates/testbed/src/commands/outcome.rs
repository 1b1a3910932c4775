//! What came of a command that could be carried out, as an exit code.

use std::process::ExitCode;

/// The exit code of a command that tells nothing.
pub(super) const EXIT_VOID: u8 = 3;

/// What came of a command that could be carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// It was done, and no rule was broken.
    RulesHeld,
    /// A rule was broken.
    RuleBroken,
    /// The testbed ran late: the run tells nothing.
    Void,
}

impl Outcome {
    /// The outcome of a command after which the rules held, or did not.
    pub(super) fn of_rules(held: bool) -> Outcome {
        if held {
            Outcome::RulesHeld
        } else {
            Outcome::RuleBroken
        }
    }

    /// The exit code that tells it.
    pub(super) fn exit_code(self) -> ExitCode {
        match self {
            Outcome::RulesHeld => ExitCode::SUCCESS,
            Outcome::RuleBroken => ExitCode::FAILURE,
            Outcome::Void => ExitCode::from(EXIT_VOID),
        }
    }
}
