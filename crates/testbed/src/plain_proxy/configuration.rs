//! The values of the configuration file that the plain proxy needs. Absent or invalid values get defaults without an error.

use super::error::PlainProxyError;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// The values that the plain proxy reads from its configuration.
#[derive(Clone, Debug)]
pub(super) struct Configuration {
    /// The address to listen at, not yet parsed; empty if absent.
    pub(super) listen: String,
    /// Time after its start during which a host is cold and gets no sessions.
    pub(super) warm_up_time: Duration,
    /// Time limit for establishing a connection to a host; zero if absent.
    pub(super) connect_timeout: Duration,
    /// Most attempts of a session; 1 if absent.
    pub(super) max_dials: u64,
    /// The listeners.
    pub(super) listeners: Vec<ListenerConfiguration>,
}

/// A listener: a class of sessions with rules of their own.
#[derive(Clone, Debug)]
pub(super) struct ListenerConfiguration {
    /// Its name, as in the `c=` field of `OPEN` lines.
    pub(super) name: Option<String>,
    /// Priority weight of its sessions; the highest are to be rejected last. 1 if absent.
    pub(super) priority_weight: f64,
    /// Whether a session of it may be sent again after it may have run.
    pub(super) is_idempotent: bool,
}

impl Configuration {
    /// Reads a configuration file.
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
                .map(ListenerConfiguration::from_json)
                .collect(),
        })
    }

    /// The highest priority weight of all listeners.
    pub(super) fn highest_priority_weight(&self) -> f64 {
        let priority_weights = self
            .listeners
            .iter()
            .map(|listener| listener.priority_weight);
        priority_weights.fold(0.0, f64::max)
    }
}

impl ListenerConfiguration {
    fn from_json(entry: &Value) -> ListenerConfiguration {
        ListenerConfiguration {
            name: entry["name"].as_str().map(str::to_owned),
            priority_weight: entry["utility"].as_f64().unwrap_or(1.0),
            is_idempotent: entry["semantics"].as_str() == Some("read_like"),
        }
    }
}

/// The present address of discovery, from the configuration file, which is rewritten when discovery moves; `None` if the
/// file cannot be read or has no valid address.
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
