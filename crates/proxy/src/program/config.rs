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

/// Most file descriptors that the proxy uses if the file gives no `limits.sockets`.
const DEFAULT_MAX_SOCKETS: usize = 1024;
/// Smallest `limits.sockets` that is accepted, in file descriptors: the proxy needs some for its own sockets and two
/// for each session.
const MIN_SOCKETS: usize = 64;
/// Most memory for buffers, in MiB, if the file gives no `limits.memory_mb`.
const DEFAULT_MAX_MEMORY_MIB: usize = 256;
const BYTES_PER_MIB: usize = 1024 * 1024;
/// Greatest value of a limit: more than any machine has, and small enough that arithmetic on limits does not overflow.
const MAX_LIMIT: f64 = 1e9;

/// Keys whose changes a reload does not report as waiting for a restart: `discovery` takes effect at once, and `known`
/// is only read at a start.
const UNREPORTED_KEYS: &[&str] = &["discovery", "known"];

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
    /// The address for operators' HTTP requests is invalid.
    #[error("{source_name} is no address; allowed is one as in 10.0.0.4:9000")]
    InvalidAdminHttpAddress {
        /// The key or environment variable that contains it.
        source_name: &'static str,
    },
    /// The seed is not a hexadecimal 64-bit number.
    #[error("seed is no number of up to 16 hexadecimal digits")]
    InvalidSeed,
    /// A setting is missing or invalid.
    #[error(transparent)]
    InvalidSetting(#[from] SettingsError),
    /// A limit is not a number from 1 to 1e9.
    #[error("limits.{key} is no limit")]
    InvalidLimit {
        /// The key under `limits`.
        key: &'static str,
    },
    /// The limit on sockets leaves too few for sessions.
    #[error("limits.sockets is under {MIN_SOCKETS}, too few to serve")]
    TooFewSockets,
    /// The list of known endpoints is invalid.
    #[error("known: {0}")]
    InvalidKnownEndpoints(#[source] EndpointListError),
}

/// The configuration file, with its contents at the start of the process.
#[derive(Debug)]
pub struct ConfigFile {
    path: String,
    initial: JsonValue,
}

impl ConfigFile {
    /// Reads and checks the file at `path`, which `LB_CONFIG` or the command line names.
    ///
    /// # Errors
    ///
    /// The first error in the file; see [`ConfigError`].
    pub fn open(path: Option<&str>) -> Result<(ConfigFile, RouterOptions), ConfigError> {
        let path = path.ok_or(ConfigError::NotNamed)?.to_string();
        let initial = read_file(&path)?;
        let options = parse(&initial)?;
        Ok((ConfigFile { path, initial }, options))
    }

    /// Reads the file again. Returns its present options, and the keys whose values differ from those at the start and
    /// take effect only after a restart.
    ///
    /// # Errors
    ///
    /// The first error in the file. An invalid file changes nothing.
    pub fn reload(&self) -> Result<(RouterOptions, Vec<String>), ConfigError> {
        let current = read_file(&self.path)?;
        let options = parse(&current)?;
        let keys: BTreeSet<&str> = object_keys(&self.initial)
            .chain(object_keys(&current))
            .collect();
        let differs = |key: &&str| self.initial.get(key) != current.get(key);
        let unapplied_keys = keys
            .into_iter()
            .filter(|key| !UNREPORTED_KEYS.contains(key))
            .filter(differs)
            .map(String::from)
            .collect();
        Ok((options, unapplied_keys))
    }
}

fn object_keys(value: &JsonValue) -> impl Iterator<Item = &str> {
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

/// Checks the keys in a fixed order; the first error is reported.
fn parse(config: &JsonValue) -> Result<RouterOptions, ConfigError> {
    let seed = parse_seed(required(config, "seed")?);
    let settings = parse_settings(required(config, "settings")?)?;
    let initial_endpoints = parse_known_endpoints(required(config, "known")?)?;
    let listen_address = parse_address(config, "listen")?;
    let max_descriptors = parse_limit(config, "sockets", DEFAULT_MAX_SOCKETS)?;
    if max_descriptors < MIN_SOCKETS {
        return Err(ConfigError::TooFewSockets);
    }
    let seed = seed.ok_or(ConfigError::InvalidSeed)?;
    let discovery_address = parse_address(config, "discovery")?;
    let admin_http_address = admin_http_address(config)?;
    let hot_restart_socket =
        admin_http_address.and_then(|_| hot_restart_socket_path(listen_address));
    let max_memory_bytes =
        parse_limit(config, "memory_mb", DEFAULT_MAX_MEMORY_MIB)? * BYTES_PER_MIB;
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

/// An IP address with a port under `key`.
fn parse_address(config: &JsonValue, key: &'static str) -> Result<SocketAddr, ConfigError> {
    let text = required(config, key)?.as_str();
    text.and_then(|text| text.parse().ok())
        .ok_or(ConfigError::InvalidAddress { key })
}

/// Where operators' HTTP requests are served: the key `operator` or, if that is absent or null, the variable
/// `LB_OPERATOR`, because older configurations do not have the key. `None` if neither is set.
fn admin_http_address(config: &JsonValue) -> Result<Option<SocketAddr>, ConfigError> {
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
        Err(_) => Err(ConfigError::InvalidAdminHttpAddress { source_name }),
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
    // Invalid entries of discovery's lists are ignored, but one in a file is a mistake that should be corrected.
    match list.first_error.take() {
        Some(error) => Err(ConfigError::InvalidKnownEndpoints(error)),
        None => Ok(list),
    }
}

/// A number under `limits`, or `default` if it is absent or null.
fn parse_limit(
    config: &JsonValue,
    key: &'static str,
    default: usize,
) -> Result<usize, ConfigError> {
    let value = config.get("limits").and_then(|limits| limits.get(key));
    match value {
        None | Some(JsonValue::Null) => Ok(default),
        Some(value) => match value.parse_number::<f64>() {
            Some(number) if (1.0..=MAX_LIMIT).contains(&number) => Ok(number as usize),
            _ => Err(ConfigError::InvalidLimit { key }),
        },
    }
}

/// Path of the Unix socket over which a successor of this proxy takes over its connections. It is in the directory
/// `TMPDIR`, which both processes share; `None` if the variable is unset
/// or empty.
fn hot_restart_socket_path(listen_address: SocketAddr) -> Option<PathBuf> {
    let directory = std::env::var_os("TMPDIR").filter(|directory| !directory.is_empty())?;
    let name = format!(
        "asterramp-{}-{}.sock",
        listen_address.ip(),
        listen_address.port()
    );
    Some(PathBuf::from(directory).join(name))
}
