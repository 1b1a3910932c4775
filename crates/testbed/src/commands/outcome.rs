//! The outcome of a command that did not fail, and its exit code.

use std::process::ExitCode;

/// Exit code of a command whose run was void, or that failed for another reason than its input.
pub(super) const EXIT_VOID: u8 = 3;

/// The outcome of a command that did not fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CommandOutcome {
    /// The command succeeded, and no rule was broken.
    RulesHeld,
    /// A rule was broken.
    RuleBroken,
    /// The testbed ran too late, so the results are invalid.
    Void,
}

impl CommandOutcome {
    /// The outcome of a command by whether the rules held.
    pub(super) fn of_rules(rules_held: bool) -> CommandOutcome {
        if rules_held {
            CommandOutcome::RulesHeld
        } else {
            CommandOutcome::RuleBroken
        }
    }

    /// The exit code of this outcome.
    pub(super) fn exit_code(self) -> ExitCode {
        match self {
            CommandOutcome::RulesHeld => ExitCode::SUCCESS,
            CommandOutcome::RuleBroken => ExitCode::FAILURE,
            CommandOutcome::Void => ExitCode::from(EXIT_VOID),
        }
    }
}
