//! A proxy's status, as `asterramp status` shows it.
//!
//! The JSON names are part of the protocol and older than the names of the fields. Pairs and triples are arrays in JSON;
//! here they are types with named fields.

use serde::{Deserialize, Serialize};

/// How a proxy is doing.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(expecting = "struct Status")] // As errors have named it before.
pub struct ProxyStatus {
    /// Process id; it changes with each restart.
    pub pid: u32,
    /// Name of the drain state: `serving`, `closing`, `moving`, `late`, `empty` or `exiting`.
    pub state: String,
    /// Milliseconds since the proxy began to serve.
    #[serde(rename = "up_ms")]
    pub uptime_ms: u64,
    /// Established sessions.
    #[serde(rename = "open")]
    pub open_sessions: usize,
    /// Sessions that are being set up.
    #[serde(rename = "pending")]
    pub pending_sessions: usize,
    /// Connections that belong to no session: those that have not sent a request yet, and those being closed.
    #[serde(rename = "strangers")]
    pub sessionless_connections: usize,
    /// Sessions migrated by this drain.
    #[serde(rename = "moved")]
    pub migrated_sessions: u64,
    /// Sessions that a drain migrates per second now.
    #[serde(rename = "pace")]
    pub migrations_per_second: f64,
    /// Sessions that endpoints can absorb by their load reports; `None` while none has reported.
    #[serde(rename = "room")]
    pub spare_capacity: Option<f64>,
    /// Milliseconds until the drain is expected to be finished.
    #[serde(rename = "expected_ms")]
    pub expected_empty_in_ms: Option<u64>,
    /// Milliseconds until the drain's deadline.
    #[serde(rename = "deadline_ms")]
    pub deadline_in_ms: Option<u64>,
    /// Whether the proxy serves and has done so for long enough that another one may be drained.
    #[serde(rename = "carries")]
    pub allows_next_drain: bool,
    /// Sessions accepted since the start.
    #[serde(rename = "taken")]
    pub accepted_sessions: u64,
    /// During a drain: the sessions that are left, by listener.
    #[serde(rename = "left")]
    pub remaining_sessions: Vec<ListenerSessions>,
    /// Endpoints in state `ready`.
    #[serde(rename = "hosts_ready")]
    pub ready_endpoints: usize,
    /// Endpoints that are not gone.
    #[serde(rename = "hosts")]
    pub listed_endpoints: usize,
    /// Milliseconds since discovery last sent anything; `None` if it never did.
    #[serde(rename = "discovery_ms")]
    pub discovery_age_ms: Option<u64>,
    /// Zones, where there are several; those with a fault first.
    #[serde(rename = "places", default, skip_serializing_if = "Vec::is_empty")]
    pub zones: Vec<ZoneStatus>,
    /// Progress of a warm start; `None` where it is switched off.
    #[serde(rename = "start", default, skip_serializing_if = "Option::is_none")]
    pub warm_start: Option<WarmStartStatus>,
    /// Listeners with rejected sessions or a known cost per session.
    #[serde(rename = "refusals", default, skip_serializing_if = "Vec::is_empty")]
    pub admission: Vec<AdmissionStatus>,
    /// A random number of this process, by which a leader's order for an earlier process is recognised.
    #[serde(rename = "boot", default)]
    pub incarnation: u64,
    /// The process's clock in microseconds, by which the expiry of a leader's order is stated.
    #[serde(default)]
    pub clock_us: u64,
    /// The highest leader's term that the proxy has seen.
    #[serde(rename = "term", default)]
    pub highest_term: u64,
}

/// Progress of a warm start.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(expecting = "struct StartStatus")] // As errors have named it before.
pub struct WarmStartStatus {
    /// Name of the stage.
    pub stage: String,
    /// Milliseconds since the stage began.
    pub since_ms: u64,
    /// Endpoints by the source that told of them.
    pub sources: Vec<EndpointSourceCount>,
    /// Endpoints that were not confirmed in time, were replaced, or did not fit.
    pub dropped: u64,
    /// Snapshots written, where they are switched on.
    #[serde(rename = "saved")]
    pub snapshots: Option<SnapshotCounts>,
}

