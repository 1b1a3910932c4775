//! What a snapshot contains.
//!
//! The serialized names are part of the format on disk and stay as the first release wrote them; the field names here
//! may change. Serde's error texts name the serialized forms.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Whether an endpoint accepted new sessions when it was last listed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum SavedEndpointState {
    /// It accepted new sessions.
    #[default]
    Ready,
    /// It finished its sessions and accepted no new ones.
    Draining,
}

/// What the proxy knew of one endpoint. The package exports it as `SavedEndpoint`; serde puts the name it has here into
/// error texts, which stay as they were.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    /// Identity given by discovery; it outlives a change of address.
    pub uid: String,
    /// Where it listens.
    #[serde(rename = "endpoint")]
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Number of its failure domain within the zone.
    pub cell: u16,
    /// Ready or draining.
    #[serde(rename = "standing")]
    pub state: SavedEndpointState,
    /// Relative capacity; finite.
    pub weight: f64,
    /// When its process started, Unix time in milliseconds; `None` if that was long before the proxy began.
    #[serde(rename = "started_ms")]
    pub started_at_ms: Option<u64>,
    /// When it last reported its load, Unix time in milliseconds; `None` if it never did.
    #[serde(rename = "heard_ms")]
    pub last_report_ms: Option<u64>,
    /// Share of its capacity that one connection took, from its load reports; finite. `None` if not known.
    #[serde(rename = "unit")]
    pub load_per_connection: Option<f64>,
}

/// Everything that a proxy keeps for its next start.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// The address that the proxy listens at, which distinguishes its snapshots from those of other proxies.
    pub owner: String,
    /// Counts snapshots. The higher of two is the newer one, whatever the clock said.
    #[serde(rename = "seq")]
    pub sequence: u64,
    /// When the snapshot was made, Unix time in milliseconds.
    #[serde(rename = "saved_ms")]
    pub saved_at_ms: u64,
    /// Revision of discovery's endpoint list; 0 before the first.
    #[serde(rename = "rev")]
    pub list_revision: u64,
    /// When discovery last answered, Unix time in milliseconds; `None` if it never did.
    #[serde(rename = "told_ms")]
    pub last_discovery_update_ms: Option<u64>,
    /// The highest term of a leader lease that was seen, the fencing token for commands; 0 before any.
    #[serde(rename = "term")]
    pub highest_term: u64,
    /// Whether this is the last snapshot of a proxy that shut down gracefully.
    #[serde(rename = "clean")]
    pub clean_shutdown: bool,
    /// The endpoint list; at most 4,096 entries are read again.
    #[serde(rename = "hosts")]
    pub endpoints: Vec<Host>,
}
