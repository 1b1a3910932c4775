//! The operator's file, and its conversion into the settings of the proxy's modules.

use crate::routing::peers::PeerSettings;
use asterramp_drain::DrainSettings;
use asterramp_operator_config::{
    ConfigProblem, DrainConfig, OperatorConfig, WarmStartConfig, ZoneFailoverConfig,
};
use asterramp_placement::settings::ProxySettings;
use asterramp_warm_start::WarmStartSettings;
use asterramp_zone_failover::ZoneFailoverSettings;
use std::io;

/// Why the operator's file is rejected.
#[derive(Debug, thiserror::Error)]
pub enum OperatorFileError {
    /// The file cannot be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// Why.
        source: io::Error,
    },
    /// The file has one or more errors.
    #[error("{path}: {}", join_problems(problems))]
    Invalid {
        /// The file.
        path: String,
        /// The errors, by line.
        problems: Vec<ConfigProblem>,
    },
}

fn join_problems(problems: &[ConfigProblem]) -> String {
    let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
    lines.join("; ")
}

/// Reads and checks the operator's file.
pub(super) fn read(path: &str) -> Result<OperatorConfig, OperatorFileError> {
    let text = std::fs::read_to_string(path).map_err(|source| OperatorFileError::Unreadable {
        path: path.to_string(),
        source,
    })?;
    OperatorConfig::parse(&text).map_err(|problems| OperatorFileError::Invalid {
        path: path.to_string(),
        problems,
    })
}

/// The settings of the drain module.
pub(super) fn drain_settings(config: &DrainConfig) -> DrainSettings {
    DrainSettings {
        max_closing_time: config.max_closing_time,
        quiet_period: config.quiet_period,
        max_migrations_per_second: config.max_migrations_per_second,
        time_before_next_drain: config.time_before_next_drain,
    }
}

/// The settings of zone failover; `None` if it is disabled.
pub(super) fn zone_failover_settings(config: &ZoneFailoverConfig) -> Option<ZoneFailoverSettings> {
    if !config.enabled {
        return None;
    }
    Some(ZoneFailoverSettings {
        probe_interval: config.probe_interval,
        hold_down: config.hold_down,
        max_hold_down: config.max_hold_down,
        recovery_ramp: config.recovery_ramp,
        ..ZoneFailoverSettings::default()
    })
}

/// The settings of the warm start, which also depend on the slow start in the platform's configuration.
pub(super) fn warm_start_settings(
    config: &WarmStartConfig,
    settings: &ProxySettings,
) -> WarmStartSettings {
    WarmStartSettings {
        discovery_timeout: config.discovery_timeout,
        probe_timeout: config.probe_timeout,
        limited_admission_duration: settings.deployment.slow_start.warm_after,
        ..WarmStartSettings::default()
    }
}

/// The other proxies that are asked for the endpoints that they know.
pub(super) fn peer_settings(config: &WarmStartConfig) -> PeerSettings {
    PeerSettings {
        fleet: config.fleet.clone(),
        addresses: config.peers.clone(),
    }
}
