//! Durations in scenario files: a number followed by its unit, as in `250ms`.

use serde::{Deserialize, Deserializer};
use std::time::Duration;

/// The longest duration that a scenario file may hold.
pub(super) const MAX_TIME_SPAN: Duration = Duration::from_secs(3_600);

/// A text that is not a valid duration, or is longer than [`MAX_TIME_SPAN`].
#[derive(Debug, thiserror::Error)]
#[error("{0:?} is no time; allowed are a number and ms, s or m, as in \"250ms\"")]
struct InvalidTimeSpan(String);

/// Deserializes a duration.
pub(super) fn time_span<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    parse(&String::deserialize(deserializer)?).map_err(serde::de::Error::custom)
}

/// Deserializes a duration that is present, for fields where an absent key means `None`.
pub(super) fn optional_time_span<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<Duration>, D::Error> {
    time_span(deserializer).map(Some)
}

/// Parses a decimal number followed by its unit: `ms`, `s` or `m` (minutes).
fn parse(text: &str) -> Result<Duration, InvalidTimeSpan> {
    let invalid = || InvalidTimeSpan(text.to_owned());
    let unit = text.trim_start_matches(|c: char| c.is_ascii_digit() || c == '.');
    let number = &text[..text.len() - unit.len()];
    let seconds_per_unit = match unit {
        "ms" => 0.001,
        "s" => 1.0,
        "m" => 60.0,
        _ => return Err(invalid()),
    };
    let number: f64 = number.parse().map_err(|_| invalid())?;
    Duration::try_from_secs_f64(number * seconds_per_unit)
        .ok()
        .filter(|span| *span <= MAX_TIME_SPAN)
        .ok_or_else(invalid)
}
