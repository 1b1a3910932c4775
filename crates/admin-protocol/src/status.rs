//! A proxy's status, which `asterramp status` prints.
//!
//! The JSON names are part of the protocol and stay as they are, while the names of the fields may change. Types that
//! are converted from and into tuples are arrays in JSON.

use serde::{Deserialize, Serialize};

/// Status of a proxy.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(expecting = "struct Status")] // Keeps serde's error texts as they were.
pub struct ProxyStatus {
    /// Process id; it changes with each restart.
    pub pid: u32,
    /// Name of the drain state: `serving`, `closing`, `moving`, `late`, `empty` or `exiting`.
    pub state: String,
    /// Milliseconds since the proxy started.
    #[serde(rename = "up_ms")]
    pub uptime_ms: u64,
    /// Number of open sessions.
    #[serde(rename = "open")]
    pub open_sessions: usize,
    /// Number of sessions that are being set up.
    #[serde(rename = "pending")]
    pub pending_sessions: usize,
    /// Number of client connections without a session: those that have not sent a request yet, and those being closed.
    #[serde(rename = "strangers")]
    pub sessionless_connections: usize,
    /// Sessions migrated since the last drain began.
    #[serde(rename = "moved")]
    pub migrated_sessions: u64,
    /// Current rate of a drain in sessions per second, before any increase that the deadline requires.
    #[serde(rename = "pace")]
    pub migrations_per_second: f64,
    /// Number of further sessions that the endpoints can absorb by their load reports; `None` if none has reported.
    #[serde(rename = "room")]
    pub spare_capacity: Option<f64>,
    /// Milliseconds until the proxy is expected to be empty; `None` unless a drain has sessions to migrate.
    #[serde(rename = "expected_ms")]
    pub expected_empty_in_ms: Option<u64>,
    /// Milliseconds until the drain's deadline; `None` unless a drain is in progress.
    #[serde(rename = "deadline_ms")]
    pub deadline_in_ms: Option<u64>,
    /// Whether another proxy may be drained: this one is serving, and enough time has passed since its last drain was
    /// cancelled.
    #[serde(rename = "carries")]
    pub allows_next_drain: bool,
    /// Sessions accepted since the proxy started.
    #[serde(rename = "taken")]
    pub accepted_sessions: u64,
    /// Remaining sessions by listener during a drain or a shutdown; otherwise empty.
    #[serde(rename = "left")]
    pub remaining_sessions: Vec<ListenerSessions>,
    /// Number of endpoints in state `ready`.
    #[serde(rename = "hosts_ready")]
    pub ready_endpoints: usize,
    /// Number of known endpoints that are not in state `gone`.
    #[serde(rename = "hosts")]
    pub listed_endpoints: usize,
    /// Milliseconds since the last data from discovery; `None` if none was received.
    #[serde(rename = "discovery_ms")]
    pub discovery_age_ms: Option<u64>,
    /// State of each zone, those that are not healthy first; empty without zone failover.
    #[serde(rename = "places", default, skip_serializing_if = "Vec::is_empty")]
    pub zones: Vec<ZoneStatus>,
    /// Progress of the warm start; `None` if it is disabled.
    #[serde(rename = "start", default, skip_serializing_if = "Option::is_none")]
    pub warm_start: Option<WarmStartStatus>,
    /// Admission figures of the listeners that have rejected sessions or whose cost per session is known.
    #[serde(rename = "refusals", default, skip_serializing_if = "Vec::is_empty")]
    pub admission: Vec<AdmissionStatus>,
    /// Random number of this process, by which it recognises a leader's command that was meant for an earlier process.
    #[serde(rename = "boot", default)]
    pub incarnation: u64,
    /// Current time of the process's clock in microseconds; leaders state the expiry of their commands in this clock.
    #[serde(default)]
    pub clock_us: u64,
    /// Highest term of a leader that the proxy has seen; 0 if none.
    #[serde(rename = "term", default)]
    pub highest_term: u64,
}

/// Progress of a warm start.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(expecting = "struct StartStatus")] // Keeps serde's error texts as they were.
pub struct WarmStartStatus {
    /// Name of the stage: `dark`, `looking`, `asking`, `probing`, `admitting` or `normal`.
    pub stage: String,
    /// Milliseconds since the stage began.
    pub since_ms: u64,
    /// Numbers of endpoints by the source that reported them; sources without any are omitted.
    pub sources: Vec<EndpointSourceCount>,
    /// Number of reports that were ignored, and of endpoints that were not confirmed in time, were replaced or were
    /// delisted.
    pub dropped: u64,
    /// Snapshots saved and failed; `None` if snapshots are disabled.
    #[serde(rename = "saved")]
    pub snapshots: Option<SnapshotCounts>,
}

/// Rejected sessions of a listener, and the cost of its sessions.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(expecting = "struct RoomStatus")] // Keeps serde's error texts as they were.
pub struct AdmissionStatus {
    /// The listener's name.
    pub listener: String,
    /// Rejected sessions by reason; reasons that have not occurred are omitted.
    #[serde(rename = "refused")]
    pub rejected: Vec<RejectionCount>,
    /// Cost of a session; `None` if endpoints have not reported it.
    #[serde(rename = "takes")]
    pub session_cost: Option<SessionCostEstimate>,
}

/// State of a zone.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(expecting = "struct PlaceStatus")] // Keeps serde's error texts as they were.
pub struct ZoneStatus {
    /// The zone's name.
    pub name: String,
    /// Name of the zone's state.
    pub state: String,
    /// Milliseconds since the state was entered.
    pub since_ms: u64,
    /// How often the zone was suspected and the suspicion was dropped.
    #[serde(rename = "doubts")]
    pub false_suspicions: u64,
    /// How often the zone was closed and responded to the first probe, while discovery listed its servers throughout.
    #[serde(rename = "false_alarms")]
    pub false_ejections: u64,
}

/// Number of sessions of a listener.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(String, usize)", into = "(String, usize)")]
pub struct ListenerSessions {
    /// The listener's name.
    pub listener: String,
    /// Number of sessions.
    pub sessions: usize,
}

/// Number of endpoints that one source reported.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(String, usize, usize)", into = "(String, usize, usize)")]
pub struct EndpointSourceCount {
    /// Name of the source: `saved`, `configured`, `heard` or `told`.
    pub source: String,
    /// Number of endpoints that the source reported.
    pub reported: usize,
    /// Number of those that have responded to a probe or that discovery has listed since.
    pub confirmed: usize,
}

/// Number of sessions that were rejected for one reason.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(String, u64)", into = "(String, u64)")]
pub struct RejectionCount {
    /// Name of the reason.
    pub reason: String,
    /// Number of sessions.
    pub sessions: u64,
}

/// Cost of one session of a listener at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f64, f64, u64)", into = "(f64, f64, u64)")]
pub struct SessionCostEstimate {
    /// Mean work of a session per second.
    pub mean: f64,
    /// Mean distance of the samples from the mean.
    pub deviation: f64,
    /// Milliseconds since the last sample.
    pub age_ms: u64,
}

/// Number of snapshots since the process started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct SnapshotCounts {
    /// Snapshots saved.
    pub saved: u64,
    /// Snapshots that could not be saved.
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
