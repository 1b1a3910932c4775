//! Runs a warm start on the event loop.
//!
//! [`asterramp_warm_start`] decides which endpoints are used after a power loss and how clients are admitted meanwhile;
//! this module passes it its inputs and carries out its effects:
//!
//! - `begin.rs`: the endpoints known from the last snapshot and from the configuration;
//! - `discovery.rs`: endpoint lists from discovery and results of probes;
//! - `effects.rs`: the effects;
//! - `admission.rs`: the rate at which sessions are admitted;
//! - `snapshots.rs`: the snapshots for the next start.

mod admission;
mod begin;
mod discovery;
mod effects;
mod snapshots;

pub use snapshots::{SnapshotCounts, SnapshotSchedule};

use super::Router;
use super::peers::PeerSettings;
use asterramp_placement::event::ServerId;
use asterramp_snapshot::Snapshot;
use asterramp_warm_start::{ClientAdmission, WarmStart, WarmStartSettings};
use std::time::Duration;

/// What a warm start begins from, in addition to the configured endpoint list.
#[derive(Clone, Debug)]
pub struct WarmStartPlan {
    /// Timeouts and limits. `has_peers` is replaced by whether `peers` has addresses, and `max_probes` is limited by
    /// the proxy's resource budget.
    pub settings: WarmStartSettings,
    /// Which proxies are queried for endpoints.
    pub peers: PeerSettings,
    /// The last snapshot, if one could be read.
    pub snapshot: Option<Snapshot>,
}

/// A warm start, in progress or complete.
#[derive(Debug)]
pub struct WarmStartProgress {
    pub(super) machine: WarmStart,
    /// When discovery last responded before the proxy started, Unix time; `None` if that is unknown.
    last_discovery_update: Option<Duration>,
    /// Utilization of a server per connection as known from before the start, by server index; `None` if it is unknown.
    loads_per_connection: Vec<Option<f64>>,
    admission: ClientAdmission,
}

impl WarmStartProgress {
    fn new(now: Duration, settings: WarmStartSettings) -> WarmStartProgress {
        WarmStartProgress {
            machine: WarmStart::new(now, settings),
            last_discovery_update: None,
            loads_per_connection: Vec::new(),
            admission: ClientAdmission::Queued,
        }
    }

    /// Records the utilization per connection of a server as known from before the start; `None` keeps the recorded
    /// one.
    pub(super) fn restore_load_per_connection(&mut self, server: ServerId, load: Option<f64>) {
        let index = server as usize;
        if self.loads_per_connection.len() <= index {
            self.loads_per_connection.resize(index + 1, None);
        }
        if load.is_some() {
            self.loads_per_connection[index] = load;
        }
    }

    /// Forgets the utilization per connection of a server whose index another one has now.
    pub(super) fn forget_load_per_connection(&mut self, server: ServerId) {
        if let Some(load) = self.loads_per_connection.get_mut(server as usize) {
            *load = None;
        }
    }

    /// Utilization per connection of a server as known from before the start.
    fn load_per_connection(&self, server: ServerId) -> Option<f64> {
        let index = server as usize;
        self.loads_per_connection.get(index).copied().flatten()
    }
}

impl Router {
    /// The state machine of the warm start; `None` where the proxy started without one.
    pub(super) fn warm_start_state(&self) -> Option<&WarmStart> {
        self.warm_start.as_ref().map(|progress| &progress.machine)
    }

    /// Whether the warm start, if there is one, admits sessions, so that the proxy reports that it is ready.
    pub(super) fn warm_start_admits_sessions(&self) -> bool {
        match &self.warm_start {
            None => true,
            Some(progress) => match progress.admission {
                ClientAdmission::Queued | ClientAdmission::Rejected => false,
                ClientAdmission::Limited | ClientAdmission::Open => true,
            },
        }
    }

    /// Handles a deadline of the warm start.
    pub(super) fn warm_start_deadline(&mut self) {
        let now = self.now;
        if let Some(progress) = &mut self.warm_start {
            progress.machine.handle_deadline(now);
            self.apply_warm_start_effects();
            self.request_list_again_after_start();
        }
    }
}

/// Converts Unix time in milliseconds, as in snapshots, to the proxy's clock, which is Unix time, too.
fn unix_time(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Converts a time of the proxy's clock to Unix time in milliseconds.
fn unix_ms(at: Duration) -> u64 {
    at.as_millis() as u64
}
