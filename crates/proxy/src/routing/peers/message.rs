//! What proxies send each other after a power loss, as JSON over HTTP.

use super::PeerError;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Version of the message; an answer of another one is not used.
pub(super) const MESSAGE_VERSION: u32 = 1;
/// Endpoints that an answer names at most.
pub(super) const MAX_ENDPOINTS_IN_RESPONSE: usize = 256;

/// The start of an answer that was granted, and the end of any answer's head.
const STATUS_OK: &[u8] = b"HTTP/1.1 200 ";
const END_OF_HEAD: &[u8] = b"\r\n\r\n";

/// What a proxy knows. Parse errors show this type's name to operators, so it stays short.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Known {
    #[serde(rename = "v")]
    pub(super) version: u32,
    pub(super) fleet: String,
    /// Stage of the proxy's warm start.
    pub(super) stage: String,
    /// Revision of its endpoint list.
    #[serde(rename = "rev")]
    pub(super) list_revision: u64,
    /// When discovery last responded, Unix time in milliseconds.
    #[serde(rename = "told_ms")]
    pub(super) discovery_responded_ms: Option<u64>,
    /// Sessions that are being set up.
    #[serde(rename = "pending")]
    pub(super) pending_sessions: usize,
    pub(super) hosts: Vec<KnownHost>,
}

/// An endpoint that a proxy knows. Parse errors show this type's name, too.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct KnownHost {
    pub(super) uid: String,
    #[serde(rename = "endpoint")]
    pub(super) address: SocketAddr,
    pub(super) zone: String,
    pub(super) cell: u16,
    pub(super) weight: f64,
    /// Start of the server, Unix time in milliseconds.
    pub(super) started_ms: Option<u64>,
    /// Milliseconds since it last responded, or discovery did.
    pub(super) age_ms: u64,
    /// Utilization for each open connection.
    #[serde(rename = "unit")]
    pub(super) load_per_connection: Option<f64>,
}

/// Parses an HTTP answer and checks that it can be used by a proxy of this fleet.
///
/// # Errors
///
/// A [`PeerError`] for an answer that is not complete, refused, not readable, or of another version or fleet.
pub(super) fn parse_response(answer: &[u8], fleet: &str) -> Result<Known, PeerError> {
    let head_len = answer
        .windows(END_OF_HEAD.len())
        .position(|window| window == END_OF_HEAD)
        .ok_or(PeerError::NoHead)?;
    if !answer.starts_with(STATUS_OK) {
        return Err(PeerError::Refused);
    }
    let body = &answer[head_len + END_OF_HEAD.len()..];
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
