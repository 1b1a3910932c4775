//! Differences between two configurations, for a proxy that reads its file again.

use crate::OperatorConfig;
use crate::keys::{KEYS, TakesEffect};

/// A key whose value differs between two configurations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigChange {
    /// Table and key, as in `drain.pace`.
    pub key: String,
    /// When the new value takes effect.
    pub takes_effect: TakesEffect,
}

impl OperatorConfig {
    /// The keys in which `other` differs from this configuration.
    pub fn changes(&self, other: &OperatorConfig) -> Vec<ConfigChange> {
        let differing = KEYS
            .iter()
            .filter(|key| (key.value_in)(self) != (key.value_in)(other));
        differing
            .map(|key| ConfigChange {
                key: format!("{}.{}", key.table, key.name),
                takes_effect: key.takes_effect,
            })
            .collect()
    }
}
