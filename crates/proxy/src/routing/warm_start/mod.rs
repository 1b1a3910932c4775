//! Warm start on the event loop.
//!
//! [`asterramp_warm_start`] decides which endpoints are used after a power loss and how clients are admitted meanwhile;
//! this module feeds it and carries out what it decides:
//!
//! - `begin.rs`: the endpoints known from the last snapshot and from the configuration;
//! - `discovery.rs`: what discovery and probes say while the warm start lasts;
//! - `effects.rs`: carrying out its effects;
//! - `admission.rs`: the rate at which it admits clients;
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

/// What a warm start begins from, beside the configured endpoint list.
#[derive(Clone, Debug)]
pub struct WarmStartPlan {
    /// Timeouts and limits; whether there are peers follows from `peers`.
    pub settings: WarmStartSettings,
    /// Which proxies are asked for endpoints.
    pub peers: PeerSettings,
    /// The last snapshot, if one could be read.
    pub snapshot: Option<Snapshot>,
}

/// A warm start that is under way, or over.
#[derive(Debug)]
pub struct WarmStartProgress {
    pub(super) machine: WarmStart,
    /// Revision of the newest endpoint list known when the proxy started; of an older list from discovery, only what
    /// takes endpoints out of use counts at once.
    newest_revision: u64,
    /// When discovery last answered before the proxy started, Unix time.
    discovery_heard: Option<Duration>,
    /// Share of an endpoint that one connection took before the proxy started, by server.
    loads_per_connection: Vec<Option<f64>>,
    admission: ClientAdmission,
}

impl WarmStartProgress {
    fn new(now: Duration, settings: WarmStartSettings) -> WarmStartProgress {
        WarmStartProgress {
            machine: WarmStart::new(now, settings),
            newest_revision: 0,
            discovery_heard: None,
            loads_per_connection: Vec::new(),
            admission: ClientAdmission::Queued,
        }
    }

    /// Notes what a connection took of a server before, if that is known.
    pub(super) fn restore_load_per_connection(&mut self, server: ServerId, load: Option<f64>) {
        let index = server as usize;
        if self.loads_per_connection.len() <= index {
            self.loads_per_connection.resize(index + 1, None);
        }
        if load.is_some() {
            self.loads_per_connection[index] = load;
        }
    }

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

    /// Whether the proxy says that it serves, when it is asked.
    pub(super) fn warm_start_admits_sessions(&self) -> bool {
        match &self.warm_start {
            None => true,
            Some(progress) => match progress.admission {
                ClientAdmission::Queued | ClientAdmission::Rejected => false,
                ClientAdmission::Limited | ClientAdmission::Open => true,
            },
        }
    }

    /// A deadline of the warm start has passed.
    pub(super) fn warm_start_deadline(&mut self) {
        let now = self.now;
        if let Some(progress) = &mut self.warm_start {
            progress.machine.handle_deadline(now);
            self.apply_warm_start_effects();
        }
    }
}

/// A time in milliseconds, as snapshots hold it, on the proxy's clock; both are Unix time.
fn unix_time(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A time on the proxy's clock in milliseconds.
fn unix_ms(at: Duration) -> u64 {
    at.as_millis() as u64
}
