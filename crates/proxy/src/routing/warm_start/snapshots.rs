//! Snapshots for the next start: when one is due, what it contains, and whether it was saved.

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

/// Longest time between two snapshots, as a multiple of the least one. Snapshots are saved even if no list has changed,
/// since the load per connection of the endpoints changes all the time.
const MAX_INTERVAL_FACTOR: u32 = 10;
/// Weight in a snapshot for an endpoint whose own weight is not finite, which JSON cannot express.
const DEFAULT_WEIGHT: f64 = 1.0;

/// Counts of the snapshots that were saved and that failed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SnapshotCounts {
    /// Snapshots written durably.
    pub saved: u64,
    /// Snapshots that could not be saved, and failures to lock the directory.
    pub failed: u64,
}

/// Where and how often snapshots are saved.
#[derive(Debug)]
pub struct SnapshotSchedule {
    writer: SnapshotWriter,
    /// Least time between two snapshots.
    min_interval: Duration,
    /// Name of the proxy, as written to its snapshots.
    owner: String,
    /// Highest leader's term seen so far; 0 for none.
    highest_term: u64,
    /// When the last snapshot was passed to the writer; zero before the first.
    last_submitted_at: Duration,
    /// Whether something has changed since then that a snapshot contains.
    is_outdated: bool,
    counts: SnapshotCounts,
}

impl SnapshotSchedule {
    /// Snapshots of `owner`, at least `min_interval` apart. `highest_term` is the highest leader's term seen so far; 0
    /// for none.
    pub fn new(
        writer: SnapshotWriter,
        min_interval: Duration,
        owner: String,
        highest_term: u64,
    ) -> SnapshotSchedule {
        SnapshotSchedule {
            writer,
            min_interval,
            owner,
            highest_term,
            last_submitted_at: Duration::ZERO,
            is_outdated: false,
            counts: SnapshotCounts::default(),
        }
    }

    /// Whether a snapshot is due: after a change, or after [`MAX_INTERVAL_FACTOR`] times the least interval in any
    /// case.
    fn is_due(&self, now: Duration) -> bool {
        let since = now.saturating_sub(self.last_submitted_at);
        let is_changed = self.is_outdated && since >= self.min_interval;
        is_changed || since >= self.min_interval * MAX_INTERVAL_FACTOR
    }

    fn submit(&mut self, now: Duration, snapshot: Snapshot) {
        self.last_submitted_at = now;
        self.is_outdated = false;
        self.writer.submit(snapshot);
    }
}

impl Router {
    /// Enables snapshots.
    pub fn enable_snapshots(&mut self, schedule: SnapshotSchedule) {
        self.snapshots = Some(schedule);
    }

    /// Saves the last snapshot of a proxy that shuts down gracefully. Waits at most 1 s until it is saved.
    pub fn close_snapshots(&mut self) {
        let snapshot = self.snapshot(true);
        if let Some(schedule) = self.snapshots.take() {
            schedule.writer.submit(snapshot);
            let writer_events = schedule.writer.close();
            self.record_writer_events(writer_events);
        }
    }

    /// Counts of saved and failed snapshots; `None` if snapshots are disabled.
    pub(in crate::routing) fn snapshot_counts(&self) -> Option<SnapshotCounts> {
        self.snapshots.as_ref().map(|schedule| schedule.counts)
    }

    /// Records a leader's term that is higher than any before; the next snapshot contains it.
    pub(in crate::routing) fn record_term(&mut self, term: u64) {
        if let Some(schedule) = &mut self.snapshots {
            schedule.highest_term = term;
        }
        self.mark_snapshot_outdated();
    }

    /// Records that something has changed that a snapshot contains.
    pub(in crate::routing) fn mark_snapshot_outdated(&mut self) {
        if let Some(schedule) = &mut self.snapshots {
            schedule.is_outdated = true;
        }
    }

