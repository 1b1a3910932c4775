//! Names of outcomes in log lines.

use asterramp_placement::event::Outcome;
use asterramp_proxy::routing::events::outcome_log_name;
use test_case::test_case;

/// Operators search logs for these names, so they stay when the variants of [`Outcome`] are renamed.
#[test_case(Outcome::Ok => "Ok")]
#[test_case(Outcome::ServerError => "Erred")]
#[test_case(Outcome::Full => "Full")]
#[test_case(Outcome::TimedOut => "TimedOut")]
#[test_case(Outcome::Unreachable => "Unreachable")]
#[test_case(Outcome::Reset => "Reset")]
#[test_case(Outcome::Cancelled => "CalledOff")]
#[test_case(Outcome::NotSent => "NeverSent")]
fn outcomes_keep_their_names_in_the_log(outcome: Outcome) -> &'static str {
    outcome_log_name(outcome)
}
