//! The platform's configuration, as far as the plain proxy needs it. What is absent has a default; nothing is checked.

use super::error::PlainProxyError;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// What the plain proxy knows from its configuration.
#[derive(Clone, Debug)]
pub(super) struct Configuration {
    /// The address to listen at, as it is written.
    pub(super) listen: String,
    /// How long a host is cold after its start.
    pub(super) warm_up_time: Duration,
    /// How long a connection to a host may take.
    pub(super) connect_timeout: Duration,
    /// Attempts that a session may have.
    pub(super) max_dials: u64,
    /// The kinds of sessions.
    pub(super) listeners: Vec<ListenerConfiguration>,
}

/// A kind of sessions.
#[derive(Clone, Debug)]
pub(super) struct ListenerConfiguration {
    /// Its name on the wire.
    pub(super) name: Option<String>,
    /// Priority weight of its sessions.
    pub(super) priority_weight: f64,
    /// Whether its sessions may run more than once.
    pub(super) is_idempotent: bool,
}

impl Configuration {
    /// Reads the configuration of a file.
    pub(super) fn read(path: &Path) -> Result<Configuration, PlainProxyError> {
        let file = read_json(path)?;
        let settings = &file["settings"];
        let permissions = &settings["permissions"];
        let listeners = settings["listeners"].as_array();
        Ok(Configuration {
            listen: file["listen"].as_str().unwrap_or_default().to_owned(),
            warm_up_time: microseconds(&settings["rules"]["cold"]),
            connect_timeout: microseconds(&permissions["dial_timeout"]),
            max_dials: permissions["max_dials"].as_u64().unwrap_or(1),
            listeners: listeners
                .into_iter()
                .flatten()
                .map(ListenerConfiguration::of)
                .collect(),
        })
    }

    /// The highest priority weight of all listeners.
    pub(super) fn highest_priority_weight(&self) -> f64 {
        let utilities = self
            .listeners
            .iter()
            .map(|listener| listener.priority_weight);
        utilities.fold(0.0, f64::max)
    }
}

impl ListenerConfiguration {
    fn of(entry: &Value) -> ListenerConfiguration {
        ListenerConfiguration {
            name: entry["name"].as_str().map(str::to_owned),
            priority_weight: entry["utility"].as_f64().unwrap_or(1.0),
            is_idempotent: entry["semantics"].as_str() == Some("read_like"),
        }
    }
}

/// Where discovery is by now; the file changes when discovery moves.
pub(super) fn discovery_address(path: &Path) -> Option<SocketAddr> {
    let file = read_json(path).ok()?;
    file["discovery"].as_str()?.parse().ok()
}

fn read_json(path: &Path) -> Result<Value, PlainProxyError> {
    let bytes = std::fs::read(path).map_err(PlainProxyError::Unreadable)?;
    serde_json::from_slice(&bytes).map_err(PlainProxyError::InvalidConfiguration)
}

fn microseconds(value: &Value) -> Duration {
    Duration::from_micros(value.as_u64().unwrap_or_default())
}
