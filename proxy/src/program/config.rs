//! The one place where configuration is read; `asterramp::setup` checks the settings in it.

use crate::protocol::discovery;
use crate::protocol::json::{self, Value};
use crate::routing::Start;
use asterramp::setup;
use std::net::SocketAddr;

/// Limits where none are given.
const SOCKETS: usize = 1024;
const MEMORY_MB: usize = 256;

/// Reads the file that `LB_CONFIG` names.
pub fn read(path: Option<&str>) -> Result<Start, String> {
    let path = path.ok_or("LB_CONFIG is not set")?;
    let bytes = std::fs::read(path).map_err(|e| format!("LB_CONFIG: {path}: {e}"))?;
    parse(&bytes)
}

pub fn parse(bytes: &[u8]) -> Result<Start, String> {
    let value = json::read(bytes).map_err(|e| format!("configuration: {e}"))?;
    let need = |key: &str| value.get(key).ok_or_else(|| format!("{key} is missing"));
    let address = |key: &str| -> Result<SocketAddr, String> {
        let text = need(key)?.text();
        text.and_then(|text| text.parse().ok()).ok_or_else(|| format!("{key} is no address"))
    };
    let seed = need("seed")?.text().and_then(|seed| u64::from_str_radix(seed, 16).ok());
    let mut pairs = Vec::new();
    need("settings")?.flatten("", &mut pairs);
    let setup = setup::read(pairs.iter().map(|(path, value)| (path.as_str(), value.as_str())))?;
    let limit = |key: &str, absent: usize| match value.get("limits").and_then(|limits| limits.get(key)) {
        None | Some(Value::Null) => Ok(absent),
        Some(limit) => {
            let read = limit.number::<f64>().filter(|n| *n >= 1.0 && *n <= 1e9);
            read.map(|n| n as usize).ok_or_else(|| format!("limits.{key} is no limit"))
        }
    };
    let known = discovery::list(need("known")?).and_then(|list| list.bad.clone().map_or(Ok(list), Err));
    let known = known.map_err(|e| format!("known: {e}"))?;
    let sockets = limit("sockets", SOCKETS)?;
    if sockets < 64 {
        return Err("limits.sockets is under 64, too few to serve".into());
    }
    Ok(Start {
        setup,
        seed: seed.ok_or("seed is no number of up to 16 hexadecimal digits")?,
        listen: address("listen")?,
        discovery: address("discovery")?,
        known,
        sockets,
        memory: limit("memory_mb", MEMORY_MB)? << 20,
    })
}
