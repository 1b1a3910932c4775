//! Typed reading of settings given as paths and texts.

use super::error::SettingsError;
use std::collections::HashMap;
use std::str::FromStr;
use std::time::Duration;

/// Most names of one kind, as their indices are 16 bits wide.
const MAX_NAMES: u32 = 1 << 16;
const MICROSECONDS_PER_SECOND: f64 = 1e6;
/// Longest time, which a proxy's timers can hold with room to spare: 136 years.
const MAX_SECONDS: u64 = u32::MAX as u64;

/// The settings by path. An empty text and `null` count as absent.
pub(super) struct SettingValues<'a>(HashMap<&'a str, &'a str>);

impl<'a> SettingValues<'a> {
    pub(super) fn new(settings: impl Iterator<Item = (&'a str, &'a str)>) -> SettingValues<'a> {
        SettingValues(settings.collect())
    }

    pub(super) fn text(&self, path: &str) -> Option<&'a str> {
        let text = self.0.get(path).copied();
        text.filter(|text| !matches!(*text, "" | "null"))
    }

    pub(super) fn optional<T: FromStr>(&self, path: &str) -> Result<Option<T>, SettingsError> {
        self.text(path).map(|text| parse(path, text)).transpose()
    }

    pub(super) fn required<T: FromStr>(&self, path: &str) -> Result<T, SettingsError> {
        self.optional(path)?.ok_or_else(|| SettingsError::Missing {
            path: path.to_string(),
        })
    }

    pub(super) fn value_or<T: FromStr>(&self, path: &str, default: T) -> Result<T, SettingsError> {
        Ok(self.optional(path)?.unwrap_or(default))
    }

    /// A list of texts that are separated by commas.
    pub(super) fn list(&self, path: &str) -> Vec<&'a str> {
        let text = self.text(path);
        text.map(|text| text.split(',').collect())
            .unwrap_or_default()
    }

    pub(super) fn numbers(&self, path: &str) -> Result<Vec<f64>, SettingsError> {
        let texts = self.list(path).into_iter();
        texts.map(|text| parse(path, text)).collect()
    }

    /// A time in microseconds.
    pub(super) fn duration(&self, path: &str) -> Result<Duration, SettingsError> {
        duration_or_error(path, self.required(path)?)
    }

    /// A time in microseconds. None at all says as little as no setting.
    pub(super) fn duration_or(
        &self,
        path: &str,
        default: Duration,
    ) -> Result<Duration, SettingsError> {
        if self.text(path).is_none() {
            return Ok(default);
        }
        let time = self.duration(path)?;
        Ok(if time.is_zero() { default } else { time })
    }

    /// The names `<path>.0.name`, `<path>.1.name` and so on; empty where one is absent.
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

/// Microseconds as a time, also where they have a fraction; `None` where they are no time.
pub(super) fn duration_from_microseconds(microseconds: f64) -> Option<Duration> {
    let time = Duration::try_from_secs_f64(microseconds / MICROSECONDS_PER_SECOND).ok();
    time.filter(|time| time.as_secs() <= MAX_SECONDS)
}

pub(super) fn duration_or_error(path: &str, microseconds: f64) -> Result<Duration, SettingsError> {
    duration_from_microseconds(microseconds).ok_or_else(|| SettingsError::InvalidDuration {
        path: path.to_string(),
    })
}
