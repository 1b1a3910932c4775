//! Discovery's lists of servers.

use super::json::{self, JsonValue};
use asterramp_placement::event::EndpointState;
use std::net::SocketAddr;
use std::time::Duration;

#[derive(Debug, PartialEq)]
pub struct EndpointList {
    pub revision: u64,
    pub complete: bool,
    pub endpoints: Vec<ListedEndpoint>,
    /// What is wrong with the first entry that could not be read.
    pub first_error: Option<String>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct ListedEndpoint {
    pub uid: String,
    pub address: SocketAddr,
    pub zone: String,
    pub cell: u16,
    pub state: EndpointState,
    pub weight: f64,
    /// Unix time.
    pub started_at: Option<Duration>,
}

/// Longest uid.
const UID: usize = 256;

pub fn parse(bytes: &[u8]) -> Result<EndpointList, String> {
    from_json(&json::parse(bytes)?)
}

/// Entries that cannot be read are left out.
pub fn from_json(value: &JsonValue) -> Result<EndpointList, String> {
    let rev = value
        .get("rev")
        .and_then(JsonValue::parse_number)
        .ok_or("rev is missing or no number")?;
    let whole = matches!(value.get("all"), Some(JsonValue::Bool(true)));
    let targets = value
        .get("targets")
        .and_then(JsonValue::as_array)
        .ok_or("targets is missing or no list")?;
    let mut list = EndpointList {
        revision: rev,
        complete: whole,
        endpoints: Vec::with_capacity(targets.len()),
        first_error: None,
    };
    for (nth, target) in targets.iter().enumerate() {
        match listed(target) {
            Ok(line) => list.endpoints.push(line),
            Err(key) => {
                list.first_error = list
                    .first_error
                    .or(Some(format!("targets.{nth}.{key} is missing or wrong")))
            }
        }
    }
    Ok(list)
}

fn listed(target: &JsonValue) -> Result<ListedEndpoint, &'static str> {
    let text = |key: &'static str| target.get(key).and_then(JsonValue::as_str).ok_or(key);
    let standing = match text("state")? {
        "ready" => EndpointState::Ready,
        "draining" => EndpointState::Draining,
        "gone" => EndpointState::Gone,
        _ => return Err("state"),
    };
    let number = |key: &'static str| match target.get(key) {
        None | Some(JsonValue::Null) => Ok(None),
        Some(value) => value
            .parse_number::<f64>()
            .filter(|n| n.is_finite() && *n >= 0.0)
            .map(Some)
            .ok_or(key),
    };
    let started = number("boot_ms")?.filter(|ms| *ms > 0.0).map(|ms| ms / 1e3);
    Ok(ListedEndpoint {
        uid: Some(text("uid")?)
            .filter(|uid| uid.len() <= UID)
            .ok_or("uid")?
            .to_string(),
        address: match text("endpoint").ok().and_then(|text| text.parse().ok()) {
            Some(endpoint) => endpoint,
            None if standing == EndpointState::Gone => SocketAddr::from(([0, 0, 0, 0], 0)),
            None => return Err("endpoint"),
        },
        zone: target
            .get("az")
            .and_then(JsonValue::as_str)
            .unwrap_or_default()
            .to_string(),
        cell: number("pod_group")?.unwrap_or_default() as u16,
        state: standing,
        weight: number("capacity_hint")?.unwrap_or(1.0),
        started_at: started
            .map(|s| Duration::try_from_secs_f64(s).map_err(|_| "boot_ms"))
            .transpose()?,
    })
}