/// Rejected sessions of a listener, and what its sessions cost.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(expecting = "struct RoomStatus")] // As errors have named it before.
pub struct AdmissionStatus {
    /// The listener's name.
    pub listener: String,
    /// Rejected sessions by reason.
    #[serde(rename = "refused")]
    pub rejected: Vec<RejectionCount>,
    /// Cost of a session, where endpoints have reported it.
    #[serde(rename = "takes")]
    pub session_cost: Option<SessionCostEstimate>,
}

/// State of a zone.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(expecting = "struct PlaceStatus")] // As errors have named it before.
pub struct ZoneStatus {
    /// The zone's name.
    pub name: String,
    /// Name of the state.
    pub state: String,
    /// Milliseconds since the state was entered.
    pub since_ms: u64,
    /// How often the zone was suspected without reason.
    #[serde(rename = "doubts")]
    pub false_suspicions: u64,
    /// How often the zone was ejected and answered the first health check.
    #[serde(rename = "false_alarms")]
    pub false_ejections: u64,
}

/// Sessions of a listener.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(String, usize)", into = "(String, usize)")]
pub struct ListenerSessions {
    /// The listener's name.
    pub listener: String,
    /// Number of sessions.
    pub sessions: usize,
}

/// Endpoints that one source told of.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(String, usize, usize)", into = "(String, usize, usize)")]
pub struct EndpointSourceCount {
    /// Name of the source: `saved`, `configured`, `heard` or `told`.
    pub source: String,
    /// Endpoints that the source told of.
    pub reported: usize,
    /// Those of them that have answered or that discovery has listed since.
    pub confirmed: usize,
}

/// Rejected sessions of one reason.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(String, u64)", into = "(String, u64)")]
pub struct RejectionCount {
    /// Name of the reason.
    pub reason: String,
    /// Number of sessions.
    pub sessions: u64,
}

/// What a session of a listener costs an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f64, f64, u64)", into = "(f64, f64, u64)")]
pub struct SessionCostEstimate {
    /// Mean work per second.
    pub mean: f64,
    /// Mean distance of the samples from the mean.
    pub deviation: f64,
    /// Milliseconds since the last sample.
    pub age_ms: u64,
}

/// Snapshots since the start of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct SnapshotCounts {
    /// Snapshots written.
    pub saved: u64,
    /// Attempts that failed.
    pub failed: u64,
}

impl From<(String, usize)> for ListenerSessions {
    fn from((listener, sessions): (String, usize)) -> Self {
        ListenerSessions { listener, sessions }
    }
}

impl From<ListenerSessions> for (String, usize) {
    fn from(count: ListenerSessions) -> Self {
        (count.listener, count.sessions)
    }
}

impl From<(String, usize, usize)> for EndpointSourceCount {
    fn from((source, reported, confirmed): (String, usize, usize)) -> Self {
        EndpointSourceCount {
            source,
            reported,
            confirmed,
        }
    }
}

impl From<EndpointSourceCount> for (String, usize, usize) {
    fn from(count: EndpointSourceCount) -> Self {
        (count.source, count.reported, count.confirmed)
    }
}

impl From<(String, u64)> for RejectionCount {
    fn from((reason, sessions): (String, u64)) -> Self {
        RejectionCount { reason, sessions }
    }
}

impl From<RejectionCount> for (String, u64) {
    fn from(count: RejectionCount) -> Self {
        (count.reason, count.sessions)
    }
}

impl From<(f64, f64, u64)> for SessionCostEstimate {
    fn from((mean, deviation, age_ms): (f64, f64, u64)) -> Self {
        SessionCostEstimate {
            mean,
            deviation,
            age_ms,
        }
    }
}

impl From<SessionCostEstimate> for (f64, f64, u64) {
    fn from(cost: SessionCostEstimate) -> Self {
        (cost.mean, cost.deviation, cost.age_ms)
    }
}

impl From<(u64, u64)> for SnapshotCounts {
    fn from((saved, failed): (u64, u64)) -> Self {
        SnapshotCounts { saved, failed }
    }
}

impl From<SnapshotCounts> for (u64, u64) {
    fn from(counts: SnapshotCounts) -> Self {
        (counts.saved, counts.failed)
    }
}
