//! Carries out on sockets what the placement engine and the sessions' state machines decide. Decides nothing itself.
//!
//! A [`Router`] is one epoll loop: [`Router::wait`] waits for sockets and deadlines, [`Router::process`] takes them
//! in. What happened goes to the [`session_table`], which has no I/O; what that wants done comes back as tasks.

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
mod probe;
mod resource_budget;
pub mod session_state;
pub mod session_table;
mod session_tasks;
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
    /// What [`Router::wait`] found ready.
    ready: Vec<ReadyEvent>,
    connections: SlotMap<Connection>,
    endpoints: EndpointTable,
    /// Ids of the sessions there are, by which a second of the same is known.
    session_ids: HashSet<String>,
    connection_counts: ConnectionCounts,
    discovery_watch: DiscoveryWatch,
    listener: Option<SlotKey>,
    /// Whether clients are let in.
    serving: bool,
    deadlines: Deadlines<TimerKey>,
    /// What there is to count and to log since it was last taken.
    pub pending_events: Vec<RouterEvent>,
    /// The time of the present turn of the loop.
    now: Duration,
    drain: Drain,
    /// Who is let in while capacity is short.
    admission: AdmissionControl,
    /// Whether it is asked at all.
    admission_enabled: bool,
    /// The drain's state as last logged.
    logged_drain_state: DrainState,
    done: bool,
    admin_socket: Option<admin_socket::AdminSocket>,
    /// Against late commands of earlier leaders.
    fencing_guard: FencingGuard,
    admin_http: Option<AdminHttp>,
    hot_restart: Option<HotRestart>,
    warm_start: Option<WarmStartProgress>,
    peers: Peers,
    snapshots: Option<SnapshotSchedule>,
    metrics: Metrics,
    started_at: Duration,
    last_arrival: Duration,
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
    /// Applies other settings of zone failover, keeping those that follow from the deployment; `None` turns it off for
    /// good.
    pub fn configure_zone_failover(&mut self, settings: Option<ZoneFailoverSettings>) {
        match (&mut self.session_table.zones, settings) {
            (Some(zones), Some(settings)) => {
                let own = zone_failover_settings(&self.settings);
                zones.failover.set_settings(ZoneFailoverSettings {
                    probing_allowed: own.probing_allowed,
                    in_flight_timeout: own.in_flight_timeout,
                    ..settings
                });
            }
            (zones, None) => *zones = None,
            (None, Some(_)) => {}
        }
    }

    /// Sets the highest leader term that the process before this one kept.
    pub fn restore_highest_term(&mut self, kept: Term) {
        self.fencing_guard = FencingGuard::new(self.started_at.as_micros() as u64, kept);
    }

    /// Turns admission control while capacity is short on or off, and with it whether the priority weight alone orders
    /// clients where nothing more is known of them.
    pub fn configure_admission(&mut self, enabled: bool, by_priority_weight: bool) {
        self.admission_enabled = enabled;
        self.admission.set_rank_by_weight_alone(by_priority_weight);
    }

    fn count_event(&mut self, code: ReasonCode) {
        self.pending_events.push(RouterEvent::Count(code));
    }

    fn log_event(&mut self, code: ReasonCode, about: impl Into<String>) {
        self.pending_events
            .push(RouterEvent::Log(code, about.into()));
    }
}

/// Zone failover's settings as the deployment's own figures have them.
fn zone_failover_settings(settings: &ProxySettings) -> ZoneFailoverSettings {
    ZoneFailoverSettings {
        probing_allowed: settings.deployment.may_probe,
        // A probe has so long to connect, and twice as long to answer.
        in_flight_timeout: settings.connect_timeout * 3,
        ..ZoneFailoverSettings::default()
    }
}

/// Admission control's settings: sessions are admitted by their listener's priority weight and their tenant's share.
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
