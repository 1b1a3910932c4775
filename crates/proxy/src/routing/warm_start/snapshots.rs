//! Snapshots for the next start: when one is due, what it contains, and what became of it.

use super::admission::LoadTotals;
use super::unix_ms;
use crate::protocol::discovery::ListedEndpoint;
use crate::routing::endpoints::KnownEndpoint;
use crate::routing::{ReasonCode, Router};
use asterramp_placement::event::EndpointState;
use asterramp_snapshot::{
    SavedEndpoint, SavedEndpointState, Snapshot, SnapshotWriter, WriterEvent,
};
use std::time::Duration;

/// After how many times the least interval a snapshot is saved though no list has changed: what a connection takes of
/// an endpoint is learned all the time.
const MAX_INTERVAL_FACTOR: u32 = 10;
/// Weight of an endpoint in a snapshot whose own is not finite, which JSON cannot express.
const DEFAULT_WEIGHT: f64 = 1.0;

/// How many snapshots were saved, and how many could not be.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SnapshotCounts {
    /// Snapshots that are durable.
    pub saved: u64,
    /// Snapshots that could not be saved, and failures to lock the directory.
    pub failed: u64,
}

/// Where and how often snapshots are saved.
#[derive(Debug)]
pub struct SnapshotSchedule {
    writer: SnapshotWriter,
    min_interval: Duration,
    owner: String,
    lease_term: u64,
    last_submitted: Duration,
    is_outdated: bool,
    counts: SnapshotCounts,
}

impl SnapshotSchedule {
    /// Snapshots of `owner`, at least `min_interval` apart. `lease_term` is the highest leader's term seen so far; 0
    /// for none.
    pub fn new(
        writer: SnapshotWriter,
        min_interval: Duration,
        owner: String,
        lease_term: u64,
    ) -> SnapshotSchedule {
        SnapshotSchedule {
            writer,
            min_interval,
            owner,
            lease_term,
            last_submitted: Duration::ZERO,
            is_outdated: false,
            counts: SnapshotCounts::default(),
        }
    }

    fn is_due(&self, now: Duration) -> bool {
        let since = now.saturating_sub(self.last_submitted);
        let is_changed = self.is_outdated && since >= self.min_interval;
        is_changed || since >= self.min_interval * MAX_INTERVAL_FACTOR
    }

    fn submit(&mut self, now: Duration, snapshot: Snapshot) {
        self.last_submitted = now;
        self.is_outdated = false;
        self.writer.submit(snapshot);
    }
}

impl Router {
    /// Saves snapshots from now on.
    pub fn enable_snapshots(&mut self, schedule: SnapshotSchedule) {
        self.snapshots = Some(schedule);
    }

    /// Saves the last snapshot of a proxy that shuts down gracefully. Waits for it at most a second.
    pub fn close_snapshots(&mut self) {
        let snapshot = self.snapshot(true);
        if let Some(schedule) = self.snapshots.take() {
            schedule.writer.submit(snapshot);
            let outcomes = schedule.writer.close();
            self.report_save_outcomes(outcomes);
        }
    }

    /// How many snapshots were saved and failed; `None` if snapshots are off.
    pub(in crate::routing) fn snapshot_counts(&self) -> Option<SnapshotCounts> {
        self.snapshots.as_ref().map(|schedule| schedule.counts)
    }

    /// A leader's term was seen that is higher than any before; the next snapshot holds it.
    pub(in crate::routing) fn record_term(&mut self, term: u64) {
        if let Some(schedule) = &mut self.snapshots {
            schedule.lease_term = term;
        }
        self.mark_snapshot_outdated();
    }

    /// Something has changed that the next snapshot is to hold.
    pub(in crate::routing) fn mark_snapshot_outdated(&mut self) {
        if let Some(schedule) = &mut self.snapshots {
            schedule.is_outdated = true;
        }
    }

    /// Reports what became of earlier snapshots, and submits the next one if it is due.
    pub(in crate::routing) fn save_snapshot_if_due(&mut self) {
        let now = self.now;
        let Some(schedule) = &self.snapshots else {
            return;
        };
        let is_due = schedule.is_due(now);
        let outcomes = schedule.writer.take_events();
        self.report_save_outcomes(outcomes);
        if is_due {
            let snapshot = self.snapshot(false);
            if let Some(schedule) = &mut self.snapshots {
                schedule.submit(now, snapshot);
            }
        }
    }

