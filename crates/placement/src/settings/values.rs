//! Typed access to settings that are given as pairs of path and text.

use super::error::SettingsError;
use std::collections::HashMap;
use std::str::FromStr;
use std::time::Duration;

/// Most names of listeners or tenants that are read, as their indices have at most 16 bits.
const MAX_NAMES: u32 = 1 << 16;
const MICROSECONDS_PER_SECOND: f64 = 1e6;
/// Longest duration that is accepted, in seconds: 136 years, well within the range of a proxy's timers.
const MAX_SECONDS: u64 = u32::MAX as u64;

/// Settings by path. An empty text and `null` count as absent.
pub(super) struct SettingValues<'a>(HashMap<&'a str, &'a str>);

impl<'a> SettingValues<'a> {
    pub(super) fn new(settings: impl Iterator<Item = (&'a str, &'a str)>) -> SettingValues<'a> {
        SettingValues(settings.collect())
    }

    /// The setting's text; `None` where it is absent.
    pub(super) fn text(&self, path: &str) -> Option<&'a str> {
        let text = self.0.get(path).copied();
        text.filter(|text| !matches!(*text, "" | "null"))
    }

    /// The setting's value; `None` where it is absent.
    pub(super) fn optional<T: FromStr>(&self, path: &str) -> Result<Option<T>, SettingsError> {
        self.text(path).map(|text| parse(path, text)).transpose()
    }

    /// The setting's value, or an error where it is absent.
    pub(super) fn required<T: FromStr>(&self, path: &str) -> Result<T, SettingsError> {
        self.optional(path)?.ok_or_else(|| SettingsError::Missing {
            path: path.to_string(),
        })
    }

    /// The setting's value, or `default` where it is absent.
    pub(super) fn value_or<T: FromStr>(&self, path: &str, default: T) -> Result<T, SettingsError> {
        Ok(self.optional(path)?.unwrap_or(default))
    }

    /// The elements of a list, separated by commas; empty where the setting is absent.
    pub(super) fn list(&self, path: &str) -> Vec<&'a str> {
        let text = self.text(path);
        text.map(|text| text.split(',').collect())
            .unwrap_or_default()
    }

    /// A list of numbers; empty where the setting is absent.
    pub(super) fn numbers(&self, path: &str) -> Result<Vec<f64>, SettingsError> {
        let texts = self.list(path).into_iter();
        texts.map(|text| parse(path, text)).collect()
    }

    /// A required duration, given in microseconds.
    pub(super) fn duration(&self, path: &str) -> Result<Duration, SettingsError> {
        duration_or_error(path, self.required(path)?)
    }

    /// A duration, given in microseconds; `default` where it is absent or 0.
    pub(super) fn duration_or(
        &self,
        path: &str,
        default: Duration,
    ) -> Result<Duration, SettingsError> {
        if self.text(path).is_none() {
            return Ok(default);
        }
        let duration = self.duration(path)?;
        Ok(if duration.is_zero() {
            default
        } else {
            duration
        })
    }

    /// The names `<path>.0.name`, `<path>.1.name` and so on, up to `count`; an absent name is empty.
    pub(super) fn names(&self, path: &str, count: u32) -> Vec<String> {
        let name = |index| {
            let name = self.text(&format!("{path}.{index}.name"));
            name.unwrap_or_default().to_string()
        };
        (0..count.min(MAX_NAMES)).map(name).collect()
    }
}

fn parse<T: FromStr>(path: &str, text: &str) -> Result<T, SettingsError> {
    text.parse().map_err(|_| SettingsError::Unreadable {
        path: path.to_string(),
        value: text.to_string(),
    })
}

/// Converts microseconds, which may have a fraction; `None` where they are negative, not finite or too long.
pub(super) fn duration_from_microseconds(microseconds: f64) -> Option<Duration> {
    let duration = Duration::try_from_secs_f64(microseconds / MICROSECONDS_PER_SECOND).ok();
    duration.filter(|duration| duration.as_secs() <= MAX_SECONDS)
}

pub(super) fn duration_or_error(path: &str, microseconds: f64) -> Result<Duration, SettingsError> {
    duration_from_microseconds(microseconds).ok_or_else(|| SettingsError::InvalidDuration {
        path: path.to_string(),
    })
}
