//! The platform's configuration: a JSON file that `LB_CONFIG` names. The settings in it are checked by
//! `asterramp_placement::settings`.

use crate::protocol::discovery::{self, EndpointList, EndpointListError};
use crate::protocol::json::{self, JsonError, JsonValue};
use crate::routing::RouterOptions;
use asterramp_placement::settings::{self, ProxySettings, SettingsError};
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// File descriptors that the proxy may use where the file gives no limit.
const DEFAULT_MAX_SOCKETS: usize = 1024;
/// Fewest that it can serve with: its own sockets, and some sessions of two each.
const MIN_SOCKETS: usize = 64;
/// Memory in MiB that the proxy may use for buffers where the file gives no limit.
const DEFAULT_MAX_MEMORY_MB: usize = 256;
const BYTES_PER_MB: usize = 1024 * 1024;
/// A limit beyond any machine, so that none overflows when it is reckoned with.
const MAX_LIMIT: f64 = 1e9;

/// Keys that a reload does not report as kept: `discovery`, which takes effect at once, and `known`, which only a start
/// reads.
const NOT_KEPT: &[&str] = &["discovery", "known"];

/// Why a configuration is rejected.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// No file is named.
    #[error("LB_CONFIG is not set")]
    NotNamed,
    /// The file cannot be read.
    #[error("LB_CONFIG: {path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// Why.
        source: io::Error,
    },
    /// The file is not JSON.
    #[error("configuration: {0}")]
    Malformed(#[source] JsonError),
    /// A key is missing.
    #[error("{key} is missing")]
    MissingKey {
        /// The key.
        key: &'static str,
    },
    /// A key's value is not an IP address with a port.
    #[error("{key} is no address")]
    InvalidAddress {
        /// The key.
        key: &'static str,
    },
    /// The address for operators' HTTP calls is none.
    #[error("{source_name} is no address; allowed is one as in 10.0.0.4:9000")]
    InvalidOperatorAddress {
        /// The key or environment variable that it stands in.
        source_name: &'static str,
    },
    /// The seed cannot be read.
    #[error("seed is no number of up to 16 hexadecimal digits")]
    InvalidSeed,
    /// A setting is missing or wrong.
    #[error(transparent)]
    InvalidSetting(#[from] SettingsError),
    /// A limit is not a number from 1 to 1e9.
    #[error("limits.{key} is no limit")]
    InvalidLimit {
        /// The key under `limits`.
        key: &'static str,
    },
    /// The limit on sockets leaves none for sessions.
    #[error("limits.sockets is under {MIN_SOCKETS}, too few to serve")]
    TooFewSockets,
    /// The list of known endpoints is wrong.
    #[error("known: {0}")]
    InvalidKnownEndpoints(#[source] EndpointListError),
}

/// The configuration's file, and what it said at the start.
#[derive(Debug)]
pub struct ConfigFile {
    path: String,
    initial: JsonValue,
}

impl ConfigFile {
    /// Reads and checks the file at `path`, which is what `LB_CONFIG` or the command line names.
    ///
    /// # Errors
    ///
    /// The first mistake; see [`ConfigError`].
    pub fn open(path: Option<&str>) -> Result<(ConfigFile, RouterOptions), ConfigError> {
        let path = path.ok_or(ConfigError::NotNamed)?.to_string();
        let initial = read_file(&path)?;
        let start = parse(&initial)?;
        Ok((ConfigFile { path, initial }, start))
    }

    /// Reads the file again. Returns what it says now, and the keys that differ from the start and cannot change while the
    /// proxy runs.
    ///
    /// # Errors
    ///
    /// The first mistake. A bad file changes nothing.
    pub fn reload(&self) -> Result<(RouterOptions, Vec<String>), ConfigError> {
        let current = read_file(&self.path)?;
        let start = parse(&current)?;
        let keys: BTreeSet<&str> = keys(&self.initial).chain(keys(&current)).collect();
        let differs = |key: &&str| self.initial.get(key) != current.get(key);
        let kept = keys
            .into_iter()
            .filter(|key| !NOT_KEPT.contains(key))
            .filter(differs)
            .map(String::from)
            .collect();
        Ok((start, kept))
    }
}

fn keys(value: &JsonValue) -> impl Iterator<Item = &str> {
    let pairs = match value {
        JsonValue::Object(pairs) => pairs.as_slice(),
        _ => &[],
    };
    pairs.iter().map(|pair| pair.0.as_str())
}

fn read_file(path: &str) -> Result<JsonValue, ConfigError> {
    let bytes = std::fs::read(path).map_err(|source| ConfigError::Unreadable {
        path: path.to_string(),
        source,
    })?;
    json::parse(&bytes).map_err(ConfigError::Malformed)
}

/// Checks the keys in turn; the first mistake is the one that is reported.
fn parse(config: &JsonValue) -> Result<RouterOptions, ConfigError> {
    let seed = parse_seed(required(config, "seed")?);
    let settings = parse_settings(required(config, "settings")?)?;
    let initial_endpoints = parse_known_endpoints(required(config, "known")?)?;
    let listen_address = address(config, "listen")?;
    let max_descriptors = limit(config, "sockets", DEFAULT_MAX_SOCKETS)?;
    if max_descriptors < MIN_SOCKETS {
        return Err(ConfigError::TooFewSockets);
    }
    let seed = seed.ok_or(ConfigError::InvalidSeed)?;
    let discovery_address = address(config, "discovery")?;
    let admin_http_address = operator_address(config)?;
    let hot_restart_socket = admin_http_address.and_then(|_| hot_restart_socket(listen_address));
    let max_memory_bytes = limit(config, "memory_mb", DEFAULT_MAX_MEMORY_MB)? * BYTES_PER_MB;
    Ok(RouterOptions {
        settings,
        seed,
        listen_address,
        discovery_address,
        hot_restart_socket,
        admin_http_address,
        initial_endpoints,
        warm_start: None,
        max_descriptors,
        max_memory_bytes,
    })
}

fn required<'a>(config: &'a JsonValue, key: &'static str) -> Result<&'a JsonValue, ConfigError> {
    config.get(key).ok_or(ConfigError::MissingKey { key })
}

fn address(config: &JsonValue, key: &'static str) -> Result<SocketAddr, ConfigError> {
    let text = required(config, key)?.as_str();
    text.and_then(|text| text.parse().ok())
        .ok_or(ConfigError::InvalidAddress { key })
}

/// Where operators' HTTP calls are served. Older configurations have no such key; the variable says the same.
fn operator_address(config: &JsonValue) -> Result<Option<SocketAddr>, ConfigError> {
    let (source_name, text) = match config.get("operator") {
        Some(value) if *value != JsonValue::Null => {
            ("operator", value.as_str().unwrap_or_default().to_string())
        }
        _ => match std::env::var("LB_OPERATOR") {
            Ok(text) => ("LB_OPERATOR", text),
            Err(_) => return Ok(None),
        },
    };
    match text.parse() {
        Ok(address) => Ok(Some(address)),
        Err(_) => Err(ConfigError::InvalidOperatorAddress { source_name }),
    }
}

fn parse_seed(value: &JsonValue) -> Option<u64> {
    u64::from_str_radix(value.as_str()?, 16).ok()
}

fn parse_settings(value: &JsonValue) -> Result<ProxySettings, ConfigError> {
    let mut pairs = Vec::new();
    value.flatten("", &mut pairs);
    let pairs = pairs
        .iter()
        .map(|(path, value)| (path.as_str(), value.as_str()));
    Ok(settings::read(pairs)?)
}

fn parse_known_endpoints(value: &JsonValue) -> Result<EndpointList, ConfigError> {
    let mut list = discovery::from_json(value).map_err(ConfigError::InvalidKnownEndpoints)?;
    // Discovery's lists are used without their bad entries; one in a file is a mistake to be mended.
    match list.first_error.take() {
        Some(error) => Err(ConfigError::InvalidKnownEndpoints(error)),
        None => Ok(list),
    }
}

fn limit(config: &JsonValue, key: &'static str, default: usize) -> Result<usize, ConfigError> {
    let value = config.get("limits").and_then(|limits| limits.get(key));
    match value {
        None | Some(JsonValue::Null) => Ok(default),
        Some(value) => match value.parse_number::<f64>() {
            Some(number) if (1.0..=MAX_LIMIT).contains(&number) => Ok(number as usize),
            _ => Err(ConfigError::InvalidLimit { key }),
        },
    }
}

/// Where processes of this proxy meet for a hot restart: in the folder that they share, and only where `TMPDIR` says which
/// it is.
fn hot_restart_socket(listen: SocketAddr) -> Option<PathBuf> {
    let directory = std::env::var_os("TMPDIR").filter(|directory| !directory.is_empty())?;
    let name = format!("asterramp-{}-{}.sock", listen.ip(), listen.port());
    Some(PathBuf::from(directory).join(name))
}
