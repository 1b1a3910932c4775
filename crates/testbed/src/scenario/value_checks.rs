//! Checks of single values of a scenario.

use super::error::ScenarioError;
use std::ops::RangeInclusive;

/// A value within its range; one that is no number is in none.
pub(super) fn check_range(
    key: impl Into<String>,
    value: f64,
    allowed: RangeInclusive<f64>,
) -> Result<(), ScenarioError> {
    if allowed.contains(&value) {
        return Ok(());
    }
    let (least, most) = allowed.into_inner();
    Err(ScenarioError::OutOfRange {
        key: key.into(),
        value,
        least,
        most,
    })
}

/// A name as lines of the protocol can have it.
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
