//! Contents of a snapshot.
//!
//! The serialized names are part of the format on disk and stay as the first release wrote them; the names in Rust may
//! differ. Serde's error texts contain the serialized names.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Whether an endpoint accepted new sessions when it was last listed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum SavedEndpointState {
    /// It accepted new sessions.
    #[default]
    Ready,
    /// It kept its sessions and accepted no new ones.
    Draining,
}

/// What the proxy knew of one endpoint; exported as `SavedEndpoint`.
///
/// Serde puts the name of this struct into error texts, which must stay as they are. The attribute `expecting` cannot
/// keep them, because it drops the number of elements from the text for a list in place of an object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    /// Unique name of the server instance in discovery, which stays the same when its address changes.
    pub uid: String,
    /// The address that it listens on.
    #[serde(rename = "endpoint")]
    pub address: SocketAddr,
    /// Name of its availability zone.
    pub zone: String,
    /// Number of its failure domain within the zone.
    pub cell: u16,
    /// Its state in discovery's list when the snapshot was made.
    #[serde(rename = "standing")]
    pub state: SavedEndpointState,
    /// Weight relative to the other endpoints; finite. A greater weight attracts more sessions.
    pub weight: f64,
    /// When its process started, Unix time in milliseconds; `None` if that was long before the proxy started.
    #[serde(rename = "started_ms")]
    pub started_at_ms: Option<u64>,
    /// When its last load report arrived, Unix time in milliseconds; `None` if none has.
    #[serde(rename = "heard_ms")]
    pub last_report_ms: Option<u64>,
    /// Share of its capacity that one connection uses, from its load reports; finite. `None` if unknown.
    #[serde(rename = "unit")]
    pub load_per_connection: Option<f64>,
}

/// All that a proxy stores for its next start.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// Listen address of the proxy, which distinguishes its snapshots from those of other proxies.
    pub owner: String,
    /// Sequence number, set by [`SnapshotStore::save`](crate::SnapshotStore::save). Of two snapshots, the one with the
    /// higher number is newer; the clock is not used, as it may have been set back.
    #[serde(rename = "seq")]
    pub sequence: u64,
    /// When the snapshot was made, Unix time in milliseconds.
    #[serde(rename = "saved_ms")]
    pub saved_at_ms: u64,
    /// Revision of discovery's endpoint list; 0 if none was received.
    #[serde(rename = "rev")]
    pub list_revision: u64,
    /// When discovery's last update arrived, Unix time in milliseconds; `None` if none has.
    #[serde(rename = "told_ms")]
    pub last_discovery_update_ms: Option<u64>,
    /// Highest term of a leader that the proxy has seen, the fencing token of its commands; 0 if none.
    #[serde(rename = "term")]
    pub highest_term: u64,
    /// Whether the proxy made this snapshot at the end of a graceful shutdown.
    #[serde(rename = "clean")]
    pub clean_shutdown: bool,
    /// The endpoint list. A snapshot with more than 4,096 entries is refused when it is read.
    #[serde(rename = "hosts")]
    pub endpoints: Vec<Host>,
}
