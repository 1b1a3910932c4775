//! Carries out the decisions of the placement engine and the sessions' state machines on sockets; makes none itself.
//!
//! A [`Router`] is one epoll loop: [`Router::wait`] waits for sockets and deadlines, [`Router::process`] handles them.
//! It passes inputs to the [`session_table`], which has no I/O, and carries out the tasks that result.

mod admin_commands;
mod admin_http;
pub mod admin_socket;
mod admin_status;
mod admission;
mod client;
mod connections;
mod dial;
mod discovery_watch;
mod endpoints;
mod event_loop;
pub mod events;
mod forwarding;
mod graceful_shutdown;
mod hot_restart;
mod listener;
pub mod metrics;
pub mod peers;
mod pending_client;
mod probe;
mod recent_session_ids;
mod resource_budget;
pub mod session_state;
pub mod session_table;
mod session_tasks;
mod spare_capacity;
mod startup;
mod types;
pub mod warm_start;
pub mod zones;

pub use startup::RouterOptions;

use crate::transport::poller::ReadyEvent;
use crate::transport::{Deadlines, Poller, SlotKey, SlotMap};
use admin_http::AdminHttp;
use asterramp_admission::AdmissionControl;
use asterramp_drain::{Drain, DrainState};
use asterramp_leader_lease::{FencingGuard, Term};
use asterramp_placement::settings::ProxySettings;
use asterramp_zone_failover::ZoneFailoverSettings;
use discovery_watch::DiscoveryWatch;
use endpoints::EndpointTable;
use events::{ReasonCode, RouterEvent};
use hot_restart::HotRestart;
use metrics::Metrics;
use peers::Peers;
use recent_session_ids::RecentSessionIds;
use resource_budget::{ConnectionCounts, ResourceBudget};
use session_state::{SessionInput, SessionMachine, SessionState};
use session_table::SessionTable;
use std::collections::HashSet;
use std::fmt;
use std::time::Duration;
use types::{Connection, ConnectionRole, SessionConnections, TimerKey};
use warm_start::{SnapshotSchedule, WarmStartProgress};

/// A proxy's connections, sessions and timers, driven by one thread.
pub struct Router {
    session_table: SessionTable<SessionConnections>,
    settings: ProxySettings,
    resource_budget: ResourceBudget,
    poller: Poller,
    /// The events of the last [`Router::wait`], until they are processed.
    ready: Vec<ReadyEvent>,
    connections: SlotMap<Connection>,
    endpoints: EndpointTable,
    /// Client-given ids of the current sessions, to reject a second session with the same id.
    session_ids: HashSet<String>,
    /// Ids of ended sessions whose request may have run, to reject a second session with the same id.
    recent_session_ids: RecentSessionIds,
    connection_counts: ConnectionCounts,
    discovery_watch: DiscoveryWatch,
    /// The listener of clients; `None` once a shutdown has closed it.
    listener: Option<SlotKey>,
    /// Whether the proxy has begun to accept clients.
    serving: bool,
    deadlines: Deadlines<TimerKey>,
    /// Events to count and log, since the caller last took them.
    pub pending_events: Vec<RouterEvent>,
    /// The time at which the current turn of the loop began, since the start of the process's clock.
    now: Duration,
    drain: Drain,
    /// Decides which clients are admitted while capacity is short.
    admission: AdmissionControl,
    /// Whether `admission` limits clients when zone failover leaves capacity short.
    admission_enabled: bool,
    /// The drain's state as last logged.
    logged_drain_state: DrainState,
    /// Whether a shutdown is complete.
    done: bool,
    admin_socket: Option<admin_socket::AdminSocket>,
    /// Rejects late commands of earlier leaders.
    fencing_guard: FencingGuard,
    admin_http: Option<AdminHttp>,
    hot_restart: Option<HotRestart>,
    warm_start: Option<WarmStartProgress>,
    peers: Peers,
    snapshots: Option<SnapshotSchedule>,
    metrics: Metrics,
    /// When the router was built, since the start of the process's clock.
    started_at: Duration,
    /// When a session was last accepted, restored ones included.
    last_arrival: Duration,
    /// Sessions accepted since the start of the process, restored ones included.
    sessions_accepted: u64,
}

impl fmt::Debug for Router {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Router")
            .field("now", &self.now)
            .field("serving", &self.serving)
            .field("connection_counts", &self.connection_counts)
            .finish_non_exhaustive()
    }
}

impl Router {
    /// Applies new settings of zone failover, except those that follow from the deployment; `None` turns zone failover
    /// off until the process ends.
    pub fn configure_zone_failover(&mut self, settings: Option<ZoneFailoverSettings>) {
        match (&mut self.session_table.zones, settings) {
            (Some(zones), Some(settings)) => {
                let deployment_settings = zone_failover_settings(&self.settings);
                zones.failover.set_settings(ZoneFailoverSettings {
                    probing_allowed: deployment_settings.probing_allowed,
                    in_flight_timeout: deployment_settings.in_flight_timeout,
                    ..settings
                });
            }
            (zones, None) => *zones = None,
            (None, Some(_)) => {}
        }
    }

    /// Restores the highest leader term that the previous process had accepted.
    pub fn restore_highest_term(&mut self, term: Term) {
        self.fencing_guard = FencingGuard::new(self.started_at.as_micros() as u64, term);
    }

    /// Turns admission control while capacity is short on or off, and sets whether listeners rank by priority weight
    /// alone while the cost of their sessions is not known.
    pub fn configure_admission(&mut self, enabled: bool, by_weight_alone: bool) {
        self.admission_enabled = enabled;
        self.admission.set_rank_by_weight_alone(by_weight_alone);
    }

    fn count_event(&mut self, code: ReasonCode) {
        self.pending_events.push(RouterEvent::Count(code));
    }

    fn log_event(&mut self, code: ReasonCode, details: impl Into<String>) {
        self.pending_events
            .push(RouterEvent::Log(code, details.into()));
    }
}

/// Zone failover's default settings, with those that follow from the deployment.
fn zone_failover_settings(settings: &ProxySettings) -> ZoneFailoverSettings {
    ZoneFailoverSettings {
        probing_allowed: settings.deployment.may_probe,
        // A probe may take one connect timeout to connect and two to get its response.
        in_flight_timeout: settings.connect_timeout * 3,
        ..ZoneFailoverSettings::default()
    }
}

/// Admission control's settings: sessions rank by their listener's priority weight and their tenant's quota.
fn admission_settings(settings: &ProxySettings) -> asterramp_admission::AdmissionSettings {
    let priority_weights = settings
        .deployment
        .listeners
        .iter()
        .map(|listener| listener.priority_weight)
        .collect();
    asterramp_admission::AdmissionSettings {
        priority_weights,
        quotas: settings.tenant_quotas.clone(),
        max_retry_after: settings.deployment.max_retry_after,
        rank_by_weight_alone: false,
    }
}
