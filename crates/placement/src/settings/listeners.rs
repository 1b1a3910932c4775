//! Reads the settings of the listeners.

use super::error::{AllowedRange, SettingsError};
use super::out_of_range;
use super::values::{SettingValues, duration_from_microseconds};
use crate::deployment::{IdempotencyScope, Listener, RetrySafety};
use std::time::Duration;

/// Highest utility that may be set for a listener.
const MAX_UTILITY: f64 = 1e9;

pub(super) fn read_listeners(values: &SettingValues<'_>) -> Result<Vec<Listener>, SettingsError> {
    let message_targets = values.numbers("specifics.message_aim")?;
    let count = values.required::<u8>("listeners.count")?;
    let priority_weights = priority_weights(values, count)?;
    let mut listeners = Vec::new();
    for (index, priority_weight) in (0..count).zip(priority_weights) {
        let message_target = message_targets.get(usize::from(index)).copied();
        listeners.push(Listener {
            retry_safety: retry_safety(values, index)?,
            handshake_target: values.duration(&format!("listeners.{index}.handshake_target"))?,
            message_target: message_target.and_then(duration_from_microseconds),
            priority_weight,
        });
    }
    Ok(listeners)
}

/// Longest time that a client of any of the first `count` listeners waits for an answer; zero where no setting gives
/// it.
pub(super) fn max_client_wait(
    values: &SettingValues<'_>,
    count: usize,
) -> Result<Duration, SettingsError> {
    let mut longest = Duration::ZERO;
    for index in 0..count {
        let path = format!("listeners.{index}.give_up");
        longest = longest.max(values.duration_or(&path, Duration::ZERO)?);
    }
    Ok(longest)
}

/// Each listener's utility as a fraction of the highest. A listener without a set utility has a utility of 1; if all
/// utilities are 0, all weights are 1.
fn priority_weights(values: &SettingValues<'_>, count: u8) -> Result<Vec<f64>, SettingsError> {
    let utilities = (0..count)
        .map(|index| utility(values, index))
        .collect::<Result<Vec<f64>, SettingsError>>()?;
    let highest = utilities.iter().copied().fold(0.0, f64::max);
    let weight = |utility: f64| {
        if highest > 0.0 {
            utility / highest
        } else {
            1.0
        }
    };
    Ok(utilities.into_iter().map(weight).collect())
}

fn utility(values: &SettingValues<'_>, index: u8) -> Result<f64, SettingsError> {
    let path = format!("listeners.{index}.utility");
    let utility = values.value_or(&path, 1.0)?;
    if (0.0..=MAX_UTILITY).contains(&utility) {
        Ok(utility)
    } else {
        Err(out_of_range(&path, AllowedRange::UpToBillion))
    }
}

fn retry_safety(values: &SettingValues<'_>, index: u8) -> Result<RetrySafety, SettingsError> {
    let path = format!("listeners.{index}.semantics");
    let semantics: String = values.required(&path)?;
    match semantics.as_str() {
        "read_like" => Ok(RetrySafety::Idempotent),
        "non_idempotent" => Ok(RetrySafety::NotIdempotent),
        "idempotency_key" => {
            let scope = idempotency_scope(values, index)?;
            let key_lifetime = values.duration(&format!("listeners.{index}.key_ttl"))?;
            Ok(RetrySafety::IdempotencyKey(scope, key_lifetime))
        }
        _ => Err(SettingsError::UnknownSemantics {
            path,
            value: semantics,
        }),
    }
}

fn idempotency_scope(
    values: &SettingValues<'_>,
    index: u8,
) -> Result<IdempotencyScope, SettingsError> {
    let path = format!("listeners.{index}.group");
    let scope: String = values.required(&path)?;
    match scope.as_str() {
        "all" => Ok(IdempotencyScope::All),
        "zone" => Ok(IdempotencyScope::Zone),
        "cell" => Ok(IdempotencyScope::Cell),
        _ => Err(SettingsError::UnknownScope { path, value: scope }),
    }
}
