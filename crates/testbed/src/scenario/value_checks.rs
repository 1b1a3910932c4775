//! Checks of single values of a scenario.

use super::error::ScenarioError;
use std::ops::RangeInclusive;

/// Checks that a value lies within its range; NaN lies in no range.
pub(super) fn check_range(
    key: impl Into<String>,
    value: f64,
    allowed: RangeInclusive<f64>,
) -> Result<(), ScenarioError> {
    if allowed.contains(&value) {
        return Ok(());
    }
    let (minimum, maximum) = allowed.into_inner();
    Err(ScenarioError::OutOfRange {
        key: key.into(),
        value,
        minimum,
        maximum,
    })
}

/// Checks that a name is allowed in the line protocol: not empty, and only ASCII letters, digits and `-`.
pub(super) fn check_name(key: String, name: &str) -> Result<(), ScenarioError> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-';
    if !name.is_empty() && name.bytes().all(is_allowed) {
        return Ok(());
    }
    Err(ScenarioError::InvalidName {
        key,
        name: name.to_owned(),
    })
}
