//! Differences between two configurations, for a proxy that reloads its file.

use crate::OperatorConfig;
use crate::keys::{KEYS, TakesEffect};

/// A key whose value differs between two configurations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigChange {
    /// Name of the table and of the key, as in `drain.pace`.
    pub key: String,
    /// When the new value takes effect.
    pub takes_effect: TakesEffect,
}

impl OperatorConfig {
    /// The keys whose values in `other` differ from those in this configuration, in the order of the table of keys.
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