    /// Records the results of earlier snapshots, and submits the next one if it is due.
    pub(in crate::routing) fn save_snapshot_if_due(&mut self) {
        let now = self.now;
        let Some(schedule) = &self.snapshots else {
            return;
        };
        let is_due = schedule.is_due(now);
        let writer_events = schedule.writer.take_events();
        self.record_writer_events(writer_events);
        if is_due {
            let snapshot = self.snapshot(false);
            if let Some(schedule) = &mut self.snapshots {
                schedule.submit(now, snapshot);
            }
        }
    }

    /// Counts and logs what the writer reported.
    fn record_writer_events(&mut self, events: Vec<WriterEvent>) {
        for event in events {
            self.count_writer_event(&event);
            match event {
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
                        "the other process has released the folder",
                    );
                }
            }
        }
    }

    fn count_writer_event(&mut self, event: &WriterEvent) {
        let Some(schedule) = &mut self.snapshots else {
            return;
        };
        match event {
            WriterEvent::Saved { .. } => schedule.counts.saved += 1,
            WriterEvent::Failed(_) => schedule.counts.failed += 1,
            WriterEvent::DirectoryLocked | WriterEvent::DirectoryAcquired => {}
        }
    }

    /// A snapshot of the present state; `clean_shutdown` marks the one of a graceful shutdown.
    fn snapshot(&self, clean_shutdown: bool) -> Snapshot {
        let schedule = self.snapshots.as_ref();
        let last_discovery_update = self.discovery_watch.last_line_at().or_else(|| {
            let progress = self.warm_start.as_ref();
            progress.and_then(|progress| progress.last_discovery_update)
        });
        Snapshot {
            owner: schedule.map_or_else(String::new, |schedule| schedule.owner.clone()),
            // The writer sets it.
            sequence: 0,
            saved_at_ms: unix_ms(self.now),
            list_revision: self.newest_list_revision(),
            last_discovery_update_ms: last_discovery_update.map(unix_ms),
            highest_term: schedule.map_or(0, |schedule| schedule.highest_term),
            clean_shutdown,
            endpoints: self.saved_endpoints(),
        }
    }

    /// Revision of the newest endpoint list. Until the warm start is over and discovery has sent a list, that may be
    /// the one known from before the start.
    fn newest_list_revision(&self) -> u64 {
        let listed = self.discovery_watch.revision();
        match &self.warm_start {
            Some(progress) if !progress.is_over() || listed == 0 => {
                listed.max(progress.machine.newest_revision())
            }
            _ => listed,
        }
    }

    /// All endpoints that are not gone, in the form of a snapshot.
    fn saved_endpoints(&self) -> Vec<SavedEndpoint> {
        // Used for endpoints with too few connections to tell.
        let mean_load = self.total_reported_load().per_connection();
        self.endpoints
            .listed_endpoints()
            .zip(self.endpoints.known_endpoints())
            .filter(|(listed, _)| listed.state != EndpointState::Gone)
            .map(|(listed, known)| saved_endpoint(listed, known, mean_load))
            .collect()
    }
}

/// An endpoint in the form of a snapshot. `mean_load` is the utilization per connection over all endpoints, used if
/// that of the endpoint is unknown.
fn saved_endpoint(
    listed: ListedEndpoint,
    known: &KnownEndpoint,
    mean_load: Option<f64>,
) -> SavedEndpoint {
    let load_per_connection = LoadTotals::from_report(&known.load)
        .and_then(LoadTotals::per_connection)
        .or(mean_load)
        .filter(|load| load.is_finite());
    let last_report_ms = if known.reported_at.is_zero() {
        None
    } else {
        Some(unix_ms(known.reported_at))
    };
    SavedEndpoint {
        uid: listed.uid,
        address: listed.address,
        zone: listed.zone,
        cell: listed.cell,
        state: match listed.state {
            EndpointState::Draining => SavedEndpointState::Draining,
            _ => SavedEndpointState::Ready,
        },
        weight: if listed.weight.is_finite() {
            listed.weight
        } else {
            DEFAULT_WEIGHT
        },
        started_at_ms: listed.started_at.map(unix_ms),
        last_report_ms,
        load_per_connection,
    }
}
