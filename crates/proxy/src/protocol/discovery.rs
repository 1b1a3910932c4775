//! Discovery's lists of servers.

use super::json::{self, Value};
use asterramp_placement::event::EndpointState;
use std::net::SocketAddr;
use std::time::Duration;

#[derive(Debug, PartialEq)]
pub struct List {
    pub rev: u64,
    pub whole: bool,
    pub lines: Vec<Listed>,
    /// What is wrong with the first entry that could not be read.
    pub bad: Option<String>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    pub uid: String,
    pub endpoint: SocketAddr,
    pub zone: String,
    pub cell: u16,
    pub standing: EndpointState,
    pub weight: f64,
    /// Unix time.
    pub started: Option<Duration>,
}

/// Longest uid.
const UID: usize = 256;

pub fn read(bytes: &[u8]) -> Result<List, String> {
    list(&json::read(bytes)?)
}

/// Entries that cannot be read are left out.
pub fn list(value: &Value) -> Result<List, String> {
    let rev = value
        .get("rev")
        .and_then(Value::number)
        .ok_or("rev is missing or no number")?;
    let whole = matches!(value.get("all"), Some(Value::Bool(true)));
    let targets = value
        .get("targets")
        .and_then(Value::list)
        .ok_or("targets is missing or no list")?;
    let mut list = List {
        rev,
        whole,
        lines: Vec::with_capacity(targets.len()),
        bad: None,
    };
    for (nth, target) in targets.iter().enumerate() {
        match listed(target) {
            Ok(line) => list.lines.push(line),
            Err(key) => {
                list.bad = list
                    .bad
                    .or(Some(format!("targets.{nth}.{key} is missing or wrong")))
            }
        }
    }
    Ok(list)
}

fn listed(target: &Value) -> Result<Listed, &'static str> {
    let text = |key: &'static str| target.get(key).and_then(Value::text).ok_or(key);
    let standing = match text("state")? {
        "ready" => EndpointState::Ready,
        "draining" => EndpointState::Draining,
        "gone" => EndpointState::Gone,
        _ => return Err("state"),
    };
    let number = |key: &'static str| match target.get(key) {
        None | Some(Value::Null) => Ok(None),
        Some(value) => value
            .number::<f64>()
            .filter(|n| n.is_finite() && *n >= 0.0)
            .map(Some)
            .ok_or(key),
    };
    let started = number("boot_ms")?.filter(|ms| *ms > 0.0).map(|ms| ms / 1e3);
    Ok(Listed {
        uid: Some(text("uid")?)
            .filter(|uid| uid.len() <= UID)
            .ok_or("uid")?
            .to_string(),
        endpoint: match text("endpoint").ok().and_then(|text| text.parse().ok()) {
            Some(endpoint) => endpoint,
            None if standing == EndpointState::Gone => SocketAddr::from(([0, 0, 0, 0], 0)),
            None => return Err("endpoint"),
        },
        zone: target
            .get("az")
            .and_then(Value::text)
            .unwrap_or_default()
            .to_string(),
        cell: number("pod_group")?.unwrap_or_default() as u16,
        standing,
        weight: number("capacity_hint")?.unwrap_or(1.0),
        started: started
            .map(|s| Duration::try_from_secs_f64(s).map_err(|_| "boot_ms"))
            .transpose()?,
    })
}
