//! The one place where configuration is read; `asterramp_placement::settings` checks the settings in it.

use crate::protocol::discovery;
use crate::protocol::json::{self, JsonValue};
use crate::routing::RouterOptions;
use asterramp_placement::settings;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Limits where none are given.
const SOCKETS: usize = 1024;
const MEMORY_MB: usize = 256;

/// The key that may change while the proxy runs, and the one that only a start heeds.
const LIVE: &[&str] = &["discovery", "known"];

/// Where the configuration stands, and what it said at the start.
#[derive(Debug)]
pub struct ConfigFile {
    path: String,
    first: JsonValue,
}

impl ConfigFile {
    /// Reads the file that `LB_CONFIG` names.
    pub fn open(path: Option<&str>) -> Result<(ConfigFile, RouterOptions), String> {
        let path = path.ok_or("LB_CONFIG is not set")?.to_string();
        let first = file(&path)?;
        let start = parse(&first)?;
        Ok((ConfigFile { path, first }, start))
    }

    /// Reads the file again: what it says now, and the keys that it would change but cannot while the proxy
    /// runs. A bad file changes nothing.
    pub fn again(&self) -> Result<(RouterOptions, Vec<String>), String> {
        let value = file(&self.path)?;
        let start = parse(&value)?;
        let keys: BTreeSet<&str> = keys(&self.first).chain(keys(&value)).collect();
        let kept = keys
            .into_iter()
            .filter(|key| !LIVE.contains(key) && self.first.get(key) != value.get(key));
        Ok((start, kept.map(String::from).collect()))
    }
}

fn keys(value: &JsonValue) -> impl Iterator<Item = &str> {
    let pairs = if let JsonValue::Object(pairs) = value {
        pairs.as_slice()
    } else {
        &[]
    };
    pairs.iter().map(|pair| pair.0.as_str())
}

fn file(path: &str) -> Result<JsonValue, String> {
    let bytes = std::fs::read(path).map_err(|e| format!("LB_CONFIG: {path}: {e}"))?;
    json::parse(&bytes).map_err(|e| format!("configuration: {e}"))
}

fn parse(value: &JsonValue) -> Result<RouterOptions, String> {
    // Older configurations have no such key; the variable says the same.
    let operator = match value.get("operator") {
        None | Some(JsonValue::Null) => std::env::var("LB_OPERATOR")
            .ok()
            .map(|at| ("LB_OPERATOR", at)),
        Some(at) => Some(("operator", at.as_str().unwrap_or_default().to_string())),
    };
    let operator = operator.map(|(key, at)| {
        at.parse()
            .map_err(|_| format!("{key} is no address; allowed is one as in 10.0.0.4:9000"))
    });
    let need = |key: &str| value.get(key).ok_or_else(|| format!("{key} is missing"));
    let address = |key: &str| -> Result<SocketAddr, String> {
        let text = need(key)?.as_str();
        text.and_then(|text| text.parse().ok())
            .ok_or_else(|| format!("{key} is no address"))
    };
    let seed = need("seed")?
        .as_str()
        .and_then(|seed| u64::from_str_radix(seed, 16).ok());
    let mut pairs = Vec::new();
    need("settings")?.flatten("", &mut pairs);
    let setup = settings::read(
        pairs
            .iter()
            .map(|(path, value)| (path.as_str(), value.as_str())),
    )?;
    let limit =
        |key: &str, absent: usize| match value.get("limits").and_then(|limits| limits.get(key)) {
            None | Some(JsonValue::Null) => Ok(absent),
            Some(limit) => {
                let read = limit
                    .parse_number::<f64>()
                    .filter(|n| *n >= 1.0 && *n <= 1e9);
                read.map(|n| n as usize)
                    .ok_or_else(|| format!("limits.{key} is no limit"))
            }
        };
    let known = discovery::from_json(need("known")?)
        .and_then(|list| list.first_error.clone().map_or(Ok(list), Err));
    let known = known.map_err(|e| format!("known: {e}"))?;
    let listen = address("listen")?;
    let sockets = limit("sockets", SOCKETS)?;
    if sockets < 64 {
        return Err("limits.sockets is under 64, too few to serve".into());
    }
    Ok(RouterOptions {
        settings: setup,
        seed: seed.ok_or("seed is no number of up to 16 hexadecimal digits")?,
        listen,
        discovery: address("discovery")?,
        hot_restart_socket: operator.as_ref().and_then(|_| kin(listen)),
        operator: operator.transpose()?,
        known_endpoints: known,
        warm_start: None,
        max_descriptors: sockets,
        max_memory_bytes: limit("memory_mb", MEMORY_MB)? << 20,
    })
}

/// Where processes of this proxy meet: in the folder that they share, and only where somebody said which it is.
fn kin(listen: SocketAddr) -> Option<PathBuf> {
    let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty())?;
    Some(PathBuf::from(folder).join(format!("asterramp-{}-{}.sock", listen.ip(), listen.port())))
}
