//! The JSON message, carried over HTTP, with which proxies exchange known endpoints after a power loss.

use super::PeerError;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Version of the message; a response of another version is not used.
pub(super) const MESSAGE_VERSION: u32 = 1;
/// Most endpoints that a response may contain.
pub(super) const MAX_ENDPOINTS_IN_RESPONSE: usize = 256;

/// How a successful HTTP response begins.
const STATUS_OK: &[u8] = b"HTTP/1.1 200 ";
/// Separates the head of an HTTP response from its body.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// The endpoints that a proxy knows, and its own state. Parse errors show this type's name to operators, so it must not
/// change.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Known {
    #[serde(rename = "v")]
    pub(super) version: u32,
    /// Name of the fleet that the proxy belongs to.
    pub(super) fleet: String,
    /// Stage of the proxy's warm start; `normal` if it started without one.
    pub(super) stage: String,
    /// Revision of its endpoint list.
    #[serde(rename = "rev")]
    pub(super) list_revision: u64,
    /// When discovery last responded to the proxy, Unix time in milliseconds; `None` if it has not yet.
    #[serde(rename = "told_ms")]
    pub(super) discovery_responded_ms: Option<u64>,
    /// Sessions that the proxy is setting up.
    #[serde(rename = "pending")]
    pub(super) pending_sessions: usize,
    /// Known endpoints, at most [`MAX_ENDPOINTS_IN_RESPONSE`].
    pub(super) hosts: Vec<KnownHost>,
}

/// An endpoint that a proxy knows. Parse errors show this type's name, too, so it must not change.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct KnownHost {
    pub(super) uid: String,
    #[serde(rename = "endpoint")]
    pub(super) address: SocketAddr,
    pub(super) zone: String,
    pub(super) cell: u16,
    pub(super) weight: f64,
    /// When the server started, Unix time in milliseconds; `None` if that is unknown.
    pub(super) started_ms: Option<u64>,
    /// Time since the later of its last load report and discovery's last response, in milliseconds.
    pub(super) age_ms: u64,
    /// Utilization per open connection; `None` if it has too few connections to tell.
    #[serde(rename = "unit")]
    pub(super) load_per_connection: Option<f64>,
}

/// Parses a peer's HTTP response and checks that a proxy of the fleet `fleet` can use it.
///
/// # Errors
///
/// A [`PeerError`] for a response that is incomplete, has another status than 200, is not readable, or is of another
/// version or fleet.
pub(super) fn parse_response(response: &[u8], fleet: &str) -> Result<Known, PeerError> {
    let head_len = response
        .windows(HEAD_END.len())
        .position(|window| window == HEAD_END)
        .ok_or(PeerError::NoHead)?;
    if !response.starts_with(STATUS_OK) {
        return Err(PeerError::Refused);
    }
    let body = &response[head_len + HEAD_END.len()..];
    let known: Known = serde_json::from_slice(body).map_err(PeerError::Unreadable)?;
    if known.version != MESSAGE_VERSION {
        return Err(PeerError::OtherVersion(known.version));
    }
    if known.fleet != fleet {
        return Err(PeerError::OtherFleet);
    }
    if known.hosts.len() > MAX_ENDPOINTS_IN_RESPONSE {
        return Err(PeerError::TooManyEndpoints);
    }
    Ok(known)
}
