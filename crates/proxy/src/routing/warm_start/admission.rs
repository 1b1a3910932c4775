//! The rate at which a warm start admits sessions.

use super::WarmStartProgress;
use crate::routing::Router;
use asterramp_placement::event::ServerLoad;
use asterramp_warm_start::{
    ClientAdmission, MIN_CONNECTIONS_FOR_LOAD, SlowStartProfile, admission_rate,
};

/// Sums of utilization and connections over one or more endpoints, by their last load reports.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LoadTotals {
    utilization: f64,
    connections: f64,
}

impl LoadTotals {
    /// The load in a report; `None` if the report omits one of the two figures.
    pub(super) fn from_report(load: &ServerLoad) -> Option<LoadTotals> {
        Some(LoadTotals {
            utilization: load.utilization?,
            connections: load.connections?,
        })
    }

    fn plus(self, other: LoadTotals) -> LoadTotals {
        LoadTotals {
            utilization: self.utilization + other.utilization,
            connections: self.connections + other.connections,
        }
    }

    /// Mean utilization per connection; `None` for fewer than [`MIN_CONNECTIONS_FOR_LOAD`] connections.
    pub(super) fn per_connection(self) -> Option<f64> {
        if self.connections >= MIN_CONNECTIONS_FOR_LOAD {
            Some(self.utilization / self.connections)
        } else {
            None
        }
    }
}

impl WarmStartProgress {
    /// Mean utilization per connection of the endpoints for which it is known from before the start; `None` if it is
    /// known for none.
    fn mean_load_per_connection(&self) -> Option<f64> {
        let mut sum = 0.0;
        let mut known = 0.0;
        for load in self.loads_per_connection.iter().flatten() {
            sum += load;
            known += 1.0;
        }
        if known > 0.0 { Some(sum / known) } else { None }
    }
}

impl Router {
    /// Sessions per second that the warm start admits; `None` if it sets no limit or the proxy started without one.
    pub(in crate::routing) fn warm_start_admission_rate(&self) -> Option<f64> {
        let progress = self.warm_start.as_ref()?;
        match progress.admission {
            ClientAdmission::Open => None,
            ClientAdmission::Queued | ClientAdmission::Rejected => Some(0.0),
            ClientAdmission::Limited => Some(self.limited_admission_rate(progress)),
        }
    }

    /// This proxy's part of the sessions per second that the usable endpoints can take.
    fn limited_admission_rate(&self, progress: &WarmStartProgress) -> f64 {
        let deployment = &self.settings.deployment;
        let profile = SlowStartProfile {
            initial_capacity: deployment.slow_start.initial_capacity,
            warm_after: deployment.slow_start.warm_after,
            overload_factor: deployment.slow_start.overload_factor,
        };
        // Present load reports take precedence over the load known from before the start.
        let load_per_connection = self
            .total_reported_load()
            .per_connection()
            .or_else(|| progress.mean_load_per_connection());
        let uptime = self.now.saturating_sub(progress.machine.stage_since());
        admission_rate(
            profile,
            progress.machine.candidates().usable_count(),
            load_per_connection,
            deployment.proxy_count,
            uptime,
        )
    }

    /// The load of all endpoints that report both utilization and connections.
    pub(super) fn total_reported_load(&self) -> LoadTotals {
        self.endpoints
            .known_endpoints()
            .filter_map(|endpoint| LoadTotals::from_report(&endpoint.load))
            .fold(LoadTotals::default(), LoadTotals::plus)
    }
}
