//! Parses durations in the operator's file and on the command line.

use std::time::Duration;

/// Parses a decimal number directly followed by its unit, `ms`, `s`, `m` or `h`, as in `250ms` or `1.5s`.
///
/// `None` for any other text, and if the duration does not fit a [`Duration`].
pub fn parse_duration(text: &str) -> Option<Duration> {
    let is_number = |character: char| character.is_ascii_digit() || character == '.';
    let unit = text.trim_start_matches(is_number);
    let number = &text[..text.len() - unit.len()];
    let seconds_per_unit = match unit {
        "ms" => 0.001,
        "s" => 1.0,
        "m" => 60.0,
        "h" => 3_600.0,
        _ => return None,
    };
    let number: f64 = number.parse().ok()?;
    Duration::try_from_secs_f64(number * seconds_per_unit).ok()
}
