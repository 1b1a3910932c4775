//! Collects the proxy's status that the admin socket reports.

use super::Router;
use asterramp_admin_protocol::{
    AdmissionStatus, EndpointSourceCount, ListenerSessions, ProxyStatus, RejectionCount,
    SessionCostEstimate, SnapshotCounts, WarmStartStatus, ZoneStatus,
};
use asterramp_admission::RejectReason;
use asterramp_drain::DrainState;
use asterramp_placement::event::EndpointState;
use asterramp_warm_start::EndpointSource;
use asterramp_zone_failover::ZoneState;
use std::time::Duration;

/// Most listeners whose remaining sessions a status lists, so that a reply stays within `MAX_REPLY_BYTES`. The totals
/// of the status include the sessions of the others.
const MAX_LISTENERS_WITH_SESSIONS: usize = 32;
/// Most zones that a status lists, so that a reply stays within `MAX_REPLY_BYTES`.
const MAX_ZONES: usize = 16;
/// Most listeners whose admission figures a status lists, so that a reply stays within `MAX_REPLY_BYTES`.
const MAX_ADMISSION_ENTRIES: usize = 16;

/// Sources of endpoints in a warm start with their names in a status, in the order in which a status lists them.
const ENDPOINT_SOURCES: [(EndpointSource, &str); 4] = [
    (EndpointSource::Snapshot, "saved"),
    (EndpointSource::Configuration, "configured"),
    (EndpointSource::Peer, "heard"),
    (EndpointSource::Discovery, "told"),
];

fn milliseconds(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

impl Router {
    pub(super) fn status(&self) -> ProxyStatus {
        let view = self.drain_view();
        ProxyStatus {
            pid: std::process::id(),
            state: self.drain.state().name().to_string(),
            uptime_ms: self.milliseconds_since(self.started_at),
            open_sessions: view.open_sessions,
            pending_sessions: view.pending_sessions,
            sessionless_connections: self.connection_counts.pending(),
            migrated_sessions: self.drain.migrated_sessions(),
            migrations_per_second: self.drain.migrations_per_second(&view),
            spare_capacity: view.spare_capacity,
            expected_empty_in_ms: self
                .drain
                .expected_time_left(self.now, &view)
                .map(milliseconds),
            deadline_in_ms: self.drain.time_left(self.now).map(milliseconds),
            allows_next_drain: self.drain.allows_next_drain(self.now),
            accepted_sessions: self.sessions_accepted,
            remaining_sessions: self.remaining_sessions(),
            ready_endpoints: self.count_endpoints(|state| state == EndpointState::Ready),
            listed_endpoints: self.count_endpoints(|state| state != EndpointState::Gone),
            discovery_age_ms: self
                .discovery_watch
                .last_line_at()
                .map(|at| self.milliseconds_since(at)),
            zones: self.zone_statuses(),
            warm_start: self.warm_start_status(),
            admission: self.admission_statuses(),
            incarnation: self.fencing_guard.clock(self.now).incarnation,
            clock_us: self.now.as_micros() as u64,
            highest_term: self.fencing_guard.highest_term(),
        }
    }

    fn milliseconds_since(&self, at: Duration) -> u64 {
        milliseconds(self.now.saturating_sub(at))
    }

    fn count_endpoints(&self, is_counted: impl Fn(EndpointState) -> bool) -> usize {
        self.endpoints
            .known_endpoints()
            .filter(|endpoint| is_counted(endpoint.state))
            .count()
    }

    /// Number of remaining sessions by listener, in the order of their first session in the table; empty unless a drain
    /// or shutdown is in progress.
    fn remaining_sessions(&self) -> Vec<ListenerSessions> {
        let mut remaining: Vec<ListenerSessions> = Vec::new();
        if self.drain.state() == DrainState::Serving {
            return remaining;
        }
        for (_, slot) in self.session_table.sessions.iter() {
            let listener = &self.settings.listeners[usize::from(slot.machine.request.listener)];
            match remaining
                .iter_mut()
                .find(|count| count.listener == *listener)
            {
                Some(count) => count.sessions += 1,
                None => remaining.push(ListenerSessions {
                    listener: listener.clone(),
                    sessions: 1,
                }),
            }
        }
        remaining.truncate(MAX_LISTENERS_WITH_SESSIONS);
        remaining
    }

    /// Status of the zones, the ones that are not healthy first, at most [`MAX_ZONES`]; empty without zone failover.
    fn zone_statuses(&self) -> Vec<ZoneStatus> {
        let Some(tracker) = &self.session_table.zones else {
            return Vec::new();
        };
        let zones = self.settings.zones.iter().zip(tracker.failover.zones());
        let mut statuses: Vec<ZoneStatus> = zones
            .map(|(name, zone)| ZoneStatus {
                name: name.clone(),
                state: zone.state.name().to_string(),
                // A zone whose state has never changed has had it since the proxy started.
                since_ms: self.milliseconds_since(zone.state_since.max(self.started_at)),
                false_suspicions: zone.dropped_suspicions,
                false_ejections: zone.false_alarms,
            })
            .collect();
        statuses.sort_by_key(|status| status.state == ZoneState::Healthy.name());
        statuses.truncate(MAX_ZONES);
        statuses
    }

    /// Status of the warm start; `None` where the proxy started without one.
    fn warm_start_status(&self) -> Option<WarmStartStatus> {
        let warm_start = self.warm_start_state()?;
        let mut sources = Vec::new();
        for (source, name) in ENDPOINT_SOURCES {
            let counts = warm_start.candidates().source_counts(source);
            if counts.reported > 0 {
                sources.push(EndpointSourceCount {
                    source: name.to_string(),
                    reported: counts.reported,
                    confirmed: counts.usable,
                });
            }
        }
        Some(WarmStartStatus {
            stage: warm_start.stage().name().to_string(),
            since_ms: self.milliseconds_since(warm_start.stage_since()),
            sources,
            dropped: warm_start.candidates().dropped_count(),
            snapshots: self.snapshot_counts().map(|counts| SnapshotCounts {
                saved: counts.saved,
                failed: counts.failed,
            }),
        })
    }

    /// Admission figures of the listeners with rejected sessions or a known cost per session, at most
    /// [`MAX_ADMISSION_ENTRIES`].
    fn admission_statuses(&self) -> Vec<AdmissionStatus> {
        let listeners = self.settings.listeners.iter();
        let counts = self.admission.rejection_counts();
        let costs = self.admission.session_costs(self.now);
        listeners
            .zip(counts)
            .zip(costs)
            .map(|((listener, counts), cost)| AdmissionStatus {
                listener: listener.clone(),
                rejected: rejections(counts),
                session_cost: cost.map(|cost| SessionCostEstimate {
                    mean: cost.mean,
                    deviation: cost.mean_deviation,
                    age_ms: milliseconds(cost.age),
                }),
            })
            .filter(|status| !status.rejected.is_empty() || status.session_cost.is_some())
            .take(MAX_ADMISSION_ENTRIES)
            .collect()
    }
}

/// Rejected sessions by reason, without the reasons that have not occurred.
fn rejections(counts: &[u64; RejectReason::ALL.len()]) -> Vec<RejectionCount> {
    RejectReason::ALL
        .into_iter()
        .zip(counts)
        .filter(|(_, sessions)| **sessions > 0)
        .map(|(reason, sessions)| RejectionCount {
            reason: reason.name().to_string(),
            sessions: *sessions,
        })
        .collect()
}
