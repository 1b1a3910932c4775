//! Discovery's endpoint lists.

use super::json::{self, JsonError, JsonValue};
use asterramp_placement::event::EndpointState;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// Longest unique name of an endpoint, in bytes.
const MAX_UID_LENGTH: usize = 256;
/// Weight of an endpoint that names none.
const DEFAULT_WEIGHT: f64 = 1.0;

/// Endpoints as discovery names them, all of them or those that changed.
#[derive(Debug, PartialEq)]
pub struct EndpointList {
    /// The list's version; later ones are greater.
    pub revision: u64,
    /// Whether endpoints that the list doesn't name are gone.
    pub complete: bool,
    /// The entries that could be read.
    pub endpoints: Vec<ListedEndpoint>,
    /// What is wrong with the first entry that could not be read.
    pub first_error: Option<EndpointListError>,
}

/// One entry of an endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEndpoint {
    /// The endpoint's unique name, at most 256 bytes.
    pub uid: String,
    /// Where it listens; unspecified where it is gone and the list doesn't say.
    pub address: SocketAddr,
    /// The zone's name, empty where the list names none.
    pub zone: String,
    /// The group of endpoints within the zone that it belongs to.
    pub cell: u16,
    /// Whether it takes sessions.
    pub state: EndpointState,
    /// Its capacity in relation to others, not negative.
    pub weight: f64,
    /// When its process started, as Unix time.
    pub started_at: Option<Duration>,
}

/// Why an endpoint list, or an entry of it, can't be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum EndpointListError {
    /// It is not JSON.
    #[error(transparent)]
    Json(#[from] JsonError),
    /// It has no revision.
    #[error("rev is missing or no number")]
    Revision,
    /// It has no entries.
    #[error("targets is missing or no list")]
    Targets,
    /// A key of an entry is missing or has a wrong value.
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

/// Reads a list; entries that can't be read are left out, and the first of them named in
/// [`first_error`](EndpointList::first_error).
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

/// Reads an entry; fails with the key that is missing or wrong.
fn endpoint_from_json(target: &JsonValue) -> Result<ListedEndpoint, &'static str> {
    let state = match required_text(target, "state")? {
        "ready" => EndpointState::Ready,
        "draining" => EndpointState::Draining,
        "gone" => EndpointState::Gone,
        _ => return Err("state"),
    };
    let started_ms = optional_number(target, "boot_ms")?.filter(|ms| *ms > 0.0);
    let uid = Some(required_text(target, "uid")?)
        .filter(|uid| uid.len() <= MAX_UID_LENGTH)
        .ok_or("uid")?;
    Ok(ListedEndpoint {
        uid: uid.to_string(),
        address: address(target, state)?,
        zone: target
            .get("az")
            .and_then(JsonValue::as_str)
            .unwrap_or_default()
            .to_string(),
        cell: optional_number(target, "pod_group")?.unwrap_or_default() as u16,
        state,
        weight: optional_number(target, "capacity_hint")?.unwrap_or(DEFAULT_WEIGHT),
        started_at: started_ms.map(unix_time).transpose()?,
    })
}

fn required_text<'a>(target: &'a JsonValue, key: &'static str) -> Result<&'a str, &'static str> {
    target.get(key).and_then(JsonValue::as_str).ok_or(key)
}

/// A number that is not negative; `None` where it is absent.
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

/// An endpoint that is gone needs no address.
fn address(target: &JsonValue, state: EndpointState) -> Result<SocketAddr, &'static str> {
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
