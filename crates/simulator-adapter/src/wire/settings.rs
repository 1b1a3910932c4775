//! The record that starts an instance: its random seed and its settings.

use super::fields::Fields;
use crate::error::RecordError;

// Offsets of the fields.
const RANDOM_SEED: usize = 3;
const SETTINGS: usize = 11;

/// Seed of the instance's random numbers; the simulator sends a new one at each start.
pub(crate) fn random_seed(fields: Fields<'_>) -> u64 {
    fields.u64(RANDOM_SEED)
}

/// The text of the settings. Each line is a path, `=` and a value.
///
/// # Errors
///
/// Text that lies outside the tail or isn't UTF-8.
pub(crate) fn text<'a>(fields: Fields<'a>, tail: &'a [u8]) -> Result<&'a str, RecordError> {
    let bytes = fields.tail_items(SETTINGS, 1, tail)?;
    std::str::from_utf8(bytes).map_err(RecordError::SettingsNotText)
}

/// Paths and values of the settings. Lines without `=` are skipped.
pub(crate) fn key_value_pairs(text: &str) -> impl Iterator<Item = (&str, &str)> {
    text.lines().filter_map(|line| line.split_once('='))
}
