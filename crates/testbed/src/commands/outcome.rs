//! What came of a command that could be carried out, as an exit code.

use std::process::ExitCode;

/// The exit code of a command that tells nothing.
pub(super) const EXIT_VOID: u8 = 3;

/// What came of a command that could be carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CommandOutcome {
    /// It was done, and no rule was broken.
    RulesHeld,
    /// A rule was broken.
    RuleBroken,
    /// The testbed ran late: the run tells nothing.
    Void,
}

impl CommandOutcome {
    /// The outcome of a command after which the rules held, or did not.
    pub(super) fn of_rules(held: bool) -> CommandOutcome {
        if held {
            CommandOutcome::RulesHeld
        } else {
            CommandOutcome::RuleBroken
        }
    }

    /// The exit code that tells it.
    pub(super) fn exit_code(self) -> ExitCode {
        match self {
            CommandOutcome::RulesHeld => ExitCode::SUCCESS,
            CommandOutcome::RuleBroken => ExitCode::FAILURE,
            CommandOutcome::Void => ExitCode::from(EXIT_VOID),
        }
    }
}
