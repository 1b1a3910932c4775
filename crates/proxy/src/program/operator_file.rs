//! The operator's file, and the settings that the modules of the proxy get from it.

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
    /// Everything that is wrong with it.
    #[error("{path}: {}", join(problems))]
    Invalid {
        /// The file.
        path: String,
        /// The mistakes, by line.
        problems: Vec<ConfigProblem>,
    },
}

fn join(problems: &[ConfigProblem]) -> String {
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

/// How drains go.
pub(super) fn drain_settings(config: &DrainConfig) -> DrainSettings {
    DrainSettings {
        max_closing_time: config.max_closing_time,
        quiet_period: config.quiet_period,
        max_migrations_per_second: config.max_migrations_per_second,
        time_before_next_drain: config.time_before_next_drain,
    }
}

/// How zones are failed over; `None` where they are not watched.
pub(super) fn zone_failover_settings(config: &ZoneFailoverConfig) -> Option<ZoneFailoverSettings> {
    if !config.enabled {
        return None;
    }
    Some(ZoneFailoverSettings {
        probe_interval: config.health_check_interval,
        hold_down: config.initial_hold,
        max_hold_down: config.max_hold,
        recovery_ramp: config.recovery_ramp,
        ..ZoneFailoverSettings::default()
    })
}

/// How a warm start goes.
pub(super) fn warm_start_settings(
    config: &WarmStartConfig,
    settings: &ProxySettings,
) -> WarmStartSettings {
    WarmStartSettings {
        discovery_timeout: config.discovery_wait,
        probe_timeout: config.health_check_wait,
        limited_admission_duration: settings.deployment.slow_start.warm_after,
        ..WarmStartSettings::default()
    }
}

/// Which other proxies are asked for the endpoints that they know.
pub(super) fn peer_settings(config: &WarmStartConfig) -> PeerSettings {
    PeerSettings {
        fleet: config.fleet.clone(),
        addresses: config.peers.clone(),
    }
}
