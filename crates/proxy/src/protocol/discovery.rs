//! The endpoint lists that discovery sends and the configuration contains.

use super::json::{self, JsonError, JsonValue};
use asterramp_placement::event::EndpointState;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// Longest unique name (`uid`) of an endpoint, and longest name of its zone (`az`), in bytes: as long as a hot restart
/// passes on. The endpoint table keeps thousands of them.
const MAX_NAME_LENGTH: usize = 256;
/// Weight of an endpoint whose entry has no `capacity_hint`.
const DEFAULT_WEIGHT: f64 = 1.0;

/// A list of endpoints: either all of them or only those that changed.
#[derive(Debug, PartialEq)]
pub struct EndpointList {
    /// The list's version; later lists have greater ones.
    pub revision: u64,
    /// Whether the list is complete, so that endpoints missing from it are gone.
    pub complete: bool,
    /// The valid entries.
    pub endpoints: Vec<ListedEndpoint>,
    /// The error of the first invalid entry, if there is one.
    pub first_error: Option<EndpointListError>,
}

/// One entry of an endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEndpoint {
    /// The endpoint's unique name, at most 256 bytes.
    pub uid: String,
    /// The address at which it listens; `0.0.0.0:0` if it is gone and the entry has no address.
    pub address: SocketAddr,
    /// The zone's name, at most 256 bytes; empty if the entry has none.
    pub zone: String,
    /// Number of its cell, a group of endpoints within the zone; 0 if the entry has none.
    pub cell: u16,
    /// Whether it accepts sessions.
    pub state: EndpointState,
    /// Its capacity in proportion to that of other endpoints, not negative; 1 if the entry has none.
    pub weight: f64,
    /// When its process started, as Unix time; `None` if the entry has no time, or 0.
    pub started_at: Option<Duration>,
}

/// Why an endpoint list, or an entry of it, is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum EndpointListError {
    /// The list is not JSON.
    #[error(transparent)]
    Json(#[from] JsonError),
    /// The list has no valid revision.
    #[error("rev is missing or no number")]
    Revision,
    /// The list has no array of entries.
    #[error("targets is missing or no list")]
    Targets,
    /// A key of an entry is missing or has an invalid value.
    #[error("targets.{index}.{key} is missing or wrong")]
    Entry {
        /// The entry's index in the list.
        index: usize,
        /// The key.
        key: &'static str,
    },
}

/// Parses a list from JSON text.
pub fn parse(bytes: &[u8]) -> Result<EndpointList, EndpointListError> {
    from_json(&json::parse(bytes)?)
}

/// Converts a list from JSON. Invalid entries are left out; [`first_error`](EndpointList::first_error) names the first
/// of them.
pub fn from_json(value: &JsonValue) -> Result<EndpointList, EndpointListError> {
    let revision = value
        .get("rev")
        .and_then(JsonValue::parse_number)
        .ok_or(EndpointListError::Revision)?;
    let complete = matches!(value.get("all"), Some(JsonValue::Bool(true)));
    let targets = value
        .get("targets")
        .and_then(JsonValue::as_array)
        .ok_or(EndpointListError::Targets)?;
    let mut list = EndpointList {
        revision,
        complete,
        endpoints: Vec::with_capacity(targets.len()),
        first_error: None,
    };
    for (index, target) in targets.iter().enumerate() {
        match endpoint_from_json(target) {
            Ok(endpoint) => list.endpoints.push(endpoint),
            Err(key) => {
                let error = EndpointListError::Entry { index, key };
                list.first_error.get_or_insert(error);
            }
        }
    }
    Ok(list)
}

/// Converts an entry from JSON; fails with the key that is missing or invalid.
fn endpoint_from_json(target: &JsonValue) -> Result<ListedEndpoint, &'static str> {
    let state = match required_text(target, "state")? {
        "ready" => EndpointState::Ready,
        "draining" => EndpointState::Draining,
        "gone" => EndpointState::Gone,
        _ => return Err("state"),
    };
    let started_ms = optional_number(target, "boot_ms")?.filter(|ms| *ms > 0.0);
    let zone = target.get("az").and_then(JsonValue::as_str);
    Ok(ListedEndpoint {
        uid: bounded_name(required_text(target, "uid")?, "uid")?,
        address: endpoint_address(target, state)?,
        zone: bounded_name(zone.unwrap_or_default(), "az")?,
        cell: optional_number(target, "pod_group")?.unwrap_or_default() as u16,
        state,
        weight: optional_number(target, "capacity_hint")?.unwrap_or(DEFAULT_WEIGHT),
        started_at: started_ms.map(unix_time).transpose()?,
    })
}

fn required_text<'a>(target: &'a JsonValue, key: &'static str) -> Result<&'a str, &'static str> {
    target.get(key).and_then(JsonValue::as_str).ok_or(key)
}

/// A name of at most [`MAX_NAME_LENGTH`]; fails with its key if it is longer.
fn bounded_name(name: &str, key: &'static str) -> Result<String, &'static str> {
    if name.len() <= MAX_NAME_LENGTH {
        Ok(name.to_string())
    } else {
        Err(key)
    }
}

/// A number that is not negative; `None` if it is absent or null.
fn optional_number(target: &JsonValue, key: &'static str) -> Result<Option<f64>, &'static str> {
    match target.get(key) {
        None | Some(JsonValue::Null) => Ok(None),
        Some(value) => value
            .parse_number::<f64>()
            .filter(|number| number.is_finite() && *number >= 0.0)
            .map(Some)
            .ok_or(key),
    }
}

/// The address of an entry, which may be missing if the endpoint is gone.
fn endpoint_address(target: &JsonValue, state: EndpointState) -> Result<SocketAddr, &'static str> {
    let text = required_text(target, "endpoint").ok();
    match text.and_then(|text| text.parse().ok()) {
        Some(address) => Ok(address),
        None if state == EndpointState::Gone => Ok(SocketAddr::from(([0, 0, 0, 0], 0))),
        None => Err("endpoint"),
    }
}

fn unix_time(milliseconds: f64) -> Result<Duration, &'static str> {
    Duration::try_from_secs_f64(milliseconds / 1e3).map_err(|_| "boot_ms")
}