    fn report_save_outcomes(&mut self, outcomes: Vec<WriterEvent>) {
        for outcome in outcomes {
            self.count_save_outcome(&outcome);
            match outcome {
                WriterEvent::Saved { .. } => self.count_event(ReasonCode::SnapshotSaved),
                WriterEvent::Failed(error) => {
                    let text = format!("save why={:?}", error.to_string());
                    self.log_event(ReasonCode::SnapshotFailed, text);
                }
                WriterEvent::DirectoryLocked => {
                    self.log_event(
                        ReasonCode::SnapshotFailed,
                        "another process holds the folder",
                    );
                }
                WriterEvent::DirectoryAcquired => {
                    self.log_event(
                        ReasonCode::SnapshotLockAcquired,
                        "the other process has let go",
                    );
                }
            }
        }
    }

    fn count_save_outcome(&mut self, outcome: &WriterEvent) {
        let Some(schedule) = &mut self.snapshots else {
            return;
        };
        match outcome {
            WriterEvent::Saved { .. } => schedule.counts.saved += 1,
            WriterEvent::Failed(_) => schedule.counts.failed += 1,
            WriterEvent::DirectoryLocked | WriterEvent::DirectoryAcquired => {}
        }
    }

    /// Everything that the next start needs, as it is now.
    fn snapshot(&self, clean_shutdown: bool) -> Snapshot {
        let schedule = self.snapshots.as_ref();
        let discovery_heard = self.discovery_watch.last_line_at().or_else(|| {
            let progress = self.warm_start.as_ref();
            progress.and_then(|progress| progress.discovery_heard)
        });
        Snapshot {
            owner: schedule.map_or_else(String::new, |schedule| schedule.owner.clone()),
            // The writer numbers it.
            sequence: 0,
            saved_at_ms: unix_ms(self.now),
            list_revision: self.newest_list_revision(),
            last_discovery_update_ms: discovery_heard.map(unix_ms),
            highest_term: schedule.map_or(0, |schedule| schedule.lease_term),
            clean_shutdown,
            endpoints: self.saved_endpoints(),
        }
    }

    /// Revision of the newest endpoint list. Until discovery's own list counts, that may be the one from before the
    /// start.
    fn newest_list_revision(&self) -> u64 {
        let listed = self.discovery_watch.revision();
        match &self.warm_start {
            Some(progress) if !progress.is_over() || listed == 0 => {
                listed.max(progress.newest_revision)
            }
            _ => listed,
        }
    }

    fn saved_endpoints(&self) -> Vec<SavedEndpoint> {
        // An endpoint with few connections takes the average of all.
        let average = self.total_reported_load().per_connection();
        self.endpoints
            .listed_endpoints()
            .zip(self.endpoints.known_endpoints())
            .filter(|(line, _)| line.state != EndpointState::Gone)
            .map(|(line, host)| saved_endpoint(line, host, average))
            .collect()
    }
}

/// An endpoint as a snapshot holds it; `average` is what a connection takes of all endpoints.
fn saved_endpoint(
    line: ListedEndpoint,
    host: &KnownEndpoint,
    average: Option<f64>,
) -> SavedEndpoint {
    let load_per_connection = LoadTotals::from_report(&host.load)
        .and_then(LoadTotals::per_connection)
        .or(average)
        .filter(|load| load.is_finite());
    let last_report_ms = if host.reported_at.is_zero() {
        None
    } else {
        Some(unix_ms(host.reported_at))
    };
    SavedEndpoint {
        uid: line.uid,
        address: line.address,
        zone: line.zone,
        cell: line.cell,
        state: match line.state {
            EndpointState::Draining => SavedEndpointState::Draining,
            _ => SavedEndpointState::Ready,
        },
        weight: if line.weight.is_finite() {
            line.weight
        } else {
            DEFAULT_WEIGHT
        },
        started_at_ms: line.started_at.map(unix_ms),
        last_report_ms,
        load_per_connection,
    }
}
